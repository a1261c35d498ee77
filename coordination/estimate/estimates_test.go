package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"comfreystream/state"
)

// bucketWidth is the factor by which an estimate may exceed the true quantile:
// one bucket.
var bucketWidth = math.Exp2(1.0 / bucketsPerOctave)

func TestEstimate(t *testing.T) {
	times := func(n int, ratios ...float64) (all []float64) {
		for range n {
			all = append(all, ratios...)
		}
		return all
	}
	tests := []struct {
		name string
		// ratios are the observed ratios of actual to declared run time, in
		// order.
		ratios   []float64
		kind     string
		declared time.Duration
		want     time.Duration
	}{
		{"no observations", nil, "render", time.Hour, time.Hour},
		{"too few observations", times(minObservations-1, 5), "render", time.Hour, time.Hour},
		{"five times too short", times(20, 5), "render", time.Hour, 5 * time.Hour},
		{"a hundredth of what was declared", times(20, 0.01), "render", 100 * time.Hour, time.Hour},
		{"one of twelve long", times(10, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 8), "render", time.Hour, time.Hour},
		{"three of ten long", times(10, 1, 1, 1, 8, 1, 1, 8, 1, 1, 8), "render", time.Hour, 8 * time.Hour},
		{"ratio changed recently", append(times(1200, 16), times(400, 2)...), "render", time.Hour, 2 * time.Hour},
		{"one of twelve long for a long time", times(150, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 8), "render", time.Hour, time.Hour},
		{"another kind of the organisation", times(20, 5), "quote", time.Hour, 5 * time.Hour},
		{"undeclared", times(20, 1), "render", 0, defaultRunTime},
		{"beyond the scale", times(20, 1e6), "render", time.Second, 256 * time.Second},
		{"below the scale", times(20, 0), "render", 256 * time.Second, time.Second},
		{"would overflow", times(20, 1e6), "render", math.MaxInt64, math.MaxInt64 / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := New()
			for _, ratio := range tt.ratios {
				e.Observe("andina", "render", time.Hour, time.Duration(ratio*float64(time.Hour)))
				e.Observe("brazos", "render", time.Hour, 100*time.Hour)
			}
			got := e.Estimate("andina", tt.kind, tt.declared)
			if low, high := float64(tt.want)*0.999, float64(tt.want)*bucketWidth; float64(got) < low || float64(got) > high {
				t.Errorf("got %v, want %v or up to %v", got, tt.want, time.Duration(high))
			}
		})
	}
}

func TestEstimateUsage(t *testing.T) {
	declared := state.Resources{Slots: 1, Accelerators: 2, Cores: 4, MemoryBytes: 8 << 30}
	more := state.Resources{Slots: 1, Accelerators: 2, Cores: 8, MemoryBytes: 16 << 30}
	less := state.Resources{Slots: 1, Accelerators: 1, Cores: 1, MemoryBytes: 1 << 30}
	tests := []struct {
		name string
		used []state.Resources
		want state.Resources
	}{
		{"more than declared", slices.Repeat([]state.Resources{more}, minObservations), more},
		{"less than declared", slices.Repeat([]state.Resources{less}, minObservations), declared},
		{"one of twenty more than declared", append(slices.Repeat([]state.Resources{less}, 19), more), more},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := New()
			for _, used := range tt.used {
				e.ObserveUsage("andina", "render", declared, used)
			}
			if got := e.EstimateUsage("andina", "render", declared); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// inaccurateTimes returns a random run time and a declared one that is wrong by
// a factor that depends on the kind and by a log-normal factor.
func inaccurateTimes(random *rand.Rand, kind int) (declared, actual time.Duration) {
	actual = time.Duration(float64(time.Hour) * math.Exp(random.NormFloat64()))
	factor := math.Exp2(float64(kind%9 - 4))
	declared = time.Duration(float64(actual) * factor * math.Exp(0.5*random.NormFloat64()))
	return declared, actual
}

// measureCoverage returns the fractions of jobs that ran within the estimate and
// within the declared time.
func measureCoverage() (estimated, declaredOnly float64) {
	random := rand.New(rand.NewPCG(1, 2))
	e := New()
	const jobs = 20000
	within, withinDeclared := 0, 0
	for i := range jobs {
		kind := fmt.Sprint("kind", i%18)
		declared, actual := inaccurateTimes(random, i%18)
		if actual <= e.Estimate("andina", kind, declared) {
			within++
		}
		if actual <= declared {
			withinDeclared++
		}
		e.Observe("andina", kind, declared, actual)
	}
	return float64(within) / jobs, float64(withinDeclared) / jobs
}

func TestEstimatesCoverNineOfTen(t *testing.T) {
	if estimated, _ := measureCoverage(); estimated < 0.87 || estimated > 0.96 {
		t.Errorf("%.3f of the jobs ran within the estimate, want about 0.9", estimated)
	}
}

func BenchmarkCoverage(b *testing.B) {
	var estimated, declared float64
	for b.Loop() {
		estimated, declared = measureCoverage()
	}
	b.ReportMetric(estimated, "withinEstimate")
	b.ReportMetric(declared, "withinDeclared")
}

func BenchmarkEstimate(b *testing.B) {
	e := New()
	for i := range 100 {
		e.Observe("andina", "render", time.Hour, time.Duration(i)*time.Minute)
	}
	b.ReportAllocs()
	for b.Loop() {
		e.Estimate("andina", "render", time.Hour)
	}
}

func BenchmarkObserve(b *testing.B) {
	e := New()
	b.ReportAllocs()
	for b.Loop() {
		e.Observe("andina", "render", time.Hour, 2*time.Hour)
	}
}
