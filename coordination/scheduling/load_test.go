package scheduling_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// wave is some equal jobs that come at a time.
type wave struct {
	at       time.Duration
	count    int
	priority int
	step     workflow.Step
	// stretch is how many times its run time the job may take; 0 is three.
	stretch float64
}

// play submits the waves and returns the attempts of all jobs after a while.
func (h *harness) play(waves []wave, until time.Duration) []runner.Run {
	s := h.plan()
	began := time.Now()
	for _, w := range waves {
		time.Sleep(time.Until(began.Add(w.at)))
		for range w.count {
			j := job(len(h.jobs)+1, w.step)
			j.Priority = w.priority
			if w.stretch > 0 {
				j.Stretch = w.stretch
			}
			h.add(j)
			s.Load(j, workflow.Progress{}, 0)
		}
	}
	time.Sleep(time.Until(began.Add(until)))
	_ = s.Close()
	return h.fleet.Runs()
}

func ofJob(runs []runner.Run, j *workflow.Job) []runner.Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r runner.Run) bool { return r.Task.Job != j.ID })
}

// TestReclaim plays loads in which urgent work meets a full deployment, and
// looks at when it begins and at what was stopped for it.
func TestReclaim(t *testing.T) {
	long := workflow.Step{Tasks: 1, Accelerators: 8, Gang: true, Estimate: 20 * time.Second}
	urgent := workflow.Step{Tasks: 1, Accelerators: 8, Gang: true, Estimate: time.Second}
	lasting := workflow.Step{Tasks: 1, Accelerators: 8, LongRunning: true, Estimate: time.Minute}
	tests := []struct {
		name       string
		guaranteed int
		full       wave
		urgent     wave
		// begins bounds the start of the urgent work; 0 is not at all in the time.
		begins  time.Duration
		stopped int
	}{
		{"within its guarantee", 8, wave{0, 6, 1, long, 1}, wave{2 * time.Second, 1, 0, urgent, 1.5}, 3400 * time.Millisecond, 1},
		{"a guarantee of two in one second", 16, wave{0, 6, 1, long, 1}, wave{2 * time.Second, 2, 0, urgent, 1.5}, 3400 * time.Millisecond, 2},
		{"without a guarantee, in time", 0, wave{0, 6, 1, long, 1}, wave{2 * time.Second, 1, 0, urgent, 1.5}, 2500 * time.Millisecond, 1},
		{"beside room", 8, wave{0, 5, 1, long, 1}, wave{2 * time.Second, 1, 0, urgent, 1.5}, 100 * time.Millisecond, 0},
		{"beside work that has time left", 0, wave{0, 6, 1, long, 3}, wave{2 * time.Second, 2, 0, urgent, 1.5}, 100 * time.Millisecond, 0},
		{"long-running work is not stopped", 8, wave{0, 6, 1, lasting, 1}, wave{2 * time.Second, 1, 0, urgent, 1.5}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(6)
				h.guaranteed = test.guaranteed
				h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration {
					return h.step(task).Estimate
				}
				runs := h.play([]wave{test.full, test.urgent}, 7*time.Second)
				for _, j := range h.jobs {
					if j.Priority != 0 {
						continue
					}
					mine := ofJob(runs, j)
					if begun := len(mine) > 0; begun != (test.begins > 0) {
						t.Fatalf("begun %v, want %v", begun, test.begins > 0)
					}
					if test.begins > 0 && mine[0].Began.Sub(j.Accepted) > test.begins {
						t.Errorf("began after %v, want at most %v", mine[0].Began.Sub(j.Accepted), test.begins)
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

// TestPlacing looks at where groups go on an empty or partly used deployment
// of six workers in two racks.
func TestPlacing(t *testing.T) {
	tests := []struct {
		name  string
		waves []wave
		// holds is asked of the attempts of the last job.
		holds func(last []runner.Run) bool
	}{
		{
			"a gang stays on one rack",
			[]wave{{0, 1, 1, workflow.Step{Tasks: 3, Accelerators: 8, Gang: true, SameRack: true}, 0}},
			func(last []runner.Run) bool { return racks(last) == 1 && len(last) == 3 },
		},
		{
			"a gang that no rack holds is spread at once",
			[]wave{{0, 1, 1, workflow.Step{Tasks: 5, Accelerators: 8, Gang: true, SameRack: true}, 0}},
			func(last []runner.Run) bool { return racks(last) == 2 && len(last) == 5 },
		},
		{
			"a gang goes where it leaves the least room",
			[]wave{
				{0, 1, 1, workflow.Step{Tasks: 1, Accelerators: 8, Gang: true, Estimate: 30 * time.Second}, 0},
				{time.Second, 1, 1, workflow.Step{Tasks: 2, Accelerators: 8, Gang: true, SameRack: true}, 0},
			},
			func(last []runner.Run) bool { return racks(last) == 1 && last[0].Worker < "w3" },
		},
		{
			"data near by",
			[]wave{{0, 1, 1, workflow.Step{Tasks: 2, Accelerators: 2, PreferredRack: "rack-1"}, 0}},
			func(last []runner.Run) bool {
				return len(last) == 2 && last[0].Worker >= "w3" && last[1].Worker >= "w3"
			},
		},
		{
			"a spread limit",
			[]wave{{0, 1, 1, workflow.Step{Tasks: 6, Accelerators: 1, SpreadLimit: 1}, 0}},
			func(last []runner.Run) bool { return len(workers(last)) == 6 },
		},
		{
			"long-running work begins again however it ends",
			[]wave{{0, 1, 1, workflow.Step{Tasks: 1, Accelerators: 1, LongRunning: true}, 0}},
			func(last []runner.Run) bool { return len(last) >= 3 },
		},
		{
			"a label that nobody has",
			[]wave{{0, 1, 1, workflow.Step{Tasks: 1, Accelerators: 1, Label: "b"}, 0}},
			func(last []runner.Run) bool { return len(last) == 0 },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(6)
				runs := h.play(test.waves, 4*time.Second)
				if last := ofJob(runs, h.jobs[len(h.jobs)-1]); !test.holds(last) {
					t.Errorf("placed on %v", workers(last))
				}
			})
		})
	}
}

func workers(runs []runner.Run) (list []workflow.WorkerID) {
	for _, r := range runs {
		if !slices.Contains(list, r.Worker) {
			list = append(list, r.Worker)
		}
	}
	slices.Sort(list)
	return list
}

func racks(runs []runner.Run) int {
	seen := make(map[bool]bool)
	for _, r := range runs {
		seen[r.Worker >= "w3"] = true
	}
	return len(seen)
}
