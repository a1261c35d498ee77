package jobstore_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/keyvalue"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// faultsOf returns a Fault that gives the writes of the store the faults in turn, then none.
func faultsOf(faults ...standin.Fault) func(call string) standin.Fault {
	var mu sync.Mutex
	return func(call string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if call != "Commit" || len(faults) == 0 {
			return standin.None
		}
		fault := faults[0]
		faults = faults[1:]
		return fault
	}
}

// submit returns a function that submits the job "a", whose caller leaves after 900 ms.
func submit(t *testing.T, st *jobstore.Store) func() error {
	t.Helper()
	return func() error {
		ctx, stop := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer stop()
		_, err := st.Accept(ctx, &workflow.Job{ID: "a", Steps: []workflow.Step{{Tasks: 1}}})
		return err
	}
}

// TestCancelBeforeAccept cancels a job while its acceptance is under way. It guards against
// a job that runs after its cancellation was answered: in review/8 the write of the job was
// done after the cancellation had found none.
func TestCancelBeforeAccept(t *testing.T) {
	tests := []struct {
		name string
		// accept and cancel are the faults of the first writes of the two.
		accept, cancel []standin.Fault
		// pause is the time between them.
		pause time.Duration
		known bool
	}{
		{"the job was stored", nil, nil, 0, true},
		{"there was none", []standin.Fault{standin.Refused, standin.Refused, standin.Refused, standin.Refused, standin.Refused, standin.Refused, standin.Refused, standin.Refused}, nil, 0, false},
		{"the write is lost", []standin.Fault{standin.Silent}, nil, 0, false},
		{"the write is done late", []standin.Fault{standin.Late}, nil, 0, false},
		{"the write is done late, the cancellation's answer is lost", []standin.Fault{standin.Late}, []standin.Fault{standin.Unanswered}, 0, false},
		{"the write is done late, the cancellation is refused first", []standin.Fault{standin.Late}, []standin.Fault{standin.Refused}, 0, false},
		{"the write was done late", []standin.Fault{standin.Late}, nil, 2 * standin.LateBy, true},
		{"the write was done without an answer", []standin.Fault{standin.Unanswered}, nil, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				calls := store.Calls()
				st := record.NewJobStore(&calls, valueBytes)
				accept := submit(t, st)
				store.Fault = faultsOf(test.accept...)
				if err := accept(); (err == nil) != (len(test.accept) == 0) {
					t.Fatalf("accept: %v", err)
				}
				time.Sleep(test.pause)
				store.Fault = faultsOf(test.cancel...)
				ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
				defer stop()
				known, err := st.Cancel(ctx, "a")
				if err != nil || known != test.known {
					t.Fatalf("cancel: known %v, %v, want %v", known, err, test.known)
				}
				time.Sleep(2 * standin.LateBy)
				if stored := store.Has("in/a/job"); stored != test.known {
					t.Errorf("stored %v after the cancellation, want %v", stored, test.known)
				}
				if known, err := st.Cancel(t.Context(), "a"); err != nil || known != test.known {
					t.Errorf("second cancellation: known %v, %v, want %v", known, err, test.known)
				}
				if err := accept(); test.known != (err == nil) {
					t.Errorf("second submission: %v", err)
				} else if !test.known && (state.ReasonOf(err, "") != state.Cancelled || state.IsAmbiguous(err)) {
					t.Errorf("second submission: %v, want reason %s, not ambiguous", err, state.Cancelled)
				}
			})
		})
	}
}

// TestCancelDuringAccept writes the job between the cancellation's read and its write. The
// cancellation must then find the job.
func TestCancelDuringAccept(t *testing.T) {
	tests := []struct {
		name string
		// between is called before the first write of the cancellation.
		between func(calls keyvalue.Store)
		stored  bool
		known   bool
	}{
		{"nothing happens", func(keyvalue.Store) {}, false, false},
		{"the job is stored", func(calls keyvalue.Store) {
			other := record.NewJobStore(&calls, valueBytes)
			_, _ = other.Accept(context.Background(), &workflow.Job{ID: "a", Steps: []workflow.Step{{Tasks: 1}}})
		}, false, true},
		{"the record of the job is deleted", func(calls keyvalue.Store) {
			_, _ = calls.Commit(context.Background(), keyvalue.Change{Deletes: []string{"in/a/job"}})
		}, true, false},
		{"it is cancelled by another caller", func(calls keyvalue.Store) {
			other := record.NewJobStore(&calls, valueBytes)
			_, _ = other.Cancel(context.Background(), "a")
		}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := standin.New()
			direct := store.Calls()
			calls, first := direct, true
			calls.Commit = func(ctx context.Context, change keyvalue.Change) (keyvalue.Revision, error) {
				if first {
					first = false
					test.between(direct)
				}
				return direct.Commit(ctx, change)
			}
			if test.stored {
				if _, err := record.NewJobStore(&direct, valueBytes).Accept(t.Context(), &workflow.Job{ID: "a", Steps: []workflow.Step{{Tasks: 1}}}); err != nil {
					t.Fatal(err)
				}
			}
			st := record.NewJobStore(&calls, valueBytes)
			if known, err := st.Cancel(t.Context(), "a"); err != nil || known != test.known {
				t.Errorf("known %v, %v, want %v", known, err, test.known)
			}
			if !store.Has("in/a/cancel") {
				t.Error("the cancellation is not stored")
			}
		})
	}
}
