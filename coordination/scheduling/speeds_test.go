package scheduling_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// unequalFleet makes every third worker take 1.7 times a typical worker's run time and the
// others 0.7 times.
func (h *harness) unequalFleet() {
	h.fleet.RunTime = func(task workflow.Task, _ int, id workflow.WorkerID) time.Duration {
		factor := 0.7
		if last := id[len(id)-1]; (last-'0')%3 == 0 {
			factor = 1.7
		}
		return time.Duration(factor * float64(h.step(task).Estimate))
	}
}

// lateAfter returns how many of the jobs that were accepted at least the given time after the
// first one were completed after their objective, and how many there were.
func (h *harness) lateAfter(runs []runner.Run, learning time.Duration, priority int) (late, count int) {
	done := make(map[workflow.ID]time.Time)
	for _, r := range runs {
		if r.Outcome == workflow.Done && r.Ended.After(done[r.Task.Job]) {
			done[r.Task.Job] = r.Ended
		}
	}
	for _, j := range h.jobs {
		if j.Priority != priority || j.Accepted.Sub(h.jobs[0].Accepted) < learning {
			continue
		}
		count++
		if ended, found := done[j.ID]; !found || ended.Sub(j.Accepted) > j.Objective() {
			late++
		}
	}
	return late, count
}

// TestUrgentWorkOnFastWorkers plays urgent work with an objective that only fast workers meet
// beside work with slack, on workers a third of which is slow. A planner that takes the
// workers for equal is late with one urgent job in three and more, with room to spare.
func TestUrgentWorkOnFastWorkers(t *testing.T) {
	t.Parallel()
	slack := workflow.Step{Tasks: 3, Accelerators: 1, Estimate: 2 * time.Second}
	tests := []struct {
		name   string
		urgent workflow.Step
	}{
		{"gangs of two workers", workflow.Step{Tasks: 2, Accelerators: 4, Gang: true, Estimate: 3 * time.Second}},
		{"gangs on one rack", workflow.Step{Tasks: 2, Accelerators: 3, Gang: true, SameRack: true, Estimate: 3 * time.Second}},
		{"single tasks", workflow.Step{Tasks: 1, Accelerators: 2, Estimate: 3 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(12)
				h.unequalFleet()
				var waves []jobWave
				for i := range 40 {
					at := time.Duration(i) * 600 * time.Millisecond
					waves = append(waves, jobWave{at: at, count: 1, priority: 2, step: slack, stretch: 4},
						jobWave{at: at, count: 1, priority: 0, step: test.urgent, stretch: 1.2})
				}
				runs := h.runWaves(waves, 32*time.Second)
				if late, count := h.lateAfter(runs, 6*time.Second, 0); late*20 > count {
					t.Errorf("%d of %d urgent jobs were late, want at most one in 20", late, count)
				}
				if late, count := h.lateAfter(runs, 0, 2); late*20 > count {
					t.Errorf("%d of %d other jobs were late, want at most one in 20", late, count)
				}
			})
		})
	}
}

// TestMoveStragglers has a worker turn slow when an urgent gang starts there. The gang is moved
// if it then meets its objective elsewhere and not there. It guards against a gang that is
// stopped while nothing may start, since the last reading of the evacuations is too old.
func TestMoveStragglers(t *testing.T) {
	tests := []struct {
		name    string
		slow    string
		stretch float64
		// evacuationAge is how old the only reading of the evacuations, at the start, may be.
		evacuationAge time.Duration
		// storeAnswer is how long the store takes to answer.
		storeAnswer time.Duration
		moved       int
		maxTime     time.Duration
	}{
		{"a faster worker is free", "w0", 1.6, 0, 0, 1, 7400 * time.Millisecond},
		{"the gang is in time where it runs", "w0", 2.5, 0, 0, 0, 8100 * time.Millisecond},
		{"all workers turn slow", "w0 w1 w2 w3 w4 w5", 1.6, 0, 0, 0, 8100 * time.Millisecond},
		{"nothing may start any more", "w0", 1.6, 8500 * time.Millisecond, 0, 0, 8100 * time.Millisecond},
		{"the store is slow", "w0", 1.6, 0, 390 * time.Millisecond, 0, 8600 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(6)
				h.evacuationAge = test.evacuationAge
				h.answer = func() storeAnswer { return storeAnswer{answer: test.storeAnswer} }
				const turnsSlow = 8 * time.Second
				began := time.Now()
				h.fleet.RunTime = func(task workflow.Task, _ int, id workflow.WorkerID) time.Duration {
					if time.Since(began) >= turnsSlow && strings.Contains(test.slow, string(id)) {
						return 2 * h.step(task).Estimate
					}
					return h.step(task).Estimate
				}
				gang := workflow.Step{Tasks: 2, Accelerators: 8, Gang: true, Estimate: 4 * time.Second}
				known := workflow.Step{Tasks: 6, Accelerators: 3, SpreadLimit: 1, Gang: true, Estimate: 2 * time.Second}
				runs := h.runWaves([]jobWave{
					{count: 2, priority: 1, step: known, stretch: 8},
					{at: turnsSlow, count: 1, step: gang, stretch: test.stretch},
				}, 30*time.Second)
				if moved := h.counted("stopMoved"); moved != test.moved {
					t.Errorf("moved %d times, want %d", moved, test.moved)
				}
				ofGang := runsOfJob(runs, h.jobs[len(h.jobs)-1])
				last := ofGang[len(ofGang)-1]
				if took := last.Ended.Sub(h.jobs[len(h.jobs)-1].Accepted); last.Outcome != workflow.Done || took > test.maxTime {
					t.Errorf("ended %q after %v, want done within %v", last.Outcome, took, test.maxTime)
				}
			})
		})
	}
}

// TestMoveOneOfTwoStragglers has one worker of each of two urgent gangs turn slow while one
// worker is free. It guards against both gangs being stopped for the room of one.
func TestMoveOneOfTwoStragglers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(5)
		const turnsSlow = 8 * time.Second
		began := time.Now()
		h.fleet.RunTime = func(task workflow.Task, _ int, id workflow.WorkerID) time.Duration {
			if time.Since(began) >= turnsSlow && (id == "w0" || id == "w2") {
				return 2 * h.step(task).Estimate
			}
			return h.step(task).Estimate
		}
		gang := workflow.Step{Tasks: 2, Accelerators: 8, Gang: true, Estimate: 4 * time.Second}
		known := workflow.Step{Tasks: 5, Accelerators: 3, SpreadLimit: 1, Gang: true, Estimate: 2 * time.Second}
		runs := h.runWaves([]jobWave{
			{count: 2, priority: 1, step: known, stretch: 8},
			{at: turnsSlow, count: 2, step: gang, stretch: 1.6},
		}, 30*time.Second)
		if moved := h.counted("stopMoved"); moved != 1 {
			t.Errorf("moved %d times, want 1", moved)
		}
		for _, r := range runs {
			if r.Outcome == workflow.Done && r.Ended.Sub(began) > turnsSlow+8100*time.Millisecond {
				t.Errorf("%s ended after %v, want at most 8.1s", r.Task, r.Ended.Sub(began)-turnsSlow)
			}
		}
	})
}
