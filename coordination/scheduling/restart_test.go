package scheduling_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// TestRestartBeforeRetry has a worker restart after it has heard of a new term, and
// before the earlier planner repeats an order to start a task there. The new incarnation
// knows no term and carries out the order. It guards against a second attempt beside
// that one, which the new planner starts when the store accepts it at last, without
// having heard of the worker since.
func TestRestartBeforeRetry(t *testing.T) {
	const takeoverAt, restartAt, retryAt, storeBackAt = 300 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second
	tests := []struct {
		name string
		// noticed is set if a renewal of the earlier planner fails at the restart.
		noticed bool
		// silentUntil is until when the new planner gets no answers to its renewals.
		silentUntil time.Duration
		attempts    int
	}{
		{"the worker is silent until after the attempt is stored", false, 2500 * time.Millisecond, 2},
		{"the worker is heard before the attempt is stored", false, 1500 * time.Millisecond, 2},
		{"the earlier planner notices the restart", true, 2500 * time.Millisecond, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(1)
				h.cores = 0.001 // renewals wait for a second
				j := job(1, workflow.Step{Tasks: 1, Accelerators: 8})
				j.Priority = 0
				h.addJob(j)
				h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return 3 * time.Second }
				calls, began := h.calls, time.Now()
				lost := func(ctx context.Context, w workflow.Worker) error {
					<-ctx.Done()
					return state.NewAmbiguousStepError("call", w.Address, state.WorkerSilent, ctx.Err())
				}
				h.calls.Start = func(ctx context.Context, w workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
					if time.Since(began) < retryAt {
						return "", lost(ctx, w)
					}
					return calls.Start(ctx, w, order)
				}
				var earlier, renewals atomic.Int32
				h.calls.Renew = func(ctx context.Context, w workflow.Worker, order scheduling.RenewOrder) (workflow.Report, error) {
					switch {
					case order.Term == 1 && !test.noticed && earlier.Add(1) > 1:
						return workflow.Report{}, lost(ctx, w)
					case order.Term == 2 && renewals.Add(1) > 1 && time.Since(began) < test.silentUntil:
						order.Wait = 0
						_, _ = calls.Renew(ctx, w, order) // it extends the lease
						return workflow.Report{}, lost(ctx, w)
					case order.Term == 2 && time.Since(began) < test.silentUntil:
						order.Wait = 0
					}
					return calls.Renew(ctx, w, order)
				}
				first := h.startPlanner()
				time.Sleep(100 * time.Millisecond)
				h.setUnavailable(true)
				time.Sleep(takeoverAt - 100*time.Millisecond)
				second := h.startPlanner()
				time.Sleep(restartAt - takeoverAt)
				h.fleet.Add(worker(0, 2))
				time.Sleep(time.Second)
				_ = first.Close()
				time.Sleep(storeBackAt - restartAt - time.Second)
				h.setUnavailable(false)
				second.SetWorkers(h.fleet.Workers(), time.Now())
				time.Sleep(20 * time.Second)
				_ = second.Close()
				runs := h.fleet.Runs()
				if len(runs) != test.attempts || runs[len(runs)-1].Term != 2 {
					t.Errorf("attempts %+v, want %d and the last of the second term", runs, test.attempts)
				}
				for _, v := range runner.Violations(runs, 2) {
					t.Error(v)
				}
				if status := h.store.status(j.ID); status != workflow.Completed {
					t.Errorf("status %q", status)
				}
			})
		})
	}
}

// setUnavailable makes the store refuse saves or accept them again.
func (h *harness) setUnavailable(unavailable bool) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.store.unavailable = unavailable
}
