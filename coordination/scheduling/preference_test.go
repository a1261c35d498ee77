package scheduling_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// TestPreferenceEnds guards against work that waits for a better placement for good while
// workers that it may use are idle, as a task that lasts did whose rack was full.
func TestPreferenceEnds(t *testing.T) {
	// lostAfter is how long work may wait beside twice the room that it needs.
	const lostAfter = 3 * time.Second
	const accelerators = 8
	lasting := workflow.Step{Tasks: 1, Accelerators: accelerators, LongRunning: true}
	long := workflow.Step{Tasks: 1, Accelerators: accelerators, Estimate: 100 * time.Second}
	short := workflow.Step{Tasks: 1, Accelerators: accelerators, Estimate: 2 * time.Second}
	onRack := func(step workflow.Step, rack string) workflow.Step {
		step.PreferredRack = rack
		return step
	}
	gang := func(step workflow.Step) workflow.Step {
		step.Tasks, step.Gang, step.SameRack = 2, true, true
		return step
	}
	fullRack, oneIdleEach := []string{"rack-0", "rack-0", "rack-0", "rack-1"}, []string{"rack-0", "rack-0", "rack-1", "rack-1"}
	// Six workers in two racks. Those of rack-1 have the label "fast", one of each rack "last".
	tests := []struct {
		name string
		// filled holds the label of each task that fills a worker before, so that too few are
		// idle for work to run away from its rack at once; filler is such a task.
		filled   []string
		filler   workflow.Step
		step     workflow.Step
		priority int
		// refusals is how many starts of the step workers refuse as unhealthy.
		refusals int
		// freedAt is when the tasks that last are cancelled, after the acceptance.
		freedAt time.Duration
		// earliest and latest bound the first run after the acceptance, racks are those that
		// its members run on.
		earliest, latest time.Duration
		racks            []string
	}{
		{name: "task that lasts, full rack", filled: fullRack, filler: lasting, step: onRack(lasting, "rack-0"), priority: 1, latest: lostAfter, racks: []string{"rack-1"}},
		{name: "task that lasts, priority 2, full rack", filled: fullRack, filler: lasting, step: onRack(lasting, "rack-0"), priority: 2, latest: lostAfter, racks: []string{"rack-1"}},
		{name: "task that lasts, priority 0, full rack", filled: fullRack, filler: lasting, step: onRack(lasting, "rack-0"), latest: lostAfter, racks: []string{"rack-1"}},
		{name: "task that lasts, rack without its label", filled: oneIdleEach, filler: lasting, step: labelled(onRack(lasting, "rack-0"), "fast"), priority: 1, latest: lostAfter, racks: []string{"rack-1"}},
		{name: "task that lasts, unknown rack", filled: fullRack, filler: lasting, step: onRack(lasting, "rack-9"), priority: 1, latest: lostAfter, racks: []string{"rack-1"}},
		{name: "gang that lasts, room on two racks", filled: oneIdleEach, filler: lasting, step: gang(lasting), priority: 1, latest: lostAfter, racks: []string{"rack-0", "rack-1"}},
		{name: "task that lasts, refused by idle workers", filled: fullRack, filler: lasting, step: lasting, priority: 1, refusals: 2, latest: lostAfter, racks: []string{"rack-1"}},
		{name: "task that lasts, rack gets room at once", filled: fullRack, filler: lasting, step: onRack(lasting, "rack-0"), priority: 1, freedAt: time.Millisecond, latest: lostAfter, racks: []string{"rack-0"}},
		// Away from its rack a task takes three times as long: it waits up to the difference.
		{name: "task, full rack", filled: fullRack, filler: long, step: onRack(short, "rack-0"), priority: 1, earliest: 3900 * time.Millisecond, latest: 4500 * time.Millisecond, racks: []string{"rack-1"}},
		{name: "urgent task, full rack", filled: fullRack, filler: long, step: onRack(short, "rack-0"), earliest: 3900 * time.Millisecond, latest: 4500 * time.Millisecond, racks: []string{"rack-1"}},
		{name: "gang, room on two racks", filled: oneIdleEach, filler: long, step: gang(short), priority: 1, earliest: 3900 * time.Millisecond, latest: 4500 * time.Millisecond, racks: []string{"rack-0", "rack-1"}},
		{name: "task, rack gets room in time", filled: fullRack, filler: long, step: onRack(short, "rack-0"), priority: 1, freedAt: 2500 * time.Millisecond, earliest: 2500 * time.Millisecond, latest: 4500 * time.Millisecond, racks: []string{"rack-0"}},
		{name: "urgent task, full rack, half of the workers idle", filled: []string{"rack-0", "rack-0", "rack-0"}, filler: long, step: onRack(short, "rack-0"), latest: lostAfter, racks: []string{"rack-1"}},
		// A rack that only tasks that last keep full is not waited for any longer.
		{name: "task, rack full of tasks that last", filled: fullRack, filler: lasting, step: onRack(short, "rack-0"), earliest: 1400 * time.Millisecond, latest: 2 * time.Second, racks: []string{"rack-1"}},
		{name: "gang, no rack beside tasks that last", filled: oneIdleEach, filler: lasting, step: gang(short), earliest: 1400 * time.Millisecond, latest: 2 * time.Second, racks: []string{"rack-0", "rack-1"}},
		{name: "gang, a rack beside tasks that last", filled: []string{"rack-0", "rack-0", "rack-1"}, filler: lasting, step: labelled(gang(short), "rack-1"), latest: 100 * time.Millisecond, racks: []string{"rack-1"}},
		{name: "task, rack without its label", filled: oneIdleEach, filler: long, step: labelled(onRack(short, "rack-0"), "fast"), latest: 100 * time.Millisecond, racks: []string{"rack-1"}},
		{name: "gang, label on a worker of each rack", filled: oneIdleEach, filler: long, step: labelled(gang(short), "last"), latest: 100 * time.Millisecond, racks: []string{"rack-0", "rack-1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(0)
				for i := range 6 {
					w := worker(i, 1)
					if i >= 3 {
						w.Labels[0] = "fast"
					}
					if i%3 == 2 {
						w.Labels = slices.Insert(w.Labels, 1, "last")
					}
					h.fleet.Add(w)
				}
				h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration {
					if step := h.step(task); !step.LongRunning {
						return step.Estimate
					}
					return time.Hour
				}
				for i, label := range test.filled {
					filler := job(i+2, labelled(test.filler, label))
					filler.Priority = 0
					h.addJob(filler)
				}
				start, refusals := h.calls.Start, test.refusals
				h.calls.Start = func(ctx context.Context, target workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
					h.mu.Lock()
					refused := order.Task.Job == job(1, lasting).ID && refusals > 0
					if refused {
						refusals--
					}
					h.mu.Unlock()
					if refused {
						return scheduling.RefusedUnhealthy, nil
					}
					return start(ctx, target, order)
				}
				s := h.startPlanner()
				time.Sleep(2 * time.Second)
				j := job(1, test.step)
				j.Priority = test.priority
				h.addJob(j)
				s.Load(j, workflow.Progress{}, nil)
				if test.freedAt > 0 {
					time.Sleep(test.freedAt)
					for i := range test.filled {
						s.Cancel(job(i+2, lasting).ID)
					}
				}
				time.Sleep(time.Until(j.Accepted.Add(10 * time.Second)))
				_ = s.Close()
				runs := runsOfJob(h.fleet.Runs(), j)
				if len(runs) != len(j.Members(workflow.GroupID{})) {
					t.Fatalf("%d runs", len(runs))
				}
				for _, r := range runs {
					if delay := r.Started.Sub(j.Accepted); delay < test.earliest || delay > test.latest {
						t.Errorf("started on %s after %v, want %v to %v", r.Worker, delay, test.earliest, test.latest)
					}
				}
				if got := racksOf(runs); !slices.Equal(got, test.racks) {
					t.Errorf("runs on %v, want %v", got, test.racks)
				}
			})
		})
	}
}

// racksOf returns the racks of the runs, in order.
func racksOf(runs []runner.Run) (racks []string) {
	for _, r := range runs {
		rack := "rack-0"
		if r.Worker >= "w3" {
			rack = "rack-1"
		}
		if !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	slices.Sort(racks)
	return racks
}
