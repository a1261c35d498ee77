package scheduling_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// jobWave is a number of equal jobs that are submitted at the same time.
type jobWave struct {
	at       time.Duration
	count    int
	priority int
	step     workflow.Step
	// stretch is how many times its run time the job may take; 0 means three.
	stretch float64
}

// runWaves submits the waves and returns the attempts of all jobs after the
// duration.
func (h *harness) runWaves(waves []jobWave, duration time.Duration) []runner.Run {
	s := h.startPlanner()
	began := time.Now()
	for _, w := range waves {
		time.Sleep(time.Until(began.Add(w.at)))
		for range w.count {
			j := job(len(h.jobs)+1, w.step)
			j.Priority = w.priority
			if w.stretch > 0 {
				j.Stretch = w.stretch
			}
			h.addJob(j)
			s.Load(j, workflow.Progress{}, nil)
		}
	}
	time.Sleep(time.Until(began.Add(duration)))
	_ = s.Close()
	h.last = s
	return h.fleet.Runs()
}

func runsOfJob(runs []runner.Run, j *workflow.Job) []runner.Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r runner.Run) bool { return r.Task.Job != j.ID })
}

// TestReclaim submits urgent jobs while other jobs occupy the six workers. It
// checks how soon they start and how many attempts are stopped for them.
func TestReclaim(t *testing.T) {
	long := workflow.Step{Tasks: 1, Accelerators: 8, Gang: true, Estimate: 20 * time.Second}
	urgent := workflow.Step{Tasks: 1, Accelerators: 8, Gang: true, Estimate: time.Second}
	lasting := workflow.Step{Tasks: 1, Accelerators: 8, LongRunning: true, Estimate: time.Minute}
	tests := []struct {
		name       string
		guaranteed int
		background jobWave
		urgent     jobWave
		// maxStartDelay bounds the time from acceptance to start of the urgent jobs; 0
		// means that none may start.
		maxStartDelay time.Duration
		stopped       int
	}{
		{"a guaranteed job preempts", 8, jobWave{0, 6, 1, long, 1}, jobWave{2 * time.Second, 1, 0, urgent, 1.5}, 3400 * time.Millisecond, 1},
		{"two guaranteed jobs preempt at once", 16, jobWave{0, 6, 1, long, 1}, jobWave{2 * time.Second, 2, 0, urgent, 1.5}, 3400 * time.Millisecond, 2},
		{"an unguaranteed job preempts before it is late", 0, jobWave{0, 6, 1, long, 1}, jobWave{2 * time.Second, 1, 0, urgent, 1.5}, 2500 * time.Millisecond, 1},
		{"no preemption while a worker is free", 8, jobWave{0, 5, 1, long, 1}, jobWave{2 * time.Second, 1, 0, urgent, 1.5}, 100 * time.Millisecond, 0},
		{"deferrable jobs leave workers free", 0, jobWave{0, 6, 1, long, 3}, jobWave{2 * time.Second, 2, 0, urgent, 1.5}, 100 * time.Millisecond, 0},
		{"long-running tasks are preempted for a guarantee", 8, jobWave{0, 6, 1, lasting, 1}, jobWave{2 * time.Second, 1, 0, urgent, 1.5}, 3400 * time.Millisecond, 1},
		{"long-running tasks are not preempted otherwise", 0, jobWave{0, 6, 1, lasting, 1}, jobWave{2 * time.Second, 1, 0, urgent, 1.5}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(6)
				h.guaranteed = test.guaranteed
				h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration {
					return h.step(task).Estimate
				}
				runs := h.runWaves([]jobWave{test.background, test.urgent}, 7*time.Second)
				for _, j := range h.jobs {
					if j.Priority != 0 {
						continue
					}
					jobRuns := runsOfJob(runs, j)
					if started := len(jobRuns) > 0; started != (test.maxStartDelay > 0) {
						t.Fatalf("started %v, want %v", started, test.maxStartDelay > 0)
					}
					if test.maxStartDelay > 0 && jobRuns[0].Started.Sub(j.Accepted) > test.maxStartDelay {
						t.Errorf("started after %v, want at most %v", jobRuns[0].Started.Sub(j.Accepted), test.maxStartDelay)
					}
				}
				stopped := 0
				for _, r := range runs {
					if r.Outcome == workflow.Stopped {
						stopped++
					}
				}
				if stopped != test.stopped {
					t.Errorf("%d attempts were stopped, want %d", stopped, test.stopped)
				}
				for _, v := range runner.Violations(runs, 2) {
					t.Error(v)
				}
			})
		})
	}
}

// TestPlacement checks which workers groups are placed on, with six workers on two
// racks that are empty or partly used.
func TestPlacement(t *testing.T) {
	tests := []struct {
		name  string
		waves []jobWave
		// accepts checks the attempts of the last job.
		accepts func(last []runner.Run) bool
	}{
		{
			"a gang stays on one rack",
			[]jobWave{{0, 1, 1, workflow.Step{Tasks: 3, Accelerators: 8, Gang: true, SameRack: true}, 0}},
			func(last []runner.Run) bool { return countRacks(last) == 1 && len(last) == 3 },
		},
		{
			"a gang too large for any rack is spread at once",
			[]jobWave{{0, 1, 1, workflow.Step{Tasks: 5, Accelerators: 8, Gang: true, SameRack: true}, 0}},
			func(last []runner.Run) bool { return countRacks(last) == 2 && len(last) == 5 },
		},
		{
			"a gang goes to the fullest rack that holds it",
			[]jobWave{
				{0, 1, 1, workflow.Step{Tasks: 1, Accelerators: 8, Gang: true, Estimate: 30 * time.Second}, 0},
				{time.Second, 1, 1, workflow.Step{Tasks: 2, Accelerators: 8, Gang: true, SameRack: true}, 0},
			},
			func(last []runner.Run) bool { return countRacks(last) == 1 && last[0].Worker < "w3" },
		},
		{
			"tasks go to the preferred rack",
			[]jobWave{{0, 1, 1, workflow.Step{Tasks: 2, Accelerators: 2, PreferredRack: "rack-1"}, 0}},
			func(last []runner.Run) bool {
				return len(last) == 2 && last[0].Worker >= "w3" && last[1].Worker >= "w3"
			},
		},
		{
			"tasks keep to the spread limit",
			[]jobWave{{0, 1, 1, workflow.Step{Tasks: 6, Accelerators: 1, SpreadLimit: 1}, 0}},
			func(last []runner.Run) bool { return len(workersOf(last)) == 6 },
		},
		{
			"a long-running task restarts after each end",
			[]jobWave{{0, 1, 1, workflow.Step{Tasks: 1, Accelerators: 1, LongRunning: true}, 0}},
			func(last []runner.Run) bool { return len(last) >= 3 },
		},
		{
			"a task whose label no worker has is not placed",
			[]jobWave{{0, 1, 1, workflow.Step{Tasks: 1, Accelerators: 1, Label: "b"}, 0}},
			func(last []runner.Run) bool { return len(last) == 0 },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(6)
				runs := h.runWaves(test.waves, 4*time.Second)
				if last := runsOfJob(runs, h.jobs[len(h.jobs)-1]); !test.accepts(last) {
					t.Errorf("placed on %v", workersOf(last))
				}
			})
		})
	}
}

func workersOf(runs []runner.Run) (list []workflow.WorkerID) {
	for _, r := range runs {
		if !slices.Contains(list, r.Worker) {
			list = append(list, r.Worker)
		}
	}
	slices.Sort(list)
	return list
}

func countRacks(runs []runner.Run) int {
	seen := make(map[bool]bool)
	for _, r := range runs {
		seen[r.Worker >= "w3"] = true
	}
	return len(seen)
}
