package speed_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"comfreystream/coordination/speed"
	"comfreystream/state/workflow"
)

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// TestClusters checks that slow workers are found. Urgent gangs that get one of them end
// late otherwise.
func TestClusters(t *testing.T) {
	gang := work{seconds: 8, equal: true}
	single := work{seconds: 3}
	tests := []struct {
		name       string
		work       work
		fast, slow float64
		workers    int // of the deployment
		size       int // workers of a job
		jobs       int // run one after the other
		length     time.Duration
		maxWrong   float64
	}{
		{"one gang, 1 s of progress", gang, 0.7, 1.7, 8, 8, 1, 1500 * time.Millisecond, 0},
		{"one gang, declared times wrong", work{seconds: 8, equal: true, declaredError: 0.9}, 0.7, 1.7, 8, 8, 1, 1500 * time.Millisecond, 0},
		{"small gangs", gang, 0.7, 1.7, 48, 6, 40, 1500 * time.Millisecond, 0},
		{"small gangs, declared times wrong", work{seconds: 8, equal: true, declaredError: 0.9}, 0.7, 1.7, 48, 6, 40, 1500 * time.Millisecond, 0},
		{"small gangs, little difference", work{seconds: 8, equal: true, declaredError: 0.5}, 1, 1.3, 48, 6, 40, 2 * time.Second, 0.03},
		{"small gangs of uneven progress", work{seconds: 8, equal: true, uneven: 0.1}, 0.7, 1.7, 48, 6, 40, 1500 * time.Millisecond, 0},
		{"three single tasks each", single, 0.7, 1.7, 48, 48, 3, 2 * time.Second, 0.08},
		{"three single tasks each, declared times wrong", work{seconds: 3, declaredError: 0.9}, 0.7, 1.7, 48, 48, 3, 2 * time.Second, 0.08},
		{"single tasks with outliers", work{seconds: 3, declaredError: 0.5, outliers: true}, 0.7, 1.7, 48, 16, 24, 2 * time.Second, 0.05},
		{"single tasks in jobs of two", work{seconds: 3, declaredError: 0.4, outliers: true}, 0.7, 1.7, 48, 2, 200, 2 * time.Second, 0.08},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sum, worst := 0.0, 0.0
			const seeds = 10
			for seed := range uint64(seeds) {
				s := newSimulation(seed, clusters(test.workers, test.fast, test.slow))
				for range test.jobs {
					s.start(test.work, s.choose(test.size))
					if test.workers != test.size {
						s.run(reportInterval, nil)
					} else {
						s.run(test.length, nil)
						s.running = nil
					}
				}
				s.run(test.length, nil)
				sum += s.wrong(test.fast, test.slow)
				for _, e := range s.errors() {
					worst = max(worst, math.Abs(e))
				}
			}
			t.Logf("%.3f of the workers on the wrong side, largest error of a logarithm %.2f", sum/seeds, worst)
			if sum/seeds > test.maxWrong {
				t.Errorf("%.3f of the workers are on the wrong side, want at most %.3f", sum/seeds, test.maxWrong)
			}
		})
	}
}

// TestEqualWorkers checks that workers of the same speed are not told apart, or work
// would queue for some of them.
func TestEqualWorkers(t *testing.T) {
	tests := []struct {
		name string
		work work
		size int
	}{
		{"gangs", work{seconds: 5, equal: true, declaredError: 0.9}, 6},
		{"single tasks", work{seconds: 3, declaredError: 0.9, outliers: true}, 12},
		{"jobs of one task", work{seconds: 3, declaredError: 0.5, outliers: true}, 1},
		{"gangs of uneven progress", work{seconds: 5, equal: true, declaredError: 0.9, uneven: 0.1}, 6},
		{"single tasks of uneven progress", work{seconds: 3, declaredError: 0.9, outliers: true, uneven: 0.1}, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			alarms, judged := 0, 0
			for seed := range uint64(10) {
				s := newSimulation(seed, clusters(48, 1, 1))
				round := 0
				s.run(60*time.Second, func() {
					for range 12 / test.size {
						s.start(test.work, s.choose(test.size))
					}
					round++
					for i := range s.factors {
						judged++
						e := s.model.Estimate(workerID(i))
						if f := math.Abs(math.Log(e.Factor)); f > math.Log(1.25) && f > 2*e.Deviation {
							alarms++
						}
					}
				})
			}
			share := float64(alarms) / float64(judged)
			t.Logf("%.5f of %d judgements were false alarms", share, judged)
			if share > 0.01 {
				t.Errorf("%.4f of the judgements were false alarms, want at most 0.01", share)
			}
		})
	}
}

// TestSeparateWork checks that factors are kept while fast and slow workers run different
// queues, as they do once work is placed by speed: nothing compares them then.
func TestSeparateWork(t *testing.T) {
	tests := []struct {
		name     string
		work     work
		minRatio float64
	}{
		{"gangs", work{seconds: 4, equal: true, declaredError: 0.5}, 1.9},
		{"single tasks", work{seconds: 4, declaredError: 0.5, outliers: true}, 1.7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := newSimulation(seed, clusters(24, 0.7, 1.7))
				s.run(20*time.Second, func() { s.start(test.work, s.choose(8)) })
				fast, slow := test.work, test.work
				fast.queue, slow.queue = "urgent", "patient"
				s.run(5*time.Minute, func() {
					s.start(fast, s.chooseOf(8, 0.7))
					if s.random.IntN(3) == 0 {
						s.start(slow, s.chooseOf(4, 1.7))
					}
				})
				ratio := s.mean(1.7) / s.mean(0.7)
				t.Logf("seed %d: ratio %.2f", seed, ratio)
				if ratio < test.minRatio || ratio > 3 {
					t.Errorf("seed %d: after 5 min slow workers are estimated as %.2f times as slow as fast ones, they are 2.43 times", seed, ratio)
				}
			}
		})
	}
}

// TestChange checks that a worker which turns slow, and sound again, is judged by what
// it does now within 2 s.
func TestChange(t *testing.T) {
	tests := []struct {
		name  string
		work  work
		size  int
		every int // reports between two jobs
	}{
		{"gangs", work{seconds: 6, equal: true, declaredError: 0.5}, 8, 1},
		{"single tasks", work{seconds: 4, declaredError: 0.5}, 8, 1},
		{"single tasks with outliers", work{seconds: 4, declaredError: 0.5, outliers: true}, 8, 1},
		{"long gangs under way", work{seconds: 25, equal: true, declaredError: 0.5}, 16, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			missed, steadyMissed, checks := [2]int{}, 0, 0
			const seeds = 20
			for seed := range uint64(seeds) {
				s := newSimulation(seed, clusters(16, 1, 1))
				round := 0
				step := func() {
					if round++; round%test.every == 0 {
						s.start(test.work, s.choose(test.size))
					}
				}
				s.run(30*time.Second, step)
				for turn, factor := range []float64{3, 1} {
					s.factors[0] = factor
					s.run(2*time.Second, step)
					if e := s.model.Estimate(workerID(0)).Factor; (e > math.Sqrt(3)) != (factor == 3) {
						missed[turn]++
					}
					for i := 1; i < 16; i++ {
						checks++
						if e := s.model.Estimate(workerID(i)).Factor; e > math.Sqrt(3) || e < 1/math.Sqrt(3) {
							steadyMissed++
						}
					}
					s.run(15*time.Second, step)
				}
			}
			t.Logf("missed of %d: turned slow %d, sound again %d; others judged wrong %d of %d", seeds, missed[0], missed[1], steadyMissed, checks)
			if missed[0] > seeds/10 || missed[1] > seeds/10 || steadyMissed*100 > checks {
				t.Errorf("missed of %d: turned slow %d, sound again %d; others judged wrong %d of %d", seeds, missed[0], missed[1], steadyMissed, checks)
			}
		})
	}
}

// TestRestart checks that a restarted worker is not judged by its earlier incarnation
// for long, and that a worker that is no longer registered is forgotten.
func TestRestart(t *testing.T) {
	s := newSimulation(1, clusters(8, 1, 2))
	s.start(work{seconds: 8, equal: true}, s.choose(8))
	s.run(3*time.Second, nil)
	before := s.model.Estimate(workerID(2))
	s.running = nil
	s.model.Restarted(s.now, workerID(2))
	if e := s.model.Estimate(workerID(2)); e.Factor != before.Factor || e.Deviation < 0.3 {
		t.Errorf("after the restart %+v, want the factor %.2f with a deviation of 0.3 or more", e, before.Factor)
	}
	s.factors[2] = 1
	s.start(work{seconds: 8, equal: true}, s.choose(8))
	s.run(2*time.Second, nil)
	if e := s.model.Estimate(workerID(2)); math.Abs(math.Log(e.Factor)) > 0.15 {
		t.Errorf("a second after the restart %+v, want a factor of 1", e)
	}
	unknown := s.model.Estimate("unknown")
	s.model.Retain(func(id workflow.WorkerID) bool { return id != workerID(2) })
	s.model.Fit(s.now)
	if e := s.model.Estimate(workerID(2)); e.Factor != 1 || math.Abs(e.Deviation-unknown.Deviation) > 0.1 {
		t.Errorf("a forgotten worker has %+v, an unknown one %+v", e, unknown)
	}
}

// TestUnusual feeds what a worker may report by mistake: the estimates of others must
// stay usable.
func TestUnusual(t *testing.T) {
	tests := []struct {
		name   string
		change func(o *speed.Observation)
	}{
		{"no time", func(o *speed.Observation) { o.Elapsed = 0 }},
		{"negative time", func(o *speed.Observation) { o.Elapsed = -time.Second }},
		{"no declared time", func(o *speed.Observation) { o.Declared = 0 }},
		{"over the whole", func(o *speed.Observation) { o.Fraction = 5 }},
		{"not a number", func(o *speed.Observation) { o.Fraction = math.NaN() }},
		{"less than before", func(o *speed.Observation) { o.Fraction = 0.04 }},
		{"an extreme pace", func(o *speed.Observation) { o.Elapsed = math.MaxInt64 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(1, clusters(8, 1, 2))
			s.start(work{seconds: 8, equal: true}, s.choose(8))
			for range 3 {
				s.run(time.Second, nil)
				o := s.running[0].observation
				test.change(&o)
				s.model.Observe(s.now, o)
				s.model.Fit(s.now)
			}
			for i := range s.factors {
				e := s.model.Estimate(workerID(i))
				if workerID(i) != s.running[0].observation.Worker && !(e.Factor > 0.4 && e.Factor < 2.5 && e.Deviation > 0 && e.Deviation < 1) || math.IsNaN(e.Factor) {
					t.Errorf("worker %d: %+v", i, e)
				}
			}
		})
	}
}
