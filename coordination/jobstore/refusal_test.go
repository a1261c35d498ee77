package jobstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// TestRefuse refuses a job while an earlier submission of it is under way. It guards against
// a job that runs after its caller was told that it does not.
func TestRefuse(t *testing.T) {
	tests := []struct {
		name string
		// accept and refuse are the faults of the first writes of the two.
		accept, refuse []standin.Fault
		// pause is the time between them.
		pause  time.Duration
		stored bool
	}{
		{"the job was stored", nil, nil, 0, true},
		{"the write is lost", []standin.Fault{standin.Silent}, nil, 0, false},
		{"the write is done late", []standin.Fault{standin.Late}, nil, 0, false},
		{"the write is done late, the refusal's answer is lost", []standin.Fault{standin.Late}, []standin.Fault{standin.Unanswered}, 0, false},
		{"the write is done late, the refusal is done twice", []standin.Fault{standin.Late}, []standin.Fault{standin.Late}, 0, false},
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
				store.Fault = faultsOf(test.refuse...)
				ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
				defer stop()
				if stored, err := st.Refuse(ctx, "a"); err != nil || stored != test.stored {
					t.Fatalf("refuse: stored %v, %v, want %v", stored, err, test.stored)
				}
				time.Sleep(2 * standin.LateBy)
				if stored := store.Has("in/a/job"); stored != test.stored {
					t.Errorf("stored %v after the refusal, want %v", stored, test.stored)
				}
				if err := accept(); err != nil {
					t.Errorf("the caller has returned: %v", err)
				}
				if store.Has("in/a/refusal") {
					t.Error("the refusal is still stored after the job was accepted")
				}
			})
		})
	}
}

// TestRefuseBetweenTries refuses a job while an earlier submission repeats its write. The
// earlier one must not be accepted by its next try.
func TestRefuseBetweenTries(t *testing.T) {
	tests := []struct {
		name string
		// first is the fault of the earlier submission's first try.
		first standin.Fault
		// cancelled is set if the job is cancelled, too.
		cancelled bool
		want      state.Reason
	}{
		{"the first try is done late", standin.Late, false, state.ExpectedWait},
		{"the first try is lost", standin.Silent, false, state.ExpectedWait},
		{"the first try was refused", standin.Refused, false, ""},
		{"the job is cancelled", standin.Late, true, state.Cancelled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				calls := store.Calls()
				st := record.NewJobStore(&calls, valueBytes)
				store.Fault = faultsOf(test.first)
				refused := make(chan error, 1)
				time.AfterFunc(30*time.Millisecond, func() {
					_, err := st.Refuse(context.Background(), "a")
					if test.cancelled {
						_, err = st.Cancel(context.Background(), "a")
					}
					refused <- err
				})
				ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
				defer stop()
				_, err := st.Accept(ctx, &workflow.Job{ID: "a", Steps: []workflow.Step{{Tasks: 1}}})
				if state.ReasonOf(err, "") != test.want || state.IsAmbiguous(err) {
					t.Errorf("accept: %v, want reason %q", err, test.want)
				}
				if err := <-refused; err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * standin.LateBy)
				if stored := store.Has("in/a/job"); stored != (test.want == "") {
					t.Errorf("stored %v", stored)
				}
			})
		})
	}
}
