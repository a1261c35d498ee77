package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reportAge is how old the newest report of an attempt that runs may be.
	reportAge = 1500 * time.Millisecond
	// steadySpan is how long an attempt must have been observed for its unchanged pace to
	// speak against a change of the worker.
	steadySpan = 2 * time.Second
	// jumpVariance is that of a worker's logarithm after a change of pace.
	jumpVariance = 0.25 * 0.25
	// contradiction is the least difference of logarithms by which newer observations
	// displace older ones, if it is also contradictionDeviations standard deviations.
	contradiction, contradictionDeviations = 0.34, 3.5
	// votesNeeded is how many single tasks must agree that a worker has changed, since
	// one in thirty takes seven times as long. A gang member with a well-known cohort is
	// as good as votesNeeded.
	votesNeeded = 3
	// knownVariance is that up to which a gang member's cohort is well known.
	knownVariance = 0.2 * 0.2
)

// takeOverJumps changes the estimate of a worker if as many of the running attempts
// have changed their pace as have not, and drops the observations before the change.
func (m *Model) takeOverJumps(w *worker, at time.Duration) {
	if !w.jumped {
		return
	}
	jumps, steady := make([]float64, 0, window), 0
	for i := range w.window[:w.count] {
		switch o := &w.window[i]; {
		case at-o.to > reportAge:
		case o.jumped:
			jumps = append(jumps, float64(o.jump))
		case at-o.from >= steadySpan:
			steady++
		}
	}
	taken := len(jumps) > 0 && len(jumps) >= steady
	if !taken && at-w.jumpAt <= reportAge {
		return
	}
	w.jumped = false
	for i := range w.window[:w.count] {
		o := &w.window[i]
		if taken && !o.jumped {
			o.restart(0)
		}
		o.jumped = false
	}
	if taken {
		m.dropIf(w, func(o *observation) bool { return at-o.to > reportAge })
		slices.Sort(jumps)
		w.changedAt = at
		m.setPrior(w, w.mean+jumps[len(jumps)/2], jumpVariance, at)
	}
}

// displaceContradicted drops the older observations of a worker if the newer ones
// contradict them by far. The next fit goes without them.
func (m *Model) displaceContradicted(w *worker, at time.Duration) {
	if w.count < 2 || !w.strained {
		return
	}
	order := make([]*observation, 0, window)
	for i := range w.window[:w.count] {
		if w.window[i].usable {
			order = append(order, &w.window[i])
		}
	}
	slices.SortFunc(order, func(a, b *observation) int { return cmp.Compare(a.from, b.from) })
	for first := len(order) - 1; first > 0; first-- {
		since := order[first].from
		older := w.prior.times(ageWeight(at - w.priorAt))
		for _, o := range order[:first] {
			if o.to <= since {
				older = older.plus(o.toWorker.belief())
			}
		}
		if older.precision > 0 && contradicts(order[first:], older) {
			w.prior, w.changedAt = belief{}, since
			m.dropIf(w, func(o *observation) bool { return o.from < since && at-o.to > reportAge })
			for i := range w.window[:w.count] {
				if o := &w.window[i]; o.from < since {
					o.restart(0)
				}
			}
			return
		}
	}
}

// contradicts reports whether all newer observations differ from the older in the same
// direction, and together by far.
func contradicts(newer []*observation, older belief) bool {
	mean, sum, votes, sign := older.information/older.precision, belief{}, 0, 0.0
	for _, o := range newer {
		told := o.toWorker.belief()
		b := newBelief(told.information/told.precision, 1/told.precision-float64(o.noise)+float64(o.variance))
		difference := b.information/b.precision - mean
		if math.Abs(difference) < contradiction/2 || sign*difference < 0 {
			return false
		}
		sign, sum = difference, sum.plus(b)
		votes++
		if o.equal && 1/b.precision <= knownVariance {
			votes = max(votes, votesNeeded)
		}
	}
	difference := math.Abs(sum.information/sum.precision - mean)
	deviation := math.Sqrt(1/sum.precision + 1/older.precision)
	return votes >= votesNeeded && difference > contradiction && difference > contradictionDeviations*deviation
}
