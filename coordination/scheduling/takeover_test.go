package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// TestTakeover ends a planner in the middle of something and lets the next one
// finish; no promise may break, whatever the first had not done yet.
func TestTakeover(t *testing.T) {
	gang := workflow.Step{Tasks: 3, Accelerators: 8, Gang: true, SameRack: true}
	single := workflow.Step{Tasks: 4, Accelerators: 2}
	tests := []struct {
		name string
		step workflow.Step
		// prepare sets the fault; the first planner is replaced at the time.
		prepare func(h *harness)
		at      time.Duration
		want    workflow.Status
		// attempts bounds the starts of one task.
		attempts int
	}{
		{"gang runs on", gang, func(*harness) {}, 500 * time.Millisecond, workflow.Completed, 1},
		{"tasks run on", single, func(*harness) {}, 500 * time.Millisecond, workflow.Completed, 1},
		{
			"a failure is acknowledged while the rest of its gang still ends", gang,
			func(h *harness) {
				// The members that break are listed by workers that answer late, so
				// that the planner ends between the failure and the gang's end.
				h.fleet.Outcome = func(workflow.Task, int, workflow.WorkerID) workflow.Outcome { return workflow.Faulted }
				h.fleet.Fault = onlyAfter(900*time.Millisecond, 2500*time.Millisecond, "w1", "w2")
			},
			1800 * time.Millisecond, workflow.Failed, 2,
		},
		{
			"a start is unanswered", single,
			func(h *harness) { h.fleet.Fault = forCall("Start", runner.Unanswered, 300*time.Millisecond) },
			400 * time.Millisecond, workflow.Completed, 1,
		},
		{
			"a start is carried out late", single,
			func(h *harness) { h.fleet.Fault = forCall("Start", runner.Late, 300*time.Millisecond) },
			400 * time.Millisecond, workflow.Completed, 2,
		},
		{
			"the record is away", single,
			func(h *harness) {
				h.ledger.away = true
				time.AfterFunc(1200*time.Millisecond, func() {
					h.ledger.mu.Lock()
					defer h.ledger.mu.Unlock()
					h.ledger.away = false
				})
			},
			600 * time.Millisecond, workflow.Completed, 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(3)
				h.add(job(1, test.step))
				test.prepare(h)
				first := h.plan()
				time.Sleep(test.at)
				second := h.plan()
				_ = first.Close()
				time.Sleep(20 * time.Second)
				_ = second.Close()
				if got := h.ledger.status(h.jobs[0].ID); got != test.want {
					t.Errorf("status %q, want %q", got, test.want)
				}
				starts := make(map[workflow.Task]int)
				for _, r := range h.fleet.Runs() {
					starts[r.Task]++
					if starts[r.Task] > test.attempts {
						t.Errorf("%s began %d times, want at most %d: %+v", r.Task, starts[r.Task], test.attempts, r)
					}
				}
				for _, v := range runner.Violations(h.fleet.Runs(), h.jobs[0].MaxAttempts) {
					t.Error(v)
				}
			})
		})
	}
}

// forCall has every call of a name fail for a while.
func forCall(name string, fault runner.Fault, during time.Duration) func(string, workflow.WorkerID) runner.Fault {
	began := time.Now()
	return func(call string, _ workflow.WorkerID) runner.Fault {
		if call == name && time.Since(began) < during {
			return fault
		}
		return runner.None
	}
}

// onlyAfter has the workers lose every call between two times.
func onlyAfter(from, to time.Duration, workers ...workflow.WorkerID) func(string, workflow.WorkerID) runner.Fault {
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
