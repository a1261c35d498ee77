package scheduling_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// TestNoticeOfLeaving has workers announce that they leave while a step's first
// attempt runs there. It guards against work that is thrown away although it could
// finish, and against work that cannot finish and waits for the leases of workers that
// have gone.
func TestNoticeOfLeaving(t *testing.T) {
	single := workflow.Step{Tasks: 1, Accelerators: 8}
	gang := workflow.Step{Tasks: 3, Accelerators: 8, Gang: true}
	tests := []struct {
		name string
		step workflow.Step
		// runTime is the actual run time, declared the one that the job states.
		runTime, declared time.Duration
		// noticeAt is when the notice is written, seenAfter how much later it is listed,
		// and remaining what it says. leaving is how many of the hosts leave.
		noticeAt, seenAfter, remaining time.Duration
		leaving                        int
		// stopLost has stops go unanswered, and the worker go silent when it leaves.
		stopLost bool
		// within bounds the time from the notice to the next attempt; 0 means that the
		// first attempt is left to finish.
		within time.Duration
	}{
		{"1.2 s of 2 s are left", single, 2 * time.Second, 2 * time.Second, 800 * time.Millisecond, 100 * time.Millisecond, 1700 * time.Millisecond, 1, false, 0},
		{"the declared time is far too long", single, 2 * time.Second, 8 * time.Second, 800 * time.Millisecond, 100 * time.Millisecond, 1700 * time.Millisecond, 1, false, 0},
		{"8 s have just begun", single, 8 * time.Second, 8 * time.Second, 800 * time.Millisecond, 100 * time.Millisecond, 1700 * time.Millisecond, 1, false, time.Second},
		{"7 s of 8 s are over", single, 8 * time.Second, 8 * time.Second, 7 * time.Second, 100 * time.Millisecond, 1700 * time.Millisecond, 1, false, 0},
		{"a gang over two of them and one that stays", gang, 8 * time.Second, 8 * time.Second, time.Second, 100 * time.Millisecond, 1700 * time.Millisecond, 2, false, time.Second},
		{"a gang that can finish", gang, 2 * time.Second, 2 * time.Second, time.Second, 100 * time.Millisecond, 1700 * time.Millisecond, 2, false, 0},
		{"the notice is seen late", single, 8 * time.Second, 8 * time.Second, time.Second, 1500 * time.Millisecond, 1700 * time.Millisecond, 1, false, 2300 * time.Millisecond},
		{"a stop without a response", single, 12 * time.Second, 12 * time.Second, 3 * time.Second, 100 * time.Millisecond, 1700 * time.Millisecond, 1, true, 6500 * time.Millisecond},
		{"it does not say how long it stays", single, 8 * time.Second, 8 * time.Second, time.Second, 100 * time.Millisecond, 0, 1, false, 0},
		{"it stays long", single, 8 * time.Second, 8 * time.Second, time.Second, 100 * time.Millisecond, time.Minute, 1, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(8)
				test.step.Estimate = test.declared
				h.addJob(job(1, test.step))
				h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return test.runTime }
				if test.stopLost {
					lose, gone := loseCallsBetween(test.noticeAt+test.remaining, time.Hour, "w0"), faultOnCall("Stop", runner.Lost, time.Hour)
					h.fleet.Fault = func(call string, w workflow.WorkerID) runner.Fault { return max(lose(call, w), gone(call, w)) }
				}
				s := h.startPlanner()
				defer s.Close()
				h.listUntil(s, test.noticeAt, nil, 0)
				noticeAt, leaving := time.Now(), h.hosts(1)
				leaving = leaving[:test.leaving]
				time.Sleep(test.seenAfter)
				h.listUntil(s, test.runTime+time.Second, leaving, test.remaining)
				h.check(t, leaving, noticeAt, test.within)
			})
		})
	}
}

// check compares the next attempt with what is expected of it.
func (h *harness) check(t *testing.T, leaving []workflow.WorkerID, noticeAt time.Time, within time.Duration) {
	t.Helper()
	began := false
	for _, r := range h.fleet.Runs() {
		if r.Attempt == 1 {
			continue
		}
		began = true
		if slices.Contains(leaving, r.Worker) {
			t.Errorf("%s started again on %s, which leaves", r.Task, r.Worker)
		}
		if after := r.Started.Sub(noticeAt); r.Attempt == 2 && after > within {
			t.Errorf("%s started again after %v, want at most %v", r.Task, after, within)
		}
	}
	if began != (within > 0) {
		t.Errorf("started again: %v, want %v", began, within > 0)
	}
	for _, v := range runner.Violations(h.fleet.Runs(), 2) {
		t.Error(v)
	}
}

// listUntil lists the registry each 500 ms for a time, with workers that leave.
func (h *harness) listUntil(s *scheduling.Scheduler, during time.Duration, leaving []workflow.WorkerID, remaining time.Duration) {
	until := time.Now().Add(during)
	for time.Now().Before(until) {
		entries := h.fleet.Workers()
		for i := range entries {
			if slices.Contains(leaving, entries[i].ID) {
				entries[i].Draining, entries[i].Remaining = true, remaining
			}
		}
		s.SetWorkers(entries, time.Now())
		time.Sleep(min(500*time.Millisecond, time.Until(until)))
	}
}

// hosts returns the workers that run an attempt.
func (h *harness) hosts(attempt int) (list []workflow.WorkerID) {
	for _, r := range h.fleet.Runs() {
		if r.Attempt == attempt && !slices.Contains(list, r.Worker) {
			list = append(list, r.Worker)
		}
	}
	return list
}

// TestLongRunningMoved has the worker of a step's two long-running tasks announce that
// it leaves. It guards against both being down at once, and against neither being moved.
func TestLongRunningMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(2)
		h.addJob(job(1, workflow.Step{Tasks: 2, Accelerators: 4, LongRunning: true, Estimate: time.Hour}))
		h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return time.Hour }
		s := h.startPlanner()
		defer s.Close()
		h.listUntil(s, time.Second, nil, 0)
		leaving := h.hosts(1)
		if len(leaving) != 1 {
			t.Fatalf("the tasks run on %v, want one worker", leaving)
		}
		h.listUntil(s, 2*time.Second, leaving, 1700*time.Millisecond)
		runs := h.fleet.Runs()
		if len(runs) != 4 {
			t.Fatalf("%d attempts, want each task moved once", len(runs))
		}
		first, down := runs[2], 0
		for _, r := range runs[:2] {
			if r.Ended.IsZero() || !r.Ended.Before(first.Started) {
				continue
			}
			down++
			if r.Task != first.Task {
				t.Errorf("%s moved first, and %s was stopped first", first.Task, r.Task)
			}
		}
		if down != 1 {
			t.Errorf("%d tasks were down when the first one started elsewhere, want 1", down)
		}
	})
}

// TestUnsentStartLeaves has the worker of an attempt that is not stored yet announce
// that it leaves. It guards against a start on a worker that is about to leave.
func TestUnsentStartLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(4)
		h.addJob(job(1, workflow.Step{Tasks: 1, Accelerators: 8, Estimate: 2 * time.Second}))
		h.store.unavailable = true
		s := h.startPlanner()
		defer s.Close()
		h.listUntil(s, time.Second, nil, 0)
		leaving := []workflow.WorkerID{"w0"} // the first by ID, as all are free
		h.listUntil(s, time.Second, leaving, 1700*time.Millisecond)
		h.store.mu.Lock()
		h.store.unavailable = false
		h.store.mu.Unlock()
		h.listUntil(s, time.Second, leaving, 1700*time.Millisecond)
		if runs := h.fleet.Runs(); len(runs) != 1 || runs[0].Worker != "w1" {
			t.Errorf("attempts %+v, want one on w1", runs)
		}
	})
}
