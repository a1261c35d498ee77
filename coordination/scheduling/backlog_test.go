package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// TestWaits plays 20 s of urgent work on two workers and submits another job of priority 1
// at the end. It guards against waits that are reported while there is room, while the
// workers are not heard, or that are longer than the job waits in the end.
func TestWaits(t *testing.T) {
	urgent := workflow.Step{Tasks: 1, Accelerators: 8, Estimate: 2 * time.Second}
	tests := []struct {
		name string
		// every is the time between two urgent jobs, of which each takes a worker for 2 s.
		every  time.Duration
		silent bool
		want   bool
	}{
		{"calm", 2 * time.Second, false, false},
		{"nearly full", 1200 * time.Millisecond, false, false},
		{"5 times the load", 200 * time.Millisecond, false, true},
		{"workers are not heard", 200 * time.Millisecond, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2)
				if test.silent {
					h.fleet.Fault = func(string, workflow.WorkerID) runner.Fault { return runner.Lost }
				}
				s := h.startPlanner()
				began := time.Now()
				submit := func(priority int) *workflow.Job {
					j := job(len(h.jobs)+1, urgent)
					j.Priority = priority
					h.addJob(j)
					s.Load(j, workflow.Progress{}, nil)
					return j
				}
				submit(1)
				for time.Since(began) < 20*time.Second {
					submit(0)
					time.Sleep(test.every)
				}
				last := submit(1)
				time.Sleep(20 * time.Millisecond)
				var wait time.Duration
				for _, w := range s.Waits() {
					if w.Priority == 1 && w.Member == 8 && w.InTime > last.Objective() {
						wait = w.Late
					}
				}
				if (wait > 3*last.Objective()) != test.want {
					t.Errorf("wait %v, want more than three times the objective: %v", wait, test.want)
				}
				time.Sleep(2 * time.Minute)
				_ = s.Close()
				if runs := runsOfJob(h.fleet.Runs(), last); !test.silent && len(runs) == 0 || len(runs) > 0 && runs[0].Started.Sub(last.Accepted) < wait {
					t.Errorf("started %d times, want once, %v after its acceptance or later", len(runs), wait)
				}
			})
		})
	}
}
