package interference_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"comfreystream/coordination/interference"
	"comfreystream/coordination/speed"
	"comfreystream/state/workflow"
)

// interval is that between two reports of a worker.
const interval = 500 * time.Millisecond

var (
	victim  = interference.Kind{Image: "victim"}
	bully   = interference.Kind{Image: "bully"}
	other   = interference.Kind{Queue: "other", Cores: 2000}
	another = interference.Kind{Queue: "another", Cores: 1000, Accelerators: 1}
	kinds   = []interference.Kind{victim, bully, other, another}
)

func workerID(i int) workflow.WorkerID { return workflow.WorkerID("i-" + strconv.Itoa(i)) }

// task is a running task; gang members share the gang.
type task struct {
	track  interference.Track
	kind   interference.Kind
	worker int
	pace   float64 // seconds of the whole work, alone on a typical worker
	done   float64
	gang   *gang
}

type gang struct{ members []*task }

// simulation runs tasks on workers in steps of interval.
type simulation struct {
	random  *rand.Rand
	model   *interference.Model
	now     time.Time
	factors []float64
	running []*task
	// slowdown returns how many times as long a kind takes beside another.
	slowdown func(kind, beside interference.Kind) float64
	// uneven is the deviation of the logarithm of a task's pace in one interval.
	uneven float64
	// estimate returns what the planner knows of a worker's factor.
	estimate func(worker int) speed.Estimate
	// started counts the tasks of the kind victim.
	started int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), model: interference.New(), now: time.Unix(1000, 0), uneven: 0.05,
		slowdown: func(_, _ interference.Kind) float64 { return 1 },
	}
	for range 16 {
		s.factors = append(s.factors, 1)
	}
	s.estimate = func(i int) speed.Estimate { return speed.Estimate{Factor: s.factors[i], Deviation: 0.05} }
	return s
}

func hurts(times float64) func(kind, beside interference.Kind) float64 {
	return func(kind, beside interference.Kind) float64 {
		if kind == victim && beside == bully {
			return times
		}
		return 1
	}
}

// start starts a task, or a gang of equal tasks, on random workers.
func (s *simulation) start(kind interference.Kind, size int, seconds float64) {
	g, pace := &gang{}, seconds*math.Exp(0.3*s.random.NormFloat64())
	for _, worker := range s.random.Perm(len(s.factors))[:size] {
		t := &task{kind: kind, worker: worker, pace: pace * math.Exp(0.03*s.random.NormFloat64()), gang: g}
		g.members = append(g.members, t)
		s.running = append(s.running, t)
	}
	if kind == victim {
		s.started++
	}
}

// step runs all tasks for one interval and reports them.
func (s *simulation) step() {
	s.now = s.now.Add(interval)
	on := make(map[int][]interference.Kind)
	for _, t := range s.running {
		on[t.worker] = append(on[t.worker], t.kind)
	}
	for _, list := range on {
		slices.SortFunc(list, interference.Kind.Compare)
	}
	for _, t := range s.running {
		beside := t.kind.Beside(on[t.worker])
		pace := t.pace * s.factors[t.worker] * math.Exp(s.uneven*s.random.NormFloat64())
		for _, b := range beside {
			pace *= s.slowdown(t.kind, b)
		}
		t.done += interval.Seconds() / pace
		s.model.Observe(s.now, &t.track, interference.Report{
			Worker: workerID(t.worker), Kind: t.kind, Beside: beside,
			Fraction: math.Floor(100*t.done) / 100, Clock: s.now.Sub(time.Unix(0, 0)),
		})
	}
	for _, t := range s.running {
		for _, o := range t.gang.members {
			if o != t && s.model.Compare(s.now, &t.track, &o.track, s.estimate(t.worker), s.estimate(o.worker)) {
				break
			}
		}
	}
	s.running = slices.DeleteFunc(s.running, func(t *task) bool { return t.done >= 1 })
	s.model.Refresh(s.now)
}

// found reports whether a pair is significant.
func (s *simulation) found(kind, beside interference.Kind) bool {
	_, significant := s.model.Estimate(s.now, interference.Pair{Kind: kind, Beside: beside})
	return significant
}
