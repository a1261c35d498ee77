package intake_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/intake"
	"comfreystream/coordination/keyvalue"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

const jobID workflow.ID = "0123456789abcdef"

// newIntake returns an Intake on the store; accepted is called with the jobs of which the
// planner is notified.
func newIntake(calls *keyvalue.Store, accepted func(job *workflow.Job)) *intake.Intake {
	return &intake.Intake{
		JobStore: record.NewJobStore(calls, func() int { return 1 << 20 }), Now: time.Now,
		Accepted: accepted, Cancelled: func(workflow.ID) {}, Count: func(state.Reason) {}, Log: zerolog.Nop(),
		Gate: &backlog.Gate{
			Read:      func(context.Context) (backlog.Figures, error) { return backlog.Figures{}, nil },
			Guarantee: func(string) int { return 0 }, Now: time.Now, Log: zerolog.Nop(),
			Refused: func(context.Context, workflow.ID) (time.Duration, error) { return 0, errors.New("no planner") },
		},
	}
}

// TestSubmitAgain submits a job and submits it again. It guards against a planner that is
// notified of a job other than the stored one, and runs it a second time: in review/6 the
// queue's service had changed between the two.
func TestSubmitAgain(t *testing.T) {
	queue := workflow.Queue{Name: "q", Service: "render", Priority: 1, MaxAttempts: 2}
	moved, urgent := queue, queue
	moved.Service = "other"
	urgent.Priority, urgent.MaxAttempts = 0, 5
	one, two := []workflow.Step{{Tasks: 1}}, []workflow.Step{{Tasks: 2}}
	tests := []struct {
		name string
		// fault is that of the first write.
		fault standin.Fault
		queue workflow.Queue
		steps []workflow.Step
		// stored is the service of the stored job, notified the number of notifications.
		stored   string
		notified int
	}{
		{"nothing has changed", standin.None, queue, one, "render", 2},
		{"the queue has moved to another service", standin.None, moved, one, "render", 2},
		{"the queue has another priority", standin.None, urgent, one, "render", 2},
		{"the body is another", standin.None, queue, two, "render", 2},
		{"the first write was refused", standin.Refused, moved, one, "render", 2},
		{"the first write had no answer", standin.Unanswered, moved, one, "render", 2},
		{"the first write was done late", standin.Late, moved, one, "render", 2},
		{"the first write was lost", standin.Silent, moved, one, "render", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				faults := []standin.Fault{test.fault}
				store.Fault = func(call string) standin.Fault {
					if call != "Commit" || len(faults) == 0 {
						return standin.None
					}
					fault := faults[0]
					faults = faults[1:]
					return fault
				}
				calls := store.Calls()
				var notified []*workflow.Job
				i := newIntake(&calls, func(job *workflow.Job) { notified = append(notified, job) })
				const first, second = 7, 8
				submit := func(q workflow.Queue, version int64, steps []workflow.Step) error {
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					return i.Submit(ctx, intake.Target{Queue: &q, Organisation: "o", Version: version}, &workflow.Job{ID: jobID, Steps: steps})
				}
				if err := submit(queue, first, one); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * standin.LateBy)
				if err := submit(test.queue, second, test.steps); err != nil {
					t.Fatal(err)
				}
				stored, found, _, err := calls.Get(t.Context(), "in/"+string(jobID)+"/job")
				if err != nil || !found {
					t.Fatalf("stored %v, %v", found, err)
				}
				if job, err := record.DecodeSubmission(jobID, stored.Value); err != nil || job.Service != test.stored || job.PolicyVersion != first {
					t.Errorf("stored %+v, %v, want service %s of version %d", job, err, test.stored, first)
				}
				if len(notified) != test.notified {
					t.Errorf("%d notifications, want %d", len(notified), test.notified)
				}
				for n, job := range notified {
					if text, err := record.EncodeSubmission(job); err != nil || !bytes.Equal(text, stored.Value) {
						t.Errorf("notification %d is of another job than the stored one: service %s, priority %d, %d tasks (%v)", n, job.Service, job.Priority, job.Steps[0].Tasks, err)
					}
				}
			})
		})
	}
}

// TestSubmitAfterLateWrite submits a job whose first write is done after the caller has
// left. The second submission must not decide by its own configuration what is stored.
func TestSubmitAfterLateWrite(t *testing.T) {
	tests := []struct {
		name string
		// pause is the time between the two; the first write is done after standin.LateBy.
		pause  time.Duration
		stored string
	}{
		{"the second is stored first", 0, "other"},
		{"the first is stored meanwhile", 2 * standin.LateBy, "render"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				fault := standin.Late
				store.Fault = func(string) standin.Fault { return fault }
				calls := store.Calls()
				var notified []string
				i := newIntake(&calls, func(job *workflow.Job) { notified = append(notified, job.Service) })
				submit := func(service string) error {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					q := workflow.Queue{Name: "q", Service: service, Priority: 1}
					return i.Submit(ctx, intake.Target{Queue: &q}, &workflow.Job{ID: jobID, Steps: []workflow.Step{{Tasks: 1}}})
				}
				if err := submit("render"); !state.IsAmbiguous(err) {
					t.Fatalf("first submission: %v, want an ambiguous error", err)
				}
				fault = standin.None
				time.Sleep(test.pause)
				if err := submit("other"); err != nil {
					t.Fatal(err)
				}
				if len(notified) != 1 || notified[0] != test.stored {
					t.Errorf("notified of %v, want %s", notified, test.stored)
				}
				time.Sleep(2 * standin.LateBy)
			})
		})
	}
}

// TestSubmitAfterCancellation submits a job whose cancellation found none. The caller must
// hear that it does not run, and the planner nothing.
func TestSubmitAfterCancellation(t *testing.T) {
	tests := []struct {
		name string
		// submitted is set if the job is submitted before the cancellation, too.
		submitted bool
		want      state.Reason
		notified  int
	}{
		{"never submitted before", false, state.Cancelled, 0},
		{"submitted before", true, "", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			calls := standin.New().Calls()
			notified := 0
			i := newIntake(&calls, func(*workflow.Job) { notified++ })
			counts := make(map[state.Reason]int)
			i.Count = func(reason state.Reason) { counts[reason]++ }
			submit := func() error {
				return i.Submit(t.Context(), intake.Target{Queue: &workflow.Queue{Name: "q", Service: "render"}}, &workflow.Job{ID: jobID, Steps: []workflow.Step{{Tasks: 1}}})
			}
			if test.submitted {
				if err := submit(); err != nil {
					t.Fatal(err)
				}
			}
			if err := i.Cancel(t.Context(), jobID); (err == nil) != test.submitted {
				t.Fatalf("cancel: %v", err)
			}
			err := submit()
			if state.ReasonOf(err, "") != test.want || state.IsAmbiguous(err) || counts[state.Cancelled] > 0 != (test.want != "") {
				t.Errorf("submission: %v, counts %v, want reason %q", err, counts, test.want)
			}
			if notified != test.notified {
				t.Errorf("%d notifications, want %d", notified, test.notified)
			}
		})
	}
}

// TestRefusedAfterSubmission submits a job that the queue, as it is configured by then, does
// not take. It guards against "not run" for a job that runs: one that was accepted by an
// earlier configuration, or one whose write is still under way.
func TestRefusedAfterSubmission(t *testing.T) {
	advised := workflow.Queue{Name: "q", Service: "render", NeedsAdvice: true}
	tests := []struct {
		name string
		// fault is that of the first submission's writes, and of those of the second.
		fault, second standin.Fault
		want          state.Reason
		ambiguous     bool
		stored        bool
	}{
		{"it was accepted", standin.None, standin.None, "", false, true},
		{"it was lost", standin.Silent, standin.None, state.Unsupported, false, false},
		{"its write is done late", standin.Late, standin.None, state.Unsupported, false, false},
		{"the store does not answer", standin.Silent, standin.Silent, state.StoreUnavailable, true, false},
		{"the store refuses", standin.Refused, standin.Refused, state.StoreUnavailable, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				fault := test.fault
				store.Fault = func(string) standin.Fault { return fault }
				calls := store.Calls()
				i := newIntake(&calls, func(*workflow.Job) {})
				submit := func(q workflow.Queue) error {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					return i.Submit(ctx, intake.Target{Queue: &q}, &workflow.Job{ID: jobID, Steps: []workflow.Step{{Tasks: 1}}})
				}
				if err := submit(workflow.Queue{Name: "q", Service: "render"}); (err == nil) != (test.fault == standin.None) {
					t.Fatalf("first submission: %v", err)
				}
				fault = test.second
				err := submit(advised)
				if state.ReasonOf(err, "") != test.want || err != nil && state.IsAmbiguous(err) != test.ambiguous {
					t.Errorf("second submission: %v, ambiguous %v, want reason %q", err, state.IsAmbiguous(err), test.want)
				}
				fault = standin.None
				time.Sleep(2 * standin.LateBy)
				if stored := store.Has("in/" + string(jobID) + "/job"); stored != test.stored {
					t.Errorf("stored %v, want %v", stored, test.stored)
				}
			})
		})
	}
}
