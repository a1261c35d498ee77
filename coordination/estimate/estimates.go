package estimate

import (
	"math"
	"time"

	"comfreystream/state"
)

const (
	// maxKeys bounds the histograms, of about 270 bytes each.
	maxKeys = 8192
	// minObservations is how many a histogram needs before it is believed.
	minObservations = 8
	runTimeQuantile = 0.9
	useQuantile     = 0.99
	// undeclaredRunTime stands for a run time that the caller did not declare.
	undeclaredRunTime = time.Minute
)

// measure is what a histogram is about.
type measure uint8

const (
	runTime measure = iota
	cores
	memory
)

// key names one histogram; an empty kind stands for all of the organisation's.
type key struct {
	organisation string
	kind         string
	measure      measure
}

// Estimates holds the learned corrections of a zone in bounded memory; it is
// safe for several goroutines. Nothing that must be safe may rest on them.
type Estimates struct {
	ratios *state.Table[key, *ratios]
}

// New returns estimates that know nothing and return what was declared.
func New() *Estimates {
	return &Estimates{ratios: state.NewBoundedTable[key, *ratios](maxKeys)}
}

// Observe notes how long a finished job ran.
func (e *Estimates) Observe(organisation, kind string, declared, actual time.Duration) {
	e.observe(key{organisation, kind, runTime}, float64(actual), float64(orUndeclared(declared)))
}

// Estimate returns the run time that nine of ten such jobs stay within. It
// falls back from the kind to the organisation, and to the declared time.
func (e *Estimates) Estimate(organisation, kind string, declared time.Duration) time.Duration {
	declared = orUndeclared(declared)
	ratio := e.quantile(key{organisation, kind, runTime}, runTimeQuantile)
	longest := float64(math.MaxInt64 / 2)
	return time.Duration(min(float64(declared)*ratio, longest))
}

// ObserveUse notes the most that a member of a finished job used, as the
// reports, which lag, have shown it by its end.
func (e *Estimates) ObserveUse(organisation, kind string, declared, used state.Resources) {
	e.observe(key{organisation, kind, cores}, float64(used.Cores), float64(declared.Cores))
	e.observe(key{organisation, kind, memory}, float64(used.MemoryBytes), float64(declared.MemoryBytes))
}

// EstimateUse returns what to plan for a member: the declared amounts, with
// cores and memory raised if such jobs use more than they declare. It never
// returns less than was declared, since that is what a lease grants.
func (e *Estimates) EstimateUse(organisation, kind string, declared state.Resources) state.Resources {
	raised := declared
	raised.Cores = int(raise(int64(declared.Cores), e.quantile(key{organisation, kind, cores}, useQuantile)))
	raised.MemoryBytes = raise(declared.MemoryBytes, e.quantile(key{organisation, kind, memory}, useQuantile))
	return raised
}

func (e *Estimates) observe(k key, actual, declared float64) {
	if declared <= 0 {
		return
	}
	note := func(r *ratios, found bool) (*ratios, bool) {
		if !found {
			r = &ratios{}
		}
		r.observe(actual / declared)
		return r, true
	}
	e.ratios.Update(k, note)
	e.ratios.Update(key{k.organisation, "", k.measure}, note)
}

// quantile returns the learned ratio, or 1 if too little is known.
func (e *Estimates) quantile(k key, q float64) float64 {
	for _, kind := range [2]string{k.kind, ""} {
		ratio, known := 1.0, false
		e.ratios.Update(key{k.organisation, kind, k.measure}, func(r *ratios, found bool) (*ratios, bool) {
			known = found && r.seen >= minObservations
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

func raise(declared int64, ratio float64) int64 {
	return max(declared, int64(math.Ceil(float64(declared)*ratio)))
}

func orUndeclared(declared time.Duration) time.Duration {
	if declared <= 0 {
		return undeclaredRunTime
	}
	return declared
}
