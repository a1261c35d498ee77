package speed_test

import (
	"math"
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"comfreystream/coordination/speed"
	"comfreystream/state/workflow"
)

// report reports 8 attempts on each worker, in gangs of 8 and single tasks by halves.
func report(m *speed.Model, now time.Time, random *rand.Rand, order []int, fraction float64) {
	for slot := range 8 {
		equal, deviation := slot%2 == 0, 0.32
		if equal {
			deviation = 0.03
		}
		for i := range order {
			worker := order[(i+37*slot)%len(order)]
			factor := 0.7
			if worker%3 == 0 {
				factor = 1.7
			}
			pace := 5 * factor * math.Exp(deviation*random.NormFloat64())
			job := workflow.ID("job" + strconv.Itoa(i/8))
			m.Observe(now, speed.Observation{
				Worker: workerID(worker), Task: workflow.Task{Job: job, Step: slot, Index: i % 8}, Attempt: 1,
				Cohort: speed.Cohort{Job: job, Step: slot, Queue: "q" + strconv.Itoa(i%5)}, Equal: equal,
				Fraction: fraction, Elapsed: time.Duration(fraction * pace * float64(time.Second)), Declared: 5 * time.Second,
			})
		}
	}
}

// BenchmarkFit7500 measures a fit of 7,500 workers with 8 observations each, when all
// are new and when all were in the fit before, and the memory that they take.
func BenchmarkFit7500(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	order, now := random.Perm(7500), time.Unix(1000, 0)
	load := func() *speed.Model {
		m := speed.New()
		for round := range 4 {
			report(m, now.Add(time.Duration(round)*500*time.Millisecond), random, order, 0.2*float64(round+1))
		}
		return m
	}
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			m := load()
			b.StartTimer()
			m.Fit(now.Add(2 * time.Second))
		}
	})
	b.Run("known", func(b *testing.B) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := load()
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
			m.Fit(now.Add(2 * time.Second))
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/7500, "B/worker")
		runtime.KeepAlive(m)
	})
}

// BenchmarkObserve measures one observation of an attempt that is known.
func BenchmarkObserve(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	m, order, now := speed.New(), random.Perm(750), time.Unix(1000, 0)
	report(m, now, random, order, 0.2)
	o := speed.Observation{
		Worker: workerID(order[0]), Task: workflow.Task{Job: "job0", Step: 0}, Attempt: 1, Cohort: speed.Cohort{Job: "job0", Queue: "q0"},
		Equal: true, Fraction: 0.3, Elapsed: 1500 * time.Millisecond, Declared: 5 * time.Second,
	}
	for b.Loop() {
		m.Observe(now, o)
	}
}
