package scheduling_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/scheduling"
	"comfreystream/state/workflow"
)

// TestBurstOnSlowPlanner hands a planner more starts at once than it can send
// within the time limit of one. They must take longer, but none may be given up.
func TestBurstOnSlowPlanner(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		cores float64
		// callTime is the processor time of one call to a worker.
		callTime time.Duration
		step     workflow.Step
		jobs     int
		within   time.Duration
	}{
		{"single tasks", 0.2, 4 * time.Millisecond, workflow.Step{Tasks: 50, Accelerators: 1, Estimate: time.Second}, 4, 5 * time.Second},
		{"gangs", 0.2, 4 * time.Millisecond, workflow.Step{Tasks: 30, Accelerators: 1, Gang: true, Estimate: time.Second}, 7, 5 * time.Second},
		{"a larger planner", 0.8, time.Millisecond, workflow.Step{Tasks: 50, Accelerators: 1, Estimate: time.Second}, 4, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(30)
				h.cores = test.cores
				for i := range test.jobs {
					h.addJob(job(i, test.step))
				}
				processor := make(chan struct{}, 1)
				calls := h.fleet.Calls()
				h.calls = calls
				h.calls.Start = func(ctx context.Context, worker workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
					processor <- struct{}{}
					time.Sleep(test.callTime)
					<-processor
					if ctx.Err() != nil {
						return "", ctx.Err()
					}
					return calls.Start(ctx, worker, order)
				}
				planner := h.startPlanner()
				defer planner.Close()
				time.Sleep(test.within)
				for i := range test.jobs {
					if id := h.jobs[i].ID; h.store.status(id) != workflow.Completed {
						t.Errorf("job %s is %q after %v", id, h.store.status(id), test.within)
					}
				}
				if attempts := len(h.fleet.Runs()); attempts != test.jobs*test.step.Tasks {
					t.Errorf("%d attempts of %d tasks", attempts, test.jobs*test.step.Tasks)
				}
				if unanswered := h.counted("retryStart"); unanswered > 0 {
					t.Errorf("%d starts were not answered in time", unanswered)
				}
			})
		})
	}
}
