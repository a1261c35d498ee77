package interference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

const (
	// maxPairs bounds the pairs that are kept.
	maxPairs = 256
	// window is the most contrasts that are kept of a pair.
	window = 16
	// perWorker is the most contrasts of a pair that involve the same worker, and
	// minContrasts the least for an estimate: one worker that changes its speed with
	// the neighbours is never half of the contrasts.
	perWorker, minContrasts, minWorkers = 2, 6, 3
	// maxAge is how long a contrast counts.
	maxAge = 5 * time.Minute
	// minScatter is the least deviation of one contrast: the paces of both halves of a
	// task were measured to differ by 0.03, to which rounding adds 0.07.
	minScatter = 0.1
	// medianPenalty is the deviation of a median relative to that of a mean;
	// scatterOfMedian and scatterOfMean are those of a normal distribution relative to
	// its median and its mean distance.
	medianPenalty, scatterOfMedian, scatterOfMean = 1.253, 1.483, 1.253
	// fewContrasts widens estimates from few contrasts, whose scatter is uncertain.
	// Without it, uneven tasks gave 17 false alarms in 50 runs of 4 min.
	fewContrasts = 3.0
	// maxDistance bounds what an outlier adds to the scatter.
	maxDistance = 0.7
	// A slowdown counts from minSlowdown and significantDeviations on, and until it is
	// under lostSlowdown or lostDeviations.
	minSlowdown, significantDeviations = 0.14, 4.0
	lostSlowdown, lostDeviations       = 0.1, 3.0
	// forgetting is added to the deviation for each minute without a contrast: a pair
	// with a slowdown of 2 times that is kept apart is tried again after 9 minutes.
	forgetting = 0.02
)

// The counted events.
const (
	// PairFound and PairLost count pairs that have begun and ceased to be significant.
	PairFound = "interferenceFound"
	PairLost  = "interferenceLost"
)

// Pair is a kind of work and a kind that runs beside it.
type Pair struct{ Kind, Beside Kind }

// Estimate is how many times as long the first kind of a pair takes beside the second,
// and the standard deviation of the logarithm of that.
type Estimate struct{ Slowdown, Deviation float64 }

// Change is a pair that has begun or ceased to be significant.
type Change struct {
	Pair
	Estimate
	Significant bool
}

// Effects holds the significant slowdowns of a kind, as logarithms: Suffered by the kinds
// beside which it is slower, Caused by those that are slower beside it.
type Effects struct{ Suffered, Caused map[Kind]float64 }

// Model holds the pairs of kinds that were observed. It has no lock.
type Model struct {
	pairs map[Pair]*pair
	// effects holds the kinds in significant pairs, and is empty if there are none.
	effects     map[Kind]*Effects
	significant int
	// stored holds what the store has, by record.
	stored [records]map[Pair]Estimate
	// unreported holds the changes since the last call of Changes.
	unreported []Change
}

type pair struct {
	contrasts []contrast
	// mean and deviation are those of the logarithm of the slowdown at the time at; a
	// deviation of 0 means that there is no estimate.
	mean, deviation float64
	at              time.Time
	significant     bool
}

// contrast is the logarithm of a slowdown seen once, on one or two workers.
type contrast struct {
	value   float64
	workers [2]workflow.WorkerID
	at      time.Time
}

// New returns a model that knows no pair.
func New() *Model {
	return &Model{pairs: make(map[Pair]*pair), effects: make(map[Kind]*Effects)}
}

// Significant returns the number of pairs whose slowdown is significant.
func (m *Model) Significant() int { return m.significant }

// Effects returns the significant slowdowns of a kind, or nil.
func (m *Model) Effects(k Kind) *Effects { return m.effects[k] }

// Slowdown returns the logarithm of the expected slowdown of a kind beside others.
func (m *Model) Slowdown(k Kind, beside []Kind) (sum float64) {
	e := m.effects[k]
	if e == nil {
		return 0
	}
	for _, b := range beside {
		sum += e.Suffered[b]
	}
	return sum
}

// Estimate returns the estimate of a pair, and whether it is significant.
func (m *Model) Estimate(now time.Time, of Pair) (e Estimate, significant bool) {
	p := m.pairs[of]
	if p == nil || p.deviation == 0 {
		return Estimate{Slowdown: 1}, false
	}
	return p.estimate(now), p.significant
}

func (p *pair) estimate(now time.Time) Estimate {
	return Estimate{math.Exp(p.mean), p.deviation + forgetting*now.Sub(p.at).Minutes()}
}

func (m *Model) add(now time.Time, of Pair, c contrast) {
	p := m.pairs[of]
	if p == nil {
		if len(m.pairs) >= maxPairs && !m.evict(c.value) {
			return
		}
		p = &pair{}
		m.pairs[of] = p
	}
	p.add(c)
	p.fit(now)
}

// evict drops the pair with the least slowdown if it is under the value. It reports
// whether it did.
func (m *Model) evict(value float64) bool {
	var least Pair
	leastValue, found := value, false
	for of, p := range m.pairs {
		v := p.mean
		if p.deviation == 0 {
			v, _ = p.median()
		}
		if !p.significant && v < leastValue {
			least, leastValue, found = of, v, true
		}
	}
	if found {
		delete(m.pairs, least)
	}
	return found
}

// add adds a contrast in place of the oldest ones of its workers, or of the oldest.
func (p *pair) add(c contrast) {
	p.contrasts = slices.DeleteFunc(p.contrasts, func(o contrast) bool { return c.at.Sub(o.at) > maxAge })
	for _, id := range c.workers {
		same := 0
		for i := len(p.contrasts) - 1; i >= 0; i-- {
			if w := p.contrasts[i].workers; w[0] != id && w[1] != id {
				continue
			}
			if same++; same >= perWorker {
				p.contrasts = slices.Delete(p.contrasts, i, i+1)
			}
		}
	}
	if len(p.contrasts) == window {
		p.contrasts = slices.Delete(p.contrasts, 0, 1)
	}
	p.contrasts = append(p.contrasts, c)
}

// fit sets the estimate to the median of the contrasts if there are enough.
func (p *pair) fit(now time.Time) {
	workers := make(map[workflow.WorkerID]bool, window)
	for _, c := range p.contrasts {
		workers[c.workers[0]] = true
	}
	if len(p.contrasts) < minContrasts || len(workers) < minWorkers {
		return
	}
	median, scatter := p.median()
	p.mean, p.at = median, now
	n := float64(len(p.contrasts))
	p.deviation = medianPenalty * max(scatter, minScatter) * (1 + fewContrasts/n) / math.Sqrt(n)
}

// median returns the median of the contrasts, and their deviation by the larger of the
// median and the mean distance, since either is often too small for few contrasts.
func (p *pair) median() (median, scatter float64) {
	values := make([]float64, 0, window)
	for _, c := range p.contrasts {
		values = append(values, c.value)
	}
	median = medianOf(values)
	sum := 0.0
	for i, v := range values {
		values[i] = math.Abs(v - median)
		sum += min(values[i], maxDistance)
	}
	mean := sum / float64(max(len(values), 1))
	return median, max(scatterOfMedian*medianOf(values), scatterOfMean*mean)
}

func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	half := len(values) / 2
	if len(values)%2 == 0 {
		return (values[half-1] + values[half]) / 2
	}
	return values[half]
}

// Refresh decides anew which pairs are significant and forgets those that are not and
// have had no contrast for 5 minutes. It should be called about every 500 ms.
func (m *Model) Refresh(now time.Time) {
	if m.significant > 0 {
		clear(m.effects)
	}
	m.significant = 0
	for of, p := range m.pairs {
		was := p.significant
		p.decide(now)
		if p.significant != was && len(m.unreported) < maxPairs {
			m.unreported = append(m.unreported, Change{of, p.estimate(now), p.significant})
		}
		if p.significant {
			m.significant++
			m.ensureEffects(of.Kind).Suffered[of.Beside] = p.mean
			m.ensureEffects(of.Beside).Caused[of.Kind] = p.mean
		} else if n := len(p.contrasts); n == 0 || now.Sub(p.contrasts[n-1].at) > maxAge {
			delete(m.pairs, of)
		}
	}
}

func (p *pair) decide(now time.Time) {
	least, deviations := minSlowdown, significantDeviations
	if p.significant {
		least, deviations = lostSlowdown, lostDeviations
	}
	p.significant = p.deviation > 0 && p.mean >= least && p.mean >= deviations*p.estimate(now).Deviation
}

func (m *Model) ensureEffects(k Kind) *Effects {
	e := m.effects[k]
	if e == nil {
		e = &Effects{Suffered: make(map[Kind]float64), Caused: make(map[Kind]float64)}
		m.effects[k] = e
	}
	return e
}

// Changes returns the pairs that have begun or ceased to be significant since they were
// last returned; at most limit of them, the others in later calls.
func (m *Model) Changes(limit int) []Change {
	n := min(limit, len(m.unreported))
	if n == 0 {
		return nil
	}
	changes := slices.Clone(m.unreported[:n])
	m.unreported = slices.Delete(m.unreported, 0, n)
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(a.Kind.Compare(b.Kind), a.Beside.Compare(b.Beside))
	})
	return changes
}
