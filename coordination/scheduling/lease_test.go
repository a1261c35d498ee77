package scheduling_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// TestStartAfterLeaseRanOut has a worker answer again after its lease has run out, and
// refuse the renewals after that for a while. It guards against an attempt that is taken
// for lost as soon as it was started there, and started again beside itself.
func TestStartAfterLeaseRanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		j := job(1, workflow.Step{Tasks: 2, Accelerators: 2, Gang: true})
		j.Priority = 0
		const silentUntil, refusedUntil = 12 * time.Second, 13 * time.Second
		calls, began, answered := h.calls, time.Now(), false
		h.calls.Renew = func(ctx context.Context, w workflow.Worker, order scheduling.RenewOrder) (workflow.Report, error) {
			age := time.Since(began)
			h.mu.Lock()
			refuse := age > 0 && age < silentUntil || answered && age < refusedUntil
			answered = answered || age >= silentUntil
			h.mu.Unlock()
			if refuse {
				return workflow.Report{}, state.NewStepError("renew", w.Address, state.WorkerSilent, nil)
			}
			return calls.Renew(ctx, w, order)
		}
		s := h.startPlanner()
		defer s.Close()
		time.Sleep(silentUntil - time.Second)
		h.addJob(j)
		s.Load(j, workflow.Progress{}, nil)
		time.Sleep(10 * time.Second)
		runs := h.fleet.Runs()
		if len(runs) != 2 {
			t.Errorf("%d attempts, want one of two members", len(runs))
		}
		for _, v := range runner.Violations(runs, 2) {
			t.Error(v)
		}
	})
}

// TestEarlierPlannerLease has a worker report once to a new planner and then fall silent,
// while the earlier planner renews its lease as long as the worker lets it. It guards against
// a task that is started elsewhere while it still runs under that lease.
func TestEarlierPlannerLease(t *testing.T) {
	tests := []struct {
		name string
		// answersAt is when the worker begins to answer the new planner, after its begin.
		answersAt time.Duration
	}{
		{"at once", 0},
		{"within the overlap", time.Second},
		{"late in the overlap", 1900 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2)
				h.fleet.LeaseLimit = 10 * time.Second
				h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return 100 * time.Second }
				calls := h.calls
				var second time.Time
				answered := false
				h.calls.Renew = func(ctx context.Context, w workflow.Worker, order scheduling.RenewOrder) (workflow.Report, error) {
					h.mu.Lock()
					silent := w.ID == "w0" && order.Term == 2 && (answered || time.Since(second) < test.answersAt)
					answered = answered || w.ID == "w0" && order.Term == 2 && !silent
					// Of the other worker the first planner does not hear that its term is over.
					silent = silent || w.ID != "w0" && order.Term == 1
					h.mu.Unlock()
					if silent {
						return workflow.Report{}, state.NewStepError("renew", w.Address, state.WorkerSilent, nil)
					}
					return calls.Renew(ctx, w, order)
				}
				j := job(1, workflow.Step{Tasks: 1, Accelerators: 1, LongRunning: true})
				j.Steps = append(j.Steps, workflow.Step{Tasks: 1, Accelerators: 1, Cores: 1000, MemoryMiB: 1024, Estimate: 100 * time.Second})
				h.addJob(j)
				first := h.startPlanner()
				time.Sleep(3 * time.Second)
				h.mu.Lock()
				second = time.Now()
				h.mu.Unlock()
				s := h.startPlanner()
				time.Sleep(20 * time.Second)
				_, _ = first.Close(), s.Close()
				runs := h.fleet.Runs()
				restarted := 0
				for _, r := range runs {
					if r.Worker == "w1" {
						restarted++
					}
				}
				if restarted != len(j.Steps) {
					t.Errorf("%d tasks were started again: %v", restarted, runs)
				}
				for _, v := range runner.Violations(runs, 2) {
					t.Error(v)
				}
			})
		})
	}
}
