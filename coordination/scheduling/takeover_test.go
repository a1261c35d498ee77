package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// TestTakeover replaces the planner at a critical moment and lets the next one
// finish the job. It guards against tasks that run twice, and against starts and
// failures that the next planner does not learn of.
func TestTakeover(t *testing.T) {
	gang := workflow.Step{Tasks: 3, Accelerators: 8, Gang: true, SameRack: true}
	single := workflow.Step{Tasks: 4, Accelerators: 2}
	tests := []struct {
		name string
		step workflow.Step
		// prepare injects the fault; the first planner is replaced at takeoverAt.
		prepare    func(h *harness)
		takeoverAt time.Duration
		want       workflow.Status
		// maxStarts bounds the starts of one task.
		maxStarts int
	}{
		{"a gang keeps running", gang, func(*harness) {}, 500 * time.Millisecond, workflow.Completed, 1},
		{"single tasks keep running", single, func(*harness) {}, 500 * time.Millisecond, workflow.Completed, 1},
		{
			"a failure is acknowledged while the rest of its gang still ends", gang,
			func(h *harness) {
				// The calls to w1 and w2 are lost for a while, so that the planner is
				// replaced after the first failure and before the gang's other ends.
				h.fleet.Outcome = func(workflow.Task, int, workflow.WorkerID) workflow.Outcome { return workflow.Faulted }
				h.fleet.Fault = loseCallsBetween(900*time.Millisecond, 2500*time.Millisecond, "w1", "w2")
			},
			1800 * time.Millisecond, workflow.Failed, 2,
		},
		{
			"more tasks end than one report lists", single,
			func(h *harness) {
				// They end while the first planner hears nothing of their workers.
				h.fleet.ListedEnds = 1
				h.fleet.Fault = loseCallsBetween(900*time.Millisecond, 1500*time.Millisecond, "w0", "w1", "w2")
			},
			1400 * time.Millisecond, workflow.Completed, 1,
		},
		{
			"a start is unanswered", single,
			func(h *harness) { h.fleet.Fault = faultOnCall("Start", runner.Unanswered, 300*time.Millisecond) },
			400 * time.Millisecond, workflow.Completed, 1,
		},
		{
			"a start is carried out late", single,
			func(h *harness) { h.fleet.Fault = faultOnCall("Start", runner.Late, 300*time.Millisecond) },
			400 * time.Millisecond, workflow.Completed, 2,
		},
		{
			"the store is unavailable", single,
			func(h *harness) {
				h.store.unavailable = true
				time.AfterFunc(1200*time.Millisecond, func() {
					h.store.mu.Lock()
					defer h.store.mu.Unlock()
					h.store.unavailable = false
				})
			},
			600 * time.Millisecond, workflow.Completed, 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(3)
				h.addJob(job(1, test.step))
				test.prepare(h)
				first := h.startPlanner()
				time.Sleep(test.takeoverAt)
				second := h.startPlanner()
				_ = first.Close()
				time.Sleep(20 * time.Second)
				_ = second.Close()
				if got := h.store.status(h.jobs[0].ID); got != test.want {
					t.Errorf("status %q, want %q", got, test.want)
				}
				starts := make(map[workflow.Task]int)
				for _, r := range h.fleet.Runs() {
					starts[r.Task]++
					if starts[r.Task] > test.maxStarts {
						t.Errorf("%s started %d times, want at most %d: %+v", r.Task, starts[r.Task], test.maxStarts, r)
					}
				}
				for _, v := range runner.Violations(h.fleet.Runs(), h.jobs[0].MaxAttempts) {
					t.Error(v)
				}
			})
		})
	}
}

// faultOnCall injects the fault into every call of that name for a while.
func faultOnCall(name string, fault runner.Fault, during time.Duration) func(string, workflow.WorkerID) runner.Fault {
	began := time.Now()
	return func(call string, _ workflow.WorkerID) runner.Fault {
		if call == name && time.Since(began) < during {
			return fault
		}
		return runner.None
	}
}

// loseCallsBetween loses every call to the workers between two times.
func loseCallsBetween(from, to time.Duration, workers ...workflow.WorkerID) func(string, workflow.WorkerID) runner.Fault {
	began := time.Now()
	return func(_ string, at workflow.WorkerID) runner.Fault {
		age := time.Since(began)
		for _, w := range workers {
			if w == at && age >= from && age < to {
				return runner.Lost
			}
		}
		return runner.None
	}
}
