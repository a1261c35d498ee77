package estimate

import (
	"math"
	"time"

	"comfreystream/state"
)

const (
	// maxHistograms bounds the memory used: a histogram takes about 270 bytes.
	maxHistograms = 8192
	// minObservations is how many observations a histogram needs before it is
	// used.
	minObservations = 8
	runTimeQuantile = 0.9
	usageQuantile   = 0.99
	// defaultRunTime replaces a run time that the caller did not declare.
	defaultRunTime = time.Minute
)

// measure is the quantity that a histogram describes.
type measure uint8

const (
	runTime measure = iota
	cores
	memory
)

// key identifies a histogram; an empty kind covers all kinds of the
// organisation.
type key struct {
	organisation string
	kind         string
	measure      measure
}

// Estimates holds the learned corrections of a zone in bounded memory; it is
// safe for concurrent use. They may be wrong: correctness must not depend on
// them.
type Estimates struct {
	histograms *state.Table[key, *histogram]
}

// New returns estimates without observations, which return the declared values.
func New() *Estimates {
	return &Estimates{histograms: state.NewBoundedTable[key, *histogram](maxHistograms)}
}

// Observe records how long a finished job ran.
func (e *Estimates) Observe(organisation, kind string, declared, actual time.Duration) {
	e.observe(key{organisation, kind, runTime}, float64(actual), float64(orDefaultRunTime(declared)))
}

// Estimate returns the run time that nine of ten such jobs do not exceed. With
// too few observations of the kind it uses those of the organisation, then the
// declared time.
func (e *Estimates) Estimate(organisation, kind string, declared time.Duration) time.Duration {
	declared = orDefaultRunTime(declared)
	ratio := e.quantile(key{organisation, kind, runTime}, runTimeQuantile)
	longest := float64(math.MaxInt64 / 2)
	return time.Duration(min(float64(declared)*ratio, longest))
}

// ObserveUsage records the peak usage of a member of a finished job, as seen in
// reports up to its end; reports lag behind the usage.
func (e *Estimates) ObserveUsage(organisation, kind string, declared, used state.Resources) {
	e.observe(key{organisation, kind, cores}, float64(used.Cores), float64(declared.Cores))
	e.observe(key{organisation, kind, memory}, float64(used.MemoryBytes), float64(declared.MemoryBytes))
}

// EstimateUsage returns the resources to plan for a member: the declared ones,
// with cores and memory raised if such jobs use more than they declare. It never
// returns less than declared, since a lease grants the declared resources.
func (e *Estimates) EstimateUsage(organisation, kind string, declared state.Resources) state.Resources {
	raised := declared
	raised.Cores = int(scaleUp(int64(declared.Cores), e.quantile(key{organisation, kind, cores}, usageQuantile)))
	raised.MemoryBytes = scaleUp(declared.MemoryBytes, e.quantile(key{organisation, kind, memory}, usageQuantile))
	return raised
}

func (e *Estimates) observe(k key, actual, declared float64) {
	if declared <= 0 {
		return
	}
	add := func(r *histogram, found bool) (*histogram, bool) {
		if !found {
			r = &histogram{}
		}
		r.observe(actual / declared)
		return r, true
	}
	e.histograms.Update(k, add)
	e.histograms.Update(key{k.organisation, "", k.measure}, add)
}

// quantile returns the learned ratio, or 1 with too few observations.
func (e *Estimates) quantile(k key, q float64) float64 {
	for _, kind := range [2]string{k.kind, ""} {
		ratio, known := 1.0, false
		e.histograms.Update(key{k.organisation, kind, k.measure}, func(r *histogram, found bool) (*histogram, bool) {
			known = found && r.observations >= minObservations
			if known {
				ratio = r.quantile(q)
			}
			return r, found
		})
		if known {
			return ratio
		}
	}
	return 1
}

func scaleUp(declared int64, ratio float64) int64 {
	return max(declared, int64(math.Ceil(float64(declared)*ratio)))
}

func orDefaultRunTime(declared time.Duration) time.Duration {
	if declared <= 0 {
		return defaultRunTime
	}
	return declared
}
