package scheduling_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// newZonedHarness returns six workers with 8 accelerators each: w0 to w2 in zone a, w3 to
// w5 in zone b. Tasks run for 30 s, long-running ones for 5 minutes.
func newZonedHarness() *harness {
	h := newHarness(0)
	for i := range 6 {
		w := worker(i, 1)
		w.AvailabilityZone = []string{"a", "b"}[i/3]
		h.fleet.Add(w)
	}
	h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration {
		if h.step(task).LongRunning {
			return 5 * time.Minute
		}
		return 30 * time.Second
	}
	return h
}

func inZoneA(id workflow.WorkerID) bool { return id < "w3" }

func inZoneB(id workflow.WorkerID) bool { return !inZoneA(id) }

func isW1(id workflow.WorkerID) bool { return id == "w1" }

// countInZoneA returns how many attempts started in zone a, and how many elsewhere.
func countInZoneA(runs []runner.Run) (inside, outside int) {
	for _, r := range runs {
		if inZoneA(r.Worker) {
			inside++
		} else {
			outside++
		}
	}
	return inside, outside
}

var zoneA = map[string]bool{"a": true}

// TestEvacuated checks where tasks start while zone a is evacuated. Six tasks take half
// of the workers each, so that they fit into zone b alone, and 12 into both.
func TestEvacuated(t *testing.T) {
	t.Parallel()
	type set struct {
		zones map[string]bool
		asOf  keyvalue.Revision
	}
	both, none := map[string]bool{"a": true, "b": true}, map[string]bool{}
	tests := []struct {
		name string
		sets []set
		// inside and outside are the starts in zone a and in zone b of 12 tasks.
		inside, outside int
	}{
		{"no reading", nil, 0, 0},
		{"no zone", []set{{none, 5}}, 6, 6},
		{"zone a, as read by a planner that was elected meanwhile", []set{{zoneA, 5}}, 0, 6},
		{"a zone without workers", []set{{map[string]bool{"": true, "c": true}, 5}}, 6, 6},
		{"a zone listed as not evacuated", []set{{map[string]bool{"a": false}, 5}}, 6, 6},
		{"all zones", []set{{both, 5}}, 0, 0},
		{"an older reading without the zone", []set{{zoneA, 5}, {none, 4}}, 0, 6},
		{"an older reading with the zone", []set{{none, 5}, {zoneA, 4}}, 6, 6},
		{"a newer reading without the zone", []set{{zoneA, 5}, {none, 6}}, 6, 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newZonedHarness()
				h.unread = true
				h.addJob(job(1, workflow.Step{Tasks: 12, Accelerators: 4}))
				s := h.startPlanner()
				for _, set := range test.sets {
					s.SetEvacuated(set.zones, set.asOf)
				}
				time.Sleep(20 * time.Second)
				_ = s.Close()
				if inside, outside := countInZoneA(h.fleet.Runs()); inside != test.inside || outside != test.outside {
					t.Errorf("%d starts in zone a and %d in zone b, want %d and %d", inside, outside, test.inside, test.outside)
				}
			})
		})
	}
}

// TestEvacuatedLater evacuates zone a while a gang of six, which needs all workers, and
// single tasks are on their way there. It guards against starts in the zone from then
// on, against parts of a gang that run, and against stops of what runs.
func TestEvacuatedLater(t *testing.T) {
	t.Parallel()
	gang := workflow.Step{Tasks: 6, Accelerators: 8, Gang: true}
	smallGang := workflow.Step{Tasks: 3, Accelerators: 8, Gang: true}
	singles := workflow.Step{Tasks: 12, Accelerators: 4}
	lasting := workflow.Step{Tasks: 12, Accelerators: 4, LongRunning: true}
	tests := []struct {
		name string
		step workflow.Step
		// prepare injects a fault; zone a is evacuated at evacuatedAt, and restored after
		// 10 s or, if it is set, at restoredAt.
		prepare                 func(h *harness)
		evacuatedAt, restoredAt time.Duration
		// inside is the number of starts in zone a until it is restored, ran the number of
		// attempts that run 9 s after the beginning.
		inside, ran int
		// unsent is set if no order of the first attempts was sent.
		unsent bool
	}{
		{"before the first save is answered", singles, failFirstSaves, 500 * time.Millisecond, 0, 0, 6, true},
		{"a gang, before the first save is answered", gang, failFirstSaves, 500 * time.Millisecond, 0, 0, 0, true},
		{"a gang that fits elsewhere, before the first save is answered", smallGang, failFirstSaves, 500 * time.Millisecond, 0, 0, 3, true},
		{"a first order is lost and would be repeated later", singles, loseStartsTo(inZoneA, 300*time.Millisecond), 150 * time.Millisecond, 0, 0, 6, false},
		{"a gang whose orders are lost in the zone", gang, loseStartsTo(inZoneA, time.Second), 150 * time.Millisecond, 0, 0, 0, false},
		{"a gang that has started but for one worker in the zone", gang, loseStartsTo(isW1, time.Second), 150 * time.Millisecond, 0, 2, 0, false},
		{"a gang whose orders are lost elsewhere and repeated", gang, loseStartsTo(inZoneB, 300*time.Millisecond), 150 * time.Millisecond, 0, 3, 6, false},
		{"orders that wait behind others without an answer", singles, queueStarts, 100 * time.Millisecond, 0, 0, 6, false},
		{"single tasks that run", singles, func(*harness) {}, time.Second, 0, 6, 12, false},
		{"a gang that runs", gang, func(*harness) {}, time.Second, 0, 3, 6, false},
		{"long-running tasks", lasting, func(*harness) {}, time.Second, 0, 6, 12, false},
		{"revoked between plan and start", singles, failFirstSaves, 300 * time.Millisecond, 600 * time.Millisecond, 0, 12, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newZonedHarness()
				j := job(1, test.step)
				j.Priority = 0
				h.addJob(j)
				test.prepare(h)
				began := time.Now()
				s := h.startPlanner()
				time.Sleep(test.evacuatedAt)
				s.SetEvacuated(zoneA, 2)
				restoredAt := 10 * time.Second
				if test.restoredAt > 0 {
					restoredAt = test.restoredAt
				}
				time.AfterFunc(restoredAt-test.evacuatedAt, func() { s.SetEvacuated(nil, 3) })
				time.Sleep(9*time.Second - test.evacuatedAt)
				runs := h.fleet.Runs()
				inside, ran := 0, 0
				for _, r := range runs {
					started := r.Started.Sub(began)
					if inZoneA(r.Worker) && started < restoredAt {
						inside++
					}
					if inZoneA(r.Worker) && started > test.evacuatedAt && started < restoredAt {
						t.Errorf("%s started on %s after %v", r.Task, r.Worker, started)
					}
					if r.Ended.IsZero() {
						ran++
					}
				}
				if test.unsent && (h.counted("stopEvacuated") == 0 || h.counted("stopIncomplete") > 0 || h.counted("started") != ran) {
					t.Errorf("placed again %d groups, and %d after some of their orders", h.counted("stopEvacuated"), h.counted("stopIncomplete"))
				}
				if inside != test.inside || ran != test.ran {
					t.Errorf("%d starts in zone a and %d attempts that run, want %d and %d", inside, ran, test.inside, test.ran)
				}
				time.Sleep(40 * time.Second)
				_ = s.Close()
				if got := h.store.status(h.jobs[0].ID); !test.step.LongRunning && got != workflow.Completed {
					t.Errorf("status %q after the zone was restored", got)
				}
				for _, v := range runner.Violations(h.fleet.Runs(), h.jobs[0].MaxAttempts) {
					t.Error(v)
				}
			})
		})
	}
}

// failFirstSaves has the store answer no save in the first second.
func failFirstSaves(h *harness) {
	h.store.unavailable = true
	time.AfterFunc(time.Second, func() {
		h.store.mu.Lock()
		defer h.store.mu.Unlock()
		h.store.unavailable = false
	})
}

// loseStartsTo loses the start orders to some workers for a while.
func loseStartsTo(lost func(id workflow.WorkerID) bool, during time.Duration) func(h *harness) {
	return func(h *harness) {
		began := time.Now()
		h.fleet.Fault = func(call string, at workflow.WorkerID) runner.Fault {
			if call == "Start" && lost(at) && time.Since(began) < during {
				return runner.Lost
			}
			return runner.None
		}
	}
}

// queueStarts has one start at a time, of which the first take 200 ms each.
func queueStarts(h *harness) {
	h.cores = 0.0001
	start := h.calls.Start
	began := time.Now()
	h.calls.Start = func(ctx context.Context, w workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
		if time.Since(began) < 90*time.Millisecond {
			<-ctx.Done()
			return "", ctx.Err()
		}
		return start(ctx, w, order)
	}
}

// TestEvacuatedWhileVictimsStop evacuates the zone in which an urgent job waits for an
// attempt that was stopped for it. The job must be placed in the other zone at once.
func TestEvacuatedWhileVictimsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newZonedHarness()
		h.guaranteed = 8
		stoppedIn := make(chan string, 10)
		stop := h.calls.Stop
		h.calls.Stop = func(ctx context.Context, w workflow.Worker, order scheduling.StopOrder) error {
			stoppedIn <- w.AvailabilityZone
			return stop(ctx, w, order)
		}
		for i := range 6 {
			background := job(i+1, workflow.Step{Tasks: 1, Accelerators: 8, Estimate: 30 * time.Second})
			background.Stretch = 1 // it does not wait to leave room for urgent jobs
			h.addJob(background)
		}
		s := h.startPlanner()
		time.Sleep(2 * time.Second)
		urgent := job(7, workflow.Step{Tasks: 1, Accelerators: 8})
		urgent.Priority = 0
		h.addJob(urgent)
		s.Load(urgent, workflow.Progress{}, nil)
		zone := <-stoppedIn
		s.SetEvacuated(map[string]bool{zone: true}, 2)
		time.Sleep(20 * time.Millisecond)
		if h.counted("stopEvacuated") != 1 {
			t.Error("the attempt in the zone was not given up at once")
		}
		time.Sleep(5 * time.Second)
		_ = s.Close()
		runs := runsOfJob(h.fleet.Runs(), urgent)
		if len(runs) != 1 || inZoneA(runs[0].Worker) == (zone == "a") {
			t.Errorf("started on %v, want one start outside zone %s", workersOf(runs), zone)
		}
	})
}

// TestEvacuatedTakeover replaces the planner after it has stored attempts in zone a, of
// which it started none or a part, and evacuates the zone meanwhile. The next planner must
// start nothing there, and no gang in part.
func TestEvacuatedTakeover(t *testing.T) {
	everywhere := func(workflow.WorkerID) bool { return true }
	tests := []struct {
		name string
		step workflow.Step
		lost func(id workflow.WorkerID) bool
		// inside is the number of starts in zone a, ran that of attempts that run 10 s
		// later.
		inside, ran int
	}{
		{"no order arrived", workflow.Step{Tasks: 12, Accelerators: 4}, everywhere, 0, 6},
		{"no order of a gang arrived", workflow.Step{Tasks: 3, Accelerators: 8, Gang: true}, everywhere, 0, 3},
		{"orders of a gang arrived but for one", workflow.Step{Tasks: 3, Accelerators: 8, Gang: true}, isW1, 2, 3},
		{"all orders arrived", workflow.Step{Tasks: 12, Accelerators: 4}, func(workflow.WorkerID) bool { return false }, 6, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newZonedHarness()
				j := job(1, test.step)
				j.Priority = 0
				h.addJob(j)
				loseStartsTo(test.lost, time.Second)(h)
				first := h.startPlanner()
				time.Sleep(100 * time.Millisecond)
				_ = first.Close()
				h.evacuated = zoneA
				second, took := h.startPlanner(), time.Now()
				time.Sleep(10 * time.Second)
				_ = second.Close()
				inside, ran := 0, 0
				for _, r := range h.fleet.Runs() {
					if inZoneA(r.Worker) {
						inside++
					}
					if inZoneA(r.Worker) && r.Started.After(took) {
						t.Errorf("%s started on %s by the second planner", r.Task, r.Worker)
					}
					if r.Ended.IsZero() {
						ran++
					}
				}
				if inside != test.inside || ran != test.ran {
					t.Errorf("%d starts in zone a and %d attempts that run, want %d and %d", inside, ran, test.inside, test.ran)
				}
				for _, v := range runner.Violations(h.fleet.Runs(), j.MaxAttempts) {
					t.Error(v)
				}
			})
		})
	}
}

// TestEvacuationAge lets the newest reading grow old. No order may be carried out once
// the limit has passed, even one that was sent before and is late; the next reading
// lets the tasks start.
func TestEvacuationAge(t *testing.T) {
	tests := []struct {
		name     string
		loadedAt time.Duration
		delay    time.Duration
		starts   int
	}{
		{"a job before the limit", 1500 * time.Millisecond, 0, 4},
		{"a job after the limit", 2500 * time.Millisecond, 0, 0},
		{"orders that arrive after the limit", 1500 * time.Millisecond, 600 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newZonedHarness()
				h.evacuationAge = 2 * time.Second
				start := h.calls.Start
				h.calls.Start = func(ctx context.Context, w workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
					time.Sleep(test.delay)
					return start(ctx, w, order)
				}
				s := h.startPlanner()
				time.Sleep(test.loadedAt)
				j := job(1, workflow.Step{Tasks: 4, Accelerators: 2})
				h.addJob(j)
				s.Load(j, workflow.Progress{}, nil)
				time.Sleep(8 * time.Second)
				if starts := len(h.fleet.Runs()); starts != test.starts {
					t.Errorf("%d starts with an old reading, want %d", starts, test.starts)
				}
				s.SetEvacuated(nil, 1)
				time.Sleep(1500 * time.Millisecond)
				_ = s.Close()
				if starts := len(h.fleet.Runs()); starts != 4 {
					t.Errorf("%d starts after the next reading, want 4", starts)
				}
			})
		})
	}
}

// TestWarmUp submits jobs while w0 to w4 are slow after their start: urgent ones use
// them only if w5 is full, others as if they were not.
func TestWarmUp(t *testing.T) {
	tests := []struct {
		name     string
		priority int
		tasks    int
		after    time.Duration
		want     workflow.WorkerID
	}{
		{"urgent", 0, 1, 0, "w5"},
		{"urgent, and too many for one worker", 0, 2, 0, "w0"},
		{"not urgent", 1, 1, 0, "w0"},
		{"urgent, once they have warmed up", 0, 1, 4 * time.Second, "w0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(0)
				for i := range 6 {
					w := worker(i, 1)
					if i < 5 {
						w.WarmUp = 3 * time.Second
					}
					h.fleet.Add(w)
				}
				s := h.startPlanner()
				time.Sleep(test.after + 100*time.Millisecond)
				j := job(1, workflow.Step{Tasks: test.tasks, Accelerators: 8})
				j.Priority = test.priority
				h.addJob(j)
				s.Load(j, workflow.Progress{}, nil)
				time.Sleep(time.Second)
				_ = s.Close()
				if used := workersOf(h.fleet.Runs()); len(used) != test.tasks || used[0] != test.want {
					t.Errorf("started on %v, want %s first", used, test.want)
				}
			})
		})
	}
}
