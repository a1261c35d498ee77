package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

const (
	// troubleTime is how long faults come, calmTime how long none does after.
	troubleTime = 12 * time.Second
	calmTime    = 30 * time.Second
)

// script is what happens in one run: the seed decides on single orders.
type script struct {
	seed      uint64
	jobs      int
	faultRate float64
	failRate  float64
	// handOvers are the times at which the next planner begins; the one before
	// goes on for the overlap.
	handOvers []time.Duration
	overlap   time.Duration
	// reborn are the times at which a worker starts a new life.
	reborn []time.Duration
	// saveAway is when the record is away for two seconds.
	saveAway time.Duration
}

func drawScript(t *rapid.T) script {
	times := rapid.SliceOfN(rapid.Int64Range(200, troubleTime.Milliseconds()), 0, 4)
	return script{
		seed:      rapid.Uint64().Draw(t, "seed"),
		jobs:      rapid.IntRange(1, 6).Draw(t, "jobs"),
		faultRate: rapid.SampledFrom([]float64{0, 0.03, 0.15, 0.4}).Draw(t, "faultRate"),
		failRate:  rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "failRate"),
		handOvers: durations(times.Draw(t, "handOvers")),
		overlap:   time.Duration(rapid.Int64Range(0, 2000).Draw(t, "overlap")) * time.Millisecond,
		reborn:    durations(times.Draw(t, "reborn")),
		saveAway:  time.Duration(rapid.Int64Range(0, troubleTime.Milliseconds()).Draw(t, "saveAway")) * time.Millisecond,
	}
}

func durations(list []int64) (out []time.Duration) {
	for _, ms := range list {
		out = append(out, time.Duration(ms)*time.Millisecond)
	}
	return out
}

// TestNoPromiseBreaks explores orders of messages, losses, pauses and
// hand-overs with overlapping planners and three workers.
func TestNoPromiseBreaks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = s.play() })
		for _, problem := range problems {
			rt.Error(problem)
		}
	})
}

// TestScriptsThatFailed plays what once broke a promise, several times, as
// the order of threads differs.
func TestScriptsThatFailed(t *testing.T) {
	tests := []struct {
		name string
		script
	}{
		{"an end of a new life was acknowledged by a number of the old one", script{
			seed: 0x20, jobs: 2, faultRate: 0.4, failRate: 0.1, overlap: 1074 * time.Millisecond,
			handOvers: durations([]int64{208}), reborn: durations([]int64{1944, 281}), saveAway: 1152 * time.Millisecond,
		}},
		{"a start reached a new life and was called lost", script{
			seed: 0x2, jobs: 2, faultRate: 0.15, failRate: 0.1, overlap: time.Millisecond,
			handOvers: durations([]int64{201, 279, 203, 1358}), reborn: durations([]int64{203, 8137, 201}),
			saveAway: 2642 * time.Millisecond,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range 5 {
				synctest.Test(t, func(t *testing.T) {
					for _, problem := range test.play() {
						t.Error(problem)
					}
				})
			}
		})
	}
}

// play runs the script and returns what went wrong.
func (s script) play() []string {
	h := newHarness(3)
	began := time.Now()
	random := rand.New(rand.NewPCG(s.seed, 1))
	var mu sync.Mutex
	h.fleet.Fault = func(call string, _ workflow.WorkerID) runner.Fault {
		mu.Lock()
		defer mu.Unlock()
		if call == "RenewWait" || time.Since(began) > troubleTime || random.Float64() >= s.faultRate {
			return runner.None
		}
		return runner.Fault(1 + random.IntN(4))
	}
	h.fleet.Outcome = func(task workflow.Task, attempt int, _ workflow.WorkerID) workflow.Outcome {
		dice := rand.New(rand.NewPCG(s.seed, uint64(attempt*1000+task.Step*100+len(task.Job))+uint64(task.Job[15])))
		if dice.Float64() < s.failRate {
			return workflow.Faulted
		}
		return workflow.Done
	}
	steps := []workflow.Step{
		{Tasks: 3, Accelerators: 2, Gang: true},
		{Tasks: 2, Accelerators: 1},
		{Tasks: 2, Accelerators: 8, Gang: true, SameRack: true},
	}
	for i := range s.jobs {
		j := job(i+1, steps[i%len(steps)])
		if i%2 == 1 {
			next := j.Steps[0]
			next.After = []int{0}
			j.Steps = append(j.Steps, next)
		}
		h.add(j)
	}
	s.schedule(h)
	planners := []*scheduling.Scheduler{h.plan()}
	for at := range troubleTime / (100 * time.Millisecond) {
		time.Sleep(100 * time.Millisecond)
		planners[len(planners)-1].SetWorkers(h.fleet.Workers())
		for _, handOver := range s.handOvers {
			if handOver/(100*time.Millisecond) == at {
				old := planners[len(planners)-1]
				planners = append(planners, h.plan())
				time.AfterFunc(s.overlap, func() { _ = old.Close() })
			}
		}
	}
	time.Sleep(calmTime)
	for _, p := range planners {
		_ = p.Close()
	}
	problems := runner.Violations(h.fleet.Runs(), h.jobs[0].MaxAttempts)
	for _, j := range h.jobs {
		if status := h.ledger.status(j.ID); !status.Final() {
			problems = append(problems, fmt.Sprintf("job %s is %q after %v without faults", j.ID, status, calmTime))
		}
	}
	return problems
}

// schedule plans the workers' new lives and the record's absence.
func (s script) schedule(h *harness) {
	for i, at := range s.reborn {
		time.AfterFunc(at, func() { h.fleet.Add(worker(i%3, workflow.Incarnation(i+2))) })
	}
	away := func(away bool) func() {
		return func() {
			h.ledger.mu.Lock()
			defer h.ledger.mu.Unlock()
			h.ledger.away = away
		}
	}
	time.AfterFunc(s.saveAway, away(true))
	time.AfterFunc(s.saveAway+2*time.Second, away(false))
}
