package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"comfreystream/coordination/speed"
	"comfreystream/state/workflow"
)

const reportInterval = 500 * time.Millisecond

// simulation runs tasks on workers and reports their progress in whole percents to a
// model, as workers do.
type simulation struct {
	model   *speed.Model
	random  *rand.Rand
	now     time.Time
	factors []float64
	running []*task
	jobs    int
	deck    []int
}

type task struct {
	worker      int
	observation speed.Observation
	work, done  float64 // seconds on a typical worker
	uneven      float64
	reported    bool
	first       int
	firstAt     time.Time
}

func newSimulation(seed uint64, factors []float64) *simulation {
	return &simulation{
		model: speed.New(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), factors: factors,
	}
}

// clusters returns n factors, of which each third is slow.
func clusters(n int, fast, slow float64) []float64 {
	factors := make([]float64, n)
	for i := range factors {
		factors[i] = fast
		if i%3 == 2 {
			factors[i] = slow
		}
	}
	return factors
}

func workerID(i int) workflow.WorkerID { return workflow.WorkerID(fmt.Sprintf("w%04d", i)) }

// work is what the tasks of a job have in common.
type work struct {
	seconds       float64
	equal         bool
	declaredError float64 // deviation of the logarithm
	outliers      bool
	uneven        float64 // deviation of the logarithm of the rate from report to report
	queue         string
}

// start starts one task of a new job on each of the workers.
func (s *simulation) start(w work, workers []int) {
	s.jobs++
	id := workflow.ID("j" + strconv.Itoa(s.jobs))
	declared := time.Duration(w.seconds * math.Exp(w.declaredError*s.random.NormFloat64()) * float64(time.Second))
	for i, worker := range workers {
		deviation := 0.32
		if w.equal {
			deviation = 0.03
		}
		seconds := w.seconds * math.Exp(deviation*s.random.NormFloat64())
		if w.outliers && s.random.IntN(30) == 0 {
			seconds *= 7
		}
		s.running = append(s.running, &task{worker: worker, work: seconds, uneven: w.uneven, observation: speed.Observation{
			Worker: workerID(worker), Task: workflow.Task{Job: id, Index: i}, Attempt: 1,
			Cohort: speed.Cohort{Job: id, Queue: w.queue}, Equal: w.equal, Declared: declared,
		}})
	}
}

// run lets time pass and reports each 0.5 s; each is called after each report.
func (s *simulation) run(length time.Duration, each func()) {
	for range length / reportInterval {
		s.now = s.now.Add(reportInterval)
		left := s.running[:0]
		for _, t := range s.running {
			t.done += reportInterval.Seconds() / s.factors[t.worker] * math.Exp(t.uneven*s.random.NormFloat64())
			if percent := int(100 * t.done / t.work); percent < 100 {
				s.report(t, percent)
				left = append(left, t)
			}
		}
		s.running = left
		s.model.Fit(s.now)
		if each != nil {
			each()
		}
	}
}

func (s *simulation) report(t *task, percent int) {
	if !t.reported {
		t.reported, t.first, t.firstAt = true, percent, s.now
	}
	t.observation.Fraction = float64(percent-t.first) / 100
	t.observation.Elapsed = s.now.Sub(t.firstAt)
	s.model.Observe(s.now, t.observation)
}

// choose returns different workers, each as often as the others.
func (s *simulation) choose(n int) []int {
	if len(s.deck) < n {
		s.deck = s.random.Perm(len(s.factors))
	}
	chosen := s.deck[:n]
	s.deck = s.deck[n:]
	return chosen
}

// chooseOf returns different workers of the factor.
func (s *simulation) chooseOf(n int, factor float64) []int {
	all := s.random.Perm(len(s.factors))
	return slices.DeleteFunc(all, func(i int) bool { return s.factors[i] != factor })[:n]
}

// mean returns the geometric mean of the estimates of the workers of a factor.
func (s *simulation) mean(factor float64) float64 {
	sum, count := 0.0, 0.0
	for i, f := range s.factors {
		if f == factor {
			sum += math.Log(s.model.Estimate(workerID(i)).Factor)
			count++
		}
	}
	return math.Exp(sum / count)
}

// errors returns the logarithms of estimated over true factors, less their median, as
// both are relative.
func (s *simulation) errors() []float64 {
	logs := make([]float64, len(s.factors))
	for i, f := range s.factors {
		logs[i] = math.Log(s.model.Estimate(workerID(i)).Factor / f)
	}
	middle := median(logs)
	for i := range logs {
		logs[i] -= middle
	}
	return logs
}

// wrong returns the share of the workers whose factor is nearer to the other cluster.
func (s *simulation) wrong(fast, slow float64) float64 {
	estimates := make([]float64, 0, len(s.factors))
	for i, f := range s.factors {
		if f == fast {
			estimates = append(estimates, s.model.Estimate(workerID(i)).Factor)
		}
	}
	limit, wrong := median(estimates)*math.Sqrt(slow/fast), 0
	for i, f := range s.factors {
		if (s.model.Estimate(workerID(i)).Factor > limit) != (f == slow) {
			wrong++
		}
	}
	return float64(wrong) / float64(len(s.factors))
}
