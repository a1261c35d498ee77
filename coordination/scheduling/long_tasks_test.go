package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/scheduling"
	"comfreystream/state/workflow"
)

// TestLongTasks guards against tasks of minutes and hours that are taken for stalled, and
// stopped and started again for good, while planners and workers are replaced.
func TestLongTasks(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name              string
		declared, runTime time.Duration
		// gang is how many members the task has, each on a worker of its own.
		gang int
		// slow is how many times as long the task takes on the first worker.
		slow       float64
		checkpoint string
		// planners and restarts are when a planner is replaced and a worker restarts.
		planners, restarts []time.Duration
		watched            time.Duration
		// runs is the number of attempts, of all members.
		runs int
	}{
		{"1 s", time.Second, time.Second, 1, 1, "", nil, nil, 5 * time.Second, 1},
		{"4 min", 4 * time.Minute, 4 * time.Minute, 1, 1, "", nil, nil, 5 * time.Minute, 1},
		{"10 min, on a slow worker", 10 * time.Minute, 10 * time.Minute, 1, 3, "", nil, nil, 31 * time.Minute, 1},
		{"10 min, declared as 1 min", time.Minute, 10 * time.Minute, 1, 1, "", nil, nil, 11 * time.Minute, 1},
		{"10 min, a gang", 10 * time.Minute, 10 * time.Minute, 2, 1.5, "", nil, nil, 16 * time.Minute, 2},
		{"10 min, planners are replaced", 10 * time.Minute, 10 * time.Minute, 1, 1, "", []time.Duration{time.Minute, 5 * time.Minute}, nil, 11 * time.Minute, 1},
		{"10 min, the worker restarts", 10 * time.Minute, 10 * time.Minute, 1, 1, "c", nil, []time.Duration{4 * time.Minute}, 20 * time.Minute, 2},
		{"6 h", 6 * time.Hour, 6 * time.Hour, 1, 1, "", []time.Duration{10 * time.Minute}, nil, 20 * time.Minute, 1},
		{"3 days", 72 * time.Hour, 72 * time.Hour, 1, 1, "", nil, nil, 20 * time.Minute, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2)
				h.fleet.Checkpoint = test.checkpoint
				h.fleet.RunTime = func(_ workflow.Task, _ int, w workflow.WorkerID) time.Duration {
					if w == "w0" {
						return time.Duration(test.slow * float64(test.runTime))
					}
					return test.runTime
				}
				j := job(1, workflow.Step{Tasks: test.gang, Accelerators: 8, Gang: test.gang > 1, Estimate: test.declared, Checkpointable: test.checkpoint != ""})
				j.Stretch = 1 // it leaves no room for urgent jobs
				h.addJob(j)
				began := time.Now()
				s := h.startPlanner()
				planners, restarts, incarnation := test.planners, test.restarts, workflow.Incarnation(1)
				for elapsed := time.Duration(0); elapsed < test.watched; elapsed = time.Since(began) {
					if len(planners) > 0 && elapsed >= planners[0] {
						planners = planners[1:]
						s = h.replacePlanner(s)
					}
					if len(restarts) > 0 && elapsed >= restarts[0] {
						restarts = restarts[1:]
						incarnation++
						h.fleet.Add(worker(0, incarnation))
						s.SetWorkers(h.fleet.Workers(), time.Now())
					}
					time.Sleep(time.Second)
				}
				_ = s.Close()
				if stalls, runs := h.counted("stopStalled"), len(h.fleet.Runs()); stalls != 0 || runs != test.runs {
					t.Errorf("%d stalls, %d runs, want %d", stalls, runs, test.runs)
				}
				completed := h.store.status(h.jobs[0].ID) == workflow.Completed
				if want := test.runTime < test.watched; completed != want {
					t.Errorf("completed %v, want %v", completed, want)
				}
			})
		})
	}
}

// replacePlanner closes a planner and begins the next term.
func (h *harness) replacePlanner(s *scheduling.Scheduler) *scheduling.Scheduler {
	_ = s.Close()
	return h.startPlanner()
}
