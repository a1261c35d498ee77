package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state/workflow"
)

// TestOnlyWorker has the only worker with a label fail all that it starts for 6.5 s. A
// task that needs the label must be tried again there, also on a busy deployment and on
// workers without accelerators, and not so often that its attempts are used up.
func TestOnlyWorker(t *testing.T) {
	const failing = 6500 * time.Millisecond
	tests := []struct {
		name string
		step workflow.Step
		// accelerators is what each worker has, busy how many of them other work uses.
		accelerators, busy int
		// gap is the longest time between two runs of the task.
		gap time.Duration
	}{
		{"a busy deployment, a task that lasts", workflow.Step{Tasks: 1, Accelerators: 1, LongRunning: true}, 8, 7, 9 * time.Second},
		{"an idle deployment, a task that lasts", workflow.Step{Tasks: 1, Accelerators: 1, LongRunning: true}, 8, 0, 3 * time.Second},
		{"a busy deployment", workflow.Step{Tasks: 1, Accelerators: 1}, 8, 7, 9 * time.Second},
		{"an idle deployment", workflow.Step{Tasks: 1, Accelerators: 1}, 8, 0, 3 * time.Second},
		{"workers without accelerators", workflow.Step{Tasks: 1}, 0, 0, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(0)
				for i := range 4 {
					w := worker(i, 1)
					w.Capacity.Accelerators = test.accelerators
					h.fleet.Add(w)
				}
				test.step.Label = "rack-1" // that of the last worker only
				h.addJob(job(1, test.step))
				h.jobs[0].MaxAttempts = 4
				if test.busy > 0 {
					h.addJob(job(2, workflow.Step{Tasks: 3, Accelerators: test.busy, LongRunning: true, Label: "rack-0"}))
				}
				began := time.Now()
				h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration {
					switch {
					case task.Job != h.jobs[0].ID || test.step.LongRunning && time.Since(began) > failing:
						return time.Hour
					case time.Since(began) > failing:
						return time.Second
					}
					return 300 * time.Millisecond
				}
				h.fleet.Outcome = func(task workflow.Task, _ int, _ workflow.WorkerID) workflow.Outcome {
					if task.Job == h.jobs[0].ID && time.Since(began) < failing {
						return workflow.Faulted
					}
					return workflow.Done
				}
				s := h.startPlanner()
				time.Sleep(25 * time.Second)
				status, running := h.store.status(h.jobs[0].ID), false
				var last time.Time
				for _, r := range h.fleet.Runs() {
					if r.Task.Job != h.jobs[0].ID {
						continue
					}
					if gap := r.Started.Sub(last); !last.IsZero() && gap > test.gap {
						t.Errorf("run %d came %v after the one before had ended", r.Attempt, gap)
					}
					last, running = r.Ended, r.Ended.IsZero()
				}
				_ = s.Close()
				if test.step.LongRunning && !running || !test.step.LongRunning && status != workflow.Completed {
					t.Errorf("status %q, running %v", status, running)
				}
			})
		})
	}
}
