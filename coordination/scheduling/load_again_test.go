package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// TestLoadAgain loads a job again, as a notification by an entry of an earlier version may
// describe it otherwise. It guards against tasks that run on the workers of two services.
func TestLoadAgain(t *testing.T) {
	tests := []struct {
		name, service string
		// after is when the job is loaded again; its tasks run for 5 s.
		after  time.Duration
		cancel bool
		status workflow.Status
	}{
		{"the same service", "render", time.Second, false, workflow.Completed},
		{"another service, while it runs", "other", time.Second, false, workflow.Completed},
		{"another service, after its end", "other", 10 * time.Second, false, workflow.Completed},
		{"another service, and cancelled", "other", time.Second, true, workflow.Cancelled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2)
				second := worker(7, 1)
				second.Service = "other"
				h.fleet.Add(second)
				h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return 5 * time.Second }
				first := job(1, workflow.Step{Tasks: 3, Accelerators: 1, Estimate: 5 * time.Second})
				h.addJob(first)
				s := h.startPlanner()
				time.Sleep(test.after)
				again := *first
				again.Service = test.service
				if s.Load(&again, workflow.Progress{}, map[int]keyvalue.Revision{}) {
					t.Error("the job was added again")
				}
				if test.cancel && !s.Cancel(first.ID) {
					t.Error("the job is not known")
				}
				time.Sleep(20 * time.Second)
				_ = s.Close()
				runs := make(map[workflow.Task]int)
				for _, run := range h.fleet.Runs() {
					if runs[run.Task]++; runs[run.Task] > 1 {
						t.Errorf("%v ran again, on %s", run.Task, run.Worker)
					}
				}
				if got := h.store.status(first.ID); got != test.status || len(runs) != 3 {
					t.Errorf("%d tasks ran, status %s, want 3 and %s", len(runs), got, test.status)
				}
			})
		})
	}
}

// TestLoadAfterForget loads a job whose record was deleted, which is a new one.
func TestLoadAfterForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		first := job(1, workflow.Step{Tasks: 1, Accelerators: 1})
		h.addJob(first)
		s := h.startPlanner()
		time.Sleep(5 * time.Second)
		s.Forget([]workflow.ID{first.ID})
		if !s.Load(first, workflow.Progress{}, nil) {
			t.Error("the job was not added after its record was deleted")
		}
		_ = s.Close()
	})
}
