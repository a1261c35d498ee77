package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state/workflow"
)

// TestRestartAsOtherKind restarts a worker, perhaps with other labels, and lists it 2 s
// later. What requires a label must not start there before its new labels are known.
func TestRestartAsOtherKind(t *testing.T) {
	tests := []struct {
		name  string
		label string
		// unsaved is set if the store is away from the restart on, so that an attempt
		// is planned and not yet started.
		unsaved bool
		// unlisted and listed are the runs before and after the new entry is listed.
		unlisted, listed int
	}{
		{"the same kind", "special", false, 1, 2},
		{"another kind", "plain", false, 1, 1},
		{"another kind, with an attempt planned", "plain", true, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(0)
				before, after := worker(0, 1), worker(0, 2)
				before.Labels, after.Labels = []string{"special"}, []string{test.label}
				h.fleet.Add(before)
				h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return time.Minute }
				h.addJob(job(1, workflow.Step{Tasks: 1, Accelerators: 1, Label: "special"}))
				h.store.unavailable = test.unsaved
				s := h.startPlanner()
				time.Sleep(500 * time.Millisecond)
				h.fleet.Add(after)
				time.AfterFunc(time.Second, func() {
					h.store.mu.Lock()
					defer h.store.mu.Unlock()
					h.store.unavailable = false
				})
				time.Sleep(2 * time.Second)
				if runs := len(h.fleet.Runs()); runs != test.unlisted {
					t.Errorf("%d runs before the new entry is listed, want %d", runs, test.unlisted)
				}
				s.SetWorkers(h.fleet.Workers(), time.Now())
				time.Sleep(2 * time.Second)
				if runs := len(h.fleet.Runs()); runs != test.listed {
					t.Errorf("%d runs after that, want %d", runs, test.listed)
				}
				_ = s.Close()
			})
		})
	}
}
