package scheduling_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/scheduling"
	"comfreystream/state/workflow"
)

// TestCancelLargeJob cancels a job of many tasks. A worker accepts 64 connections, and
// everything must have ended 3.9 s after the cancellation.
func TestCancelLargeJob(t *testing.T) {
	t.Parallel()
	const connections, within = 64, 3900 * time.Millisecond
	tests := []struct {
		name           string
		workers, tasks int
		// slow is how long a stop takes to be answered.
		slow time.Duration
	}{
		{"on one worker", 1, 600, 10 * time.Millisecond},
		{"on one worker that is slow", 1, 300, 150 * time.Millisecond},
		{"on several workers", 3, 900, 10 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.workers)
				h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return time.Minute }
				var mu sync.Mutex
				open, most, sent := make(map[workflow.WorkerID]int), 0, 0
				stop := h.calls.Stop
				h.calls.Stop = func(ctx context.Context, w workflow.Worker, order scheduling.StopOrder) error {
					count := func(change int) {
						mu.Lock()
						defer mu.Unlock()
						open[w.ID] += change
						most = max(most, open[w.ID])
						sent += max(change, 0)
					}
					count(1)
					defer count(-1)
					time.Sleep(test.slow)
					return stop(ctx, w, order)
				}
				j := job(1, workflow.Step{Tasks: test.tasks})
				j.Steps[0].Cores, j.Steps[0].MemoryMiB = 40, 1
				h.addJob(j)
				s := h.startPlanner()
				time.Sleep(10 * time.Second)
				if runs := len(h.fleet.Runs()); runs != test.tasks {
					t.Fatalf("%d tasks run before the cancellation", runs)
				}
				cancelled := time.Now()
				s.Cancel(j.ID)
				time.Sleep(10 * time.Second)
				_ = s.Close()
				for _, r := range h.fleet.Runs() {
					if took := r.Ended.Sub(cancelled); r.Ended.IsZero() || took > within {
						t.Fatalf("%s ended %v after the cancellation", r.Task, took)
					}
				}
				if most > connections || sent > test.tasks*11/10 {
					t.Errorf("%d stops at a time and %d in all, for %d tasks", most, sent, test.tasks)
				}
			})
		})
	}
}
