package scheduling

import (
	"math"
	"time"

	"comfreystream/coordination/speed"
)

const (
	// fitInterval is the time between two fits of the workers' speeds, about that of two
	// reports of a worker.
	fitInterval = 500 * time.Millisecond
	// tierWidth is the width of a speed tier in the logarithm of the run time. Workers in
	// one tier differ by less than the declared run times are wrong.
	tierWidth = 0.2
)

// progressMark is a member's progress in its first report, with which later ones are
// compared: the time before it may include the restore of a checkpoint.
type progressMark struct {
	percent int
	clock   time.Duration
	set     bool
}

// noteProgress passes the progress of a running member to the model of the workers'
// speeds. A gang member at 100 percent waits for the others.
func (p *pool) noteProgress(m *member, percent int) {
	g, w := m.group, m.worker
	if g.step.LongRunning || percent >= 100 || p.scheduler.Now().Before(w.warmUntil) {
		return
	}
	if !m.mark.set || percent < m.mark.percent {
		m.mark = progressMark{percent, w.reportedClock, true}
		m.excess, m.excessClock = 0, w.reportedClock
		return
	}
	p.addExcess(m, w.reportedClock)
	declared := g.step.Estimate
	if g.size() == 1 && g.step.PreferredRack != "" && g.step.PreferredRack != w.rack() {
		declared = time.Duration(p.scheduler.Bounds.FarFactor * float64(declared))
	}
	o := speed.Observation{
		Worker: w.id, Task: m.task, Attempt: m.attempt,
		Cohort:   speed.Cohort{Job: g.job.ID, Occurrence: g.id.Occurrence, Step: g.id.Step, Queue: g.job.Queue},
		Equal:    g.size() > 1,
		Fraction: float64(percent-m.mark.percent) / 100, Elapsed: w.reportedClock - m.mark.clock - m.excess, Declared: declared,
		Urgency: g.job.Priority,
	}
	m.runTime = 0
	if o.Fraction >= minObservedFraction && o.Elapsed > 0 {
		m.runTime = time.Duration(float64(o.Elapsed) / o.Fraction)
	}
	p.modelsOf(w).speeds.Observe(p.scheduler.Now(), o)
}

// minObservedFraction is the least part of its work after which a member's run time is
// extrapolated: whole percents are 12 percent of it.
const minObservedFraction = 0.08

// updateSpeeds fits the model and the workers' tiers to the newest observations, at most
// once in fitInterval.
func (p *pool) updateSpeeds(now time.Time) {
	if now.Sub(p.fittedAt) < fitInterval {
		return
	}
	p.fittedAt = now
	for _, l := range p.models {
		l.speeds.Fit(now)
		p.logSpeedChanges(l)
		l.interference.Refresh(now)
		p.logInterference(l, now)
	}
	for _, w := range p.ordered {
		w.setSpeed(p.estimateSpeed(w))
	}
}

// setSpeed sets the worker's expected speed. The tier counts an uncertain worker as slower
// by one standard deviation, so that work with a tight objective goes to known ones.
func (w *worker) setSpeed(e speed.Estimate) {
	w.factor = e.Factor * math.Exp(e.Deviation)
	w.tier = int(math.Floor(math.Log(w.factor)/tierWidth + 0.5))
	w.price = math.Pow(e.Factor, -fastPriceExponent)
}

// fastPriceExponent weighs the capacity of fast workers: what takes half the time there
// costs more than what takes twice the time on slow ones, so that work with slack leaves
// the fast ones to work without.
const fastPriceExponent = 1.5

// prefersFast reports whether the group is to be placed on the fastest workers, and not
// on the slowest on which it meets its deadline.
func (p *pool) prefersFast(g *group, now time.Time) bool {
	return g.job.Priority == 0 || time.Duration(float64(g.step.Estimate)*slowestUse) > g.deadline().Sub(now)
}

// slowestUse is how many times its declared run time a group must have until its deadline
// to be placed on slow workers: declared run times are often half of the real ones.
const slowestUse = 3.0

// speedOf returns the tier of the slowest worker, and what the group occupies there: its run
// time times its members, weighed by the price of each worker.
func speedOf(workers []*worker) (tier int, cost float64) {
	tier = math.MinInt
	slowest := 0.0
	for _, w := range workers {
		slowest, tier = max(slowest, w.factor*math.Exp(w.slowdown)), max(tier, w.tier+w.extraTiers)
		cost += w.price
	}
	return tier, cost * slowest
}
