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
