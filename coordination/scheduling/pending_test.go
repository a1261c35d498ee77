package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// TestPending counts jobs of which no task has started. An attempt that came to nothing
// does not count as a start.
func TestPending(t *testing.T) {
	tests := []struct {
		name  string
		fault runner.Fault
		// takeover is set if the planner is replaced before the count.
		takeover bool
		want     int
	}{
		{"started", runner.None, false, 0},
		{"started, then another planner", runner.None, true, 0},
		{"no start is sent", runner.Refused, false, 3},
		{"starts are lost", runner.Lost, false, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(1)
				h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return time.Minute }
				h.fleet.Fault = faultOnCall("Start", test.fault, time.Minute)
				for i := range 3 {
					h.addJob(job(i+1, workflow.Step{Tasks: 1, Accelerators: 1}))
				}
				s := h.startPlanner()
				time.Sleep(5 * time.Second)
				if test.takeover {
					_ = s.Close()
					s = h.startPlanner()
				}
				if pending := s.Pending()["render"]; pending != test.want {
					t.Errorf("%d jobs are pending, want %d", pending, test.want)
				}
				_ = s.Close()
			})
		})
	}
}
