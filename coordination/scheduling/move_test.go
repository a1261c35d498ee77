package scheduling_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// orderedJobs are equal jobs of one organisation, submitted at the same time.
type orderedJobs struct {
	at           time.Duration
	count        int
	organisation string
	priority     int
	step         workflow.Step
}

// TestReclaimLastResort submits guaranteed jobs whose room is held by guaranteed work of
// others or by long-running tasks. It guards against guaranteed jobs that never start, and
// against guaranteed work that is stopped more often than needed or not started again.
func TestReclaimLastResort(t *testing.T) {
	t.Parallel()
	const reclaimLimit = 3400 * time.Millisecond
	// restartLimit covers a stop, a save and the calls, and again a stop if room has to be made.
	const restartLimit = 2 * time.Second
	one := func(accelerators int, estimate time.Duration) workflow.Step {
		return workflow.Step{Tasks: 1, Accelerators: accelerators, Estimate: estimate}
	}
	long := func(accelerators int) workflow.Step { return one(accelerators, 20*time.Second) }
	lasting := workflow.Step{Tasks: 1, Accelerators: 8, LongRunning: true, Estimate: time.Minute}
	gang := workflow.Step{Tasks: 2, Accelerators: 8, Gang: true, SameRack: true, Estimate: time.Second}
	spread := workflow.Step{Tasks: 2, Accelerators: 8, SpreadLimit: 1, Estimate: time.Second}
	tests := []struct {
		name       string
		workers    int
		guaranteed int
		jobs       []orderedJobs
		// starts is whether the last jobs start, stopped how many attempts of guaranteed
		// jobs, of others and of long-running ones are stopped.
		starts  bool
		stopped [3]int
		// evacuated is whether the first worker is in a zone that is evacuated.
		evacuated bool
	}{
		{"guaranteed work on each worker", 6, 16, []orderedJobs{
			{0, 6, "andina", 1, long(6)},
			{time.Second, 6, "brazos", 0, long(2)},
			{2 * time.Second, 1, "condor", 0, one(8, time.Second)},
		}, true, [3]int{1, 2, 0}, false},
		{"the smallest of it is moved", 3, 24, []orderedJobs{
			{0, 1, "andina", 1, long(4)},
			{0, 1, "andina", 1, long(6)},
			{0, 1, "andina", 1, long(5)},
			{time.Second, 1, "brazos", 0, long(4)},
			{time.Second, 1, "brazos", 0, long(2)},
			{time.Second, 1, "brazos", 0, long(3)},
			{2 * time.Second, 1, "condor", 0, one(8, time.Second)},
		}, true, [3]int{1, 2, 0}, false},
		{"a gang on one rack", 6, 16, []orderedJobs{
			{0, 6, "andina", 1, long(6)},
			{time.Second, 6, "brazos", 0, long(2)},
			{2 * time.Second, 1, "condor", 0, gang},
		}, true, [3]int{2, 3, 0}, false},
		{"a gang is moved as a whole", 4, 16, []orderedJobs{
			{0, 4, "andina", 1, long(6)},
			{time.Second, 1, "brazos", 0, workflow.Step{Tasks: 4, Accelerators: 2, Gang: true, Estimate: 20 * time.Second}},
			{2 * time.Second, 1, "condor", 0, one(8, time.Second)},
		}, true, [3]int{1, 2, 0}, false}, // the other members end with the one that is stopped
		{"a spread limit", 6, 16, []orderedJobs{
			{0, 6, "andina", 1, long(6)},
			{time.Second, 6, "brazos", 0, long(2)},
			{2 * time.Second, 1, "condor", 0, spread},
		}, true, [3]int{2, 3, 0}, false},
		{"two jobs at once", 6, 16, []orderedJobs{
			{0, 6, "andina", 1, long(6)},
			{time.Second, 6, "brazos", 0, long(2)},
			{2 * time.Second, 2, "condor", 0, one(8, time.Second)},
		}, true, [3]int{2, 3, 0}, false},
		{"two jobs at once, and room to move one", 2, 16, []orderedJobs{
			{0, 2, "andina", 1, long(6)},
			{time.Second, 2, "brazos", 0, long(2)},
			{2 * time.Second, 2, "condor", 0, one(8, time.Second)},
		}, true, [3]int{1, 2, 0}, false},
		{"no room for what would be moved", 2, 16, []orderedJobs{
			{0, 2, "brazos", 0, long(5)}, {time.Second, 1, "condor", 0, one(8, time.Second)},
		}, false, [3]int{0, 0, 0}, false},
		{"room only in an evacuated zone", 3, 10, []orderedJobs{
			{0, 2, "brazos", 0, long(5)}, {time.Second, 1, "condor", 0, one(4, time.Second)},
		}, false, [3]int{0, 0, 0}, true},
		{"long-running tasks of priority 2", 6, 8, []orderedJobs{
			{0, 6, "andina", 2, lasting}, {2 * time.Second, 1, "condor", 0, one(8, time.Second)},
		}, true, [3]int{0, 0, 1}, false},
		{"long-running tasks of priority 1", 6, 8, []orderedJobs{
			{0, 6, "andina", 1, lasting}, {2 * time.Second, 1, "condor", 0, one(8, time.Second)},
		}, true, [3]int{0, 0, 1}, false},
		{"long-running tasks of priority 0 beyond a guarantee", 3, 8, []orderedJobs{
			{0, 1, "andina", 0, workflow.Step{Tasks: 3, Accelerators: 8, LongRunning: true, Estimate: time.Minute}},
			{2 * time.Second, 1, "condor", 0, one(8, time.Second)},
		}, true, [3]int{0, 0, 1}, false},
		{"the least important of long-running tasks", 3, 8, []orderedJobs{
			{0, 1, "andina", 1, lasting},
			{0, 1, "andina", 2, lasting},
			{0, 1, "andina", 1, lasting},
			{2 * time.Second, 1, "condor", 0, one(8, time.Second)},
		}, true, [3]int{0, 0, 1}, false},
		{"long-running tasks of a guarantee", 2, 16, []orderedJobs{
			{0, 1, "brazos", 0, workflow.Step{Tasks: 2, Accelerators: 8, LongRunning: true, Estimate: time.Minute}},
			{2 * time.Second, 1, "condor", 0, one(8, time.Second)},
		}, false, [3]int{0, 0, 0}, false},
		{"long-running tasks come last", 6, 16, []orderedJobs{
			{0, 4, "andina", 2, lasting},
			{0, 2, "andina", 1, long(6)},
			{time.Second, 2, "brazos", 0, long(2)},
			{2 * time.Second, 1, "condor", 0, one(8, time.Second)},
		}, true, [3]int{1, 2, 0}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(0)
				for i := range test.workers {
					h.fleet.Add(zoned(i, 1))
				}
				h.evacuated = map[string]bool{"a": test.evacuated}
				h.guaranteed = test.guaranteed
				h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration { return h.step(task).Estimate }
				runs := h.runOrdered(test.jobs, 8*time.Second)
				stopped := [3]int{}
				for i, r := range runs {
					if r.Outcome != workflow.Stopped {
						continue
					}
					j := h.job(r.Task.Job)
					switch {
					case j.Steps[0].LongRunning:
						stopped[2]++
						if slices.ContainsFunc(test.jobs, func(o orderedJobs) bool { return o.step.LongRunning && o.priority > j.Priority }) {
							t.Errorf("%s of priority %d was stopped", r.Task, j.Priority)
						}
					case j.Priority == 0:
						stopped[0]++
						if again := nextRun(runs, i); again.IsZero() || again.Sub(r.Ended) > restartLimit {
							t.Errorf("%s was stopped and started again after %v", r.Task, again.Sub(r.Ended))
						}
					default:
						stopped[1]++
					}
				}
				if stopped != test.stopped {
					t.Errorf("stopped %v, want %v", stopped, test.stopped)
				}
				last := test.jobs[len(test.jobs)-1]
				for _, j := range h.jobs[len(h.jobs)-last.count:] {
					own := runsOfJob(runs, j)
					if started := len(own) > 0; started != test.starts {
						t.Errorf("started %v, want %v", started, test.starts)
					}
					for _, r := range own {
						if r.Started.Sub(j.Accepted) > reclaimLimit {
							t.Errorf("%s started after %v", r.Task, r.Started.Sub(j.Accepted))
						}
					}
				}
				for _, v := range runner.Violations(runs, 2) {
					t.Error(v)
				}
			})
		})
	}
}

// nextRun returns when the task of run i was started again.
func nextRun(runs []runner.Run, i int) (at time.Time) {
	for _, r := range runs[i+1:] {
		if r.Task == runs[i].Task {
			return r.Started
		}
	}
	return at
}

// job returns the job with the ID.
func (h *harness) job(id workflow.ID) *workflow.Job {
	for _, j := range h.jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

// runOrdered submits the jobs and returns the attempts of all of them after the duration.
func (h *harness) runOrdered(list []orderedJobs, duration time.Duration) []runner.Run {
	s := h.startPlanner()
	began := time.Now()
	for _, o := range list {
		time.Sleep(time.Until(began.Add(o.at)))
		for range o.count {
			j := job(len(h.jobs)+1, o.step)
			j.Priority, j.Organisation, j.Stretch = o.priority, o.organisation, 1
			if o.priority == 0 {
				j.Stretch = 1.5
			}
			h.addJob(j)
			s.Load(j, workflow.Progress{}, nil)
		}
	}
	time.Sleep(time.Until(began.Add(duration)))
	_ = s.Close()
	return h.fleet.Runs()
}
