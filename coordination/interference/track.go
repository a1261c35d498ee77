package interference

import (
	"math"
	"slices"
	"time"

	"comfreystream/coordination/speed"
	"comfreystream/state/workflow"
)

const (
	// minFraction is the least part of its work that a task must have done beside the
	// same neighbours. Reports in whole percents then add 5 percent of error.
	minFraction = 0.08
	// minGangFraction is that of gang members, which are compared once.
	minGangFraction = 0.2
	// maxFactorDistance is by how much the logarithms of two workers' factors may differ
	// for gang members there to be compared. Ratios of factors were up to 0.24 wrong while
	// slow and fast workers ran different queues.
	maxFactorDistance = 0.2
	// maxFactorDeviation is the most uncertainty of the ratio of two workers' factors.
	maxFactorDeviation = 0.15
	// maxContrast bounds one contrast: a slowdown of 100 times.
	maxContrast = 4.6
)

// Report is what a worker reports of a running attempt.
type Report struct {
	Worker workflow.WorkerID
	Kind   Kind
	// Beside holds the kinds that run beside the attempt, each once and in order.
	Beside []Kind
	// Fraction is the share of the work that is done, 0 to 1; Clock the worker's time.
	Fraction float64
	Clock    time.Duration
}

// Track is the progress of an attempt beside its present neighbours and beside those
// before; the zero value is that of an attempt without a report.
type Track struct {
	worker         workflow.WorkerID
	kind           Kind
	before, newest interval
	// contrasted is set once newest was compared with before, compared once it was
	// compared with another gang member.
	contrasted, compared bool
}

// interval is progress beside the same neighbours.
type interval struct {
	beside   []Kind
	from, to point
	known    bool
}

type point struct {
	fraction float64
	clock    time.Duration
}

func (i *interval) fraction() float64 { return i.to.fraction - i.from.fraction }

// logPace returns the logarithm of the seconds that the whole work would take.
func (i *interval) logPace() float64 {
	return math.Log((i.to.clock - i.from.clock).Seconds() / i.fraction())
}

// Observe adds a report to the track. The time between two reports beside different
// neighbours counts for neither.
func (m *Model) Observe(now time.Time, t *Track, r Report) {
	t.worker, t.kind = r.Worker, r.Kind
	at, n := point{r.Fraction, r.Clock}, &t.newest
	switch {
	case n.known && (at.fraction < n.to.fraction || at.clock < n.to.clock):
		*t = Track{worker: r.Worker, kind: r.Kind, newest: interval{r.Beside, at, at, true}}
		return
	case !n.known || !slices.Equal(n.beside, r.Beside):
		if n.known && n.fraction() >= minFraction {
			t.before = *n
		}
		*n, t.contrasted, t.compared = interval{r.Beside, at, at, true}, false, false
		return
	}
	n.to = at
	if t.contrasted || !t.before.known || n.fraction() < minFraction {
		return
	}
	t.contrasted = true
	m.contrast(now, t, t, &t.before, n, 0)
}

// Compare compares two members of a gang, which have equal work, by the factors of their
// workers. It reports whether it did; each member is compared once beside the same
// neighbours.
func (m *Model) Compare(now time.Time, a, b *Track, onA, onB speed.Estimate) bool {
	if !a.Comparable() || !b.Comparable() || a.worker == b.worker {
		return false
	}
	ratio := math.Log(onB.Factor / onA.Factor)
	if math.Abs(ratio) > maxFactorDistance || math.Hypot(onA.Deviation, onB.Deviation) > maxFactorDeviation {
		return false
	}
	if !m.contrast(now, a, b, &a.newest, &b.newest, ratio) {
		return false
	}
	a.compared, b.compared = true, true
	return true
}

// Comparable reports whether the member has done enough beside its neighbours to be
// compared, and was not compared yet.
func (t *Track) Comparable() bool {
	return t.newest.known && !t.compared && t.newest.fraction() >= minGangFraction
}

// contrast adds what the pace in two intervals says of the only kind by which their
// neighbours differ; expected is the logarithm of the ratio of the paces without it.
func (m *Model) contrast(now time.Time, a, b *Track, ia, ib *interval, expected float64) bool {
	kind, inFirst, found := difference(ia.beside, ib.beside)
	if !found {
		return false
	}
	slowdown := ib.logPace() - ia.logPace() - expected
	if inFirst {
		slowdown = -slowdown
	}
	slowdown = min(max(slowdown, -maxContrast), maxContrast)
	m.add(now, Pair{a.kind, kind}, contrast{slowdown, [2]workflow.WorkerID{a.worker, b.worker}, now})
	return true
}
