package speed

import (
	"hash/maphash"
	"math"
	"time"

	"comfreystream/state/workflow"
)

const (
	// minFraction is the least fraction from which a pace is computed.
	minFraction = 0.03
	// percent is the resolution of reported fractions.
	percent = 0.01
	// roundingDeviation is that of the difference of two fractions in whole percents.
	roundingDeviation = 0.0041
	// equalDeviation and singleDeviation are the standard deviations of the logarithm of
	// the work of one task in its cohort. Members of gangs were measured to differ by
	// 0.03, single tasks by 0.32; 0.36 keeps false alarms under 1 in 100 in spite of
	// outliers.
	equalDeviation, singleDeviation = 0.04, 0.36
	// jumpRatio is by how much the pace of a running task must certainly have changed
	// for the worker to be suspected of another speed.
	jumpRatio = 1.5
	// jumpInterval is the least time over which paces of a running task are compared;
	// with reports each 0.5 s a change is found within 2 s.
	jumpInterval = 0.9
	// minJumpFraction is the least fraction of work before the compared time.
	minJumpFraction = 0.05
	// recentPoints is how many points of recent progress are kept of an attempt, and
	// recentInterval and recentFraction the least distance between them.
	recentPoints, recentInterval, recentFraction = 4, 0.4, 0.02
	// keptShare is how much of a removed observation its cohort keeps. Those of short tasks
	// are removed first. In TestSeparateWork the estimates of workers that are only
	// compared with each other drift up with 0 and down with 1.
	keptShare = 0.7
	// maxRatio bounds the believable run times, against the declared ones.
	maxRatio = 1000
)

// observation is the progress of one attempt since its pace last changed.
type observation struct {
	attempt uint64
	cohort  int32
	equal   bool
	// usable is set once enough work was done for a pace.
	usable bool
	// jumped is set while jump, the logarithm of the newest change of the pace, is to be
	// taken over.
	jumped bool
	jump   float32
	// from is when first was reported, to when the newest point was.
	from, to time.Duration
	first    point
	// recent holds the latest points, the newest first.
	recent [recentPoints]point
	count  int8
	// pace is the logarithm of the run time against the declared one, variance that of
	// its noise, and weight the probability that the task is no outlier.
	pace, variance, weight float32
	// noise is the variance after age and weight.
	noise              float32
	toWorker, toCohort message
}

// point is the progress of an attempt: the fraction done after a time in seconds.
type point struct{ fraction, elapsed float32 }

func (p point) minus(other point) point {
	return point{p.fraction - other.fraction, p.elapsed - other.elapsed}
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    workflow.Task
	attempt int
}

// Observe notes the progress of an attempt and replaces the earlier observation of it.
// It ignores observations with less than 3 percent of the work, and those of an
// impossible pace.
func (m *Model) Observe(now time.Time, o Observation) {
	if !(o.Fraction >= minFraction && o.Fraction <= 1) || o.Elapsed <= 0 || o.Declared <= 0 {
		return
	}
	if ratio := float64(o.Elapsed) / float64(o.Declared) / o.Fraction; ratio > maxRatio || ratio < 1/maxRatio {
		return
	}
	at := m.since(now)
	w := m.ensureWorker(o.Worker)
	key := maphash.Comparable(m.seed, attemptKey{o.Task, o.Attempt})
	slot := w.find(key)
	if slot == nil {
		if slot = m.addSlot(w, &o, key, at); slot == nil {
			return
		}
	}
	newest := point{float32(o.Fraction), float32(o.Elapsed.Seconds())}
	slot.to = at
	if slot.advance(newest) {
		w.jumped, w.jumpAt = true, at
	}
	slot.setPace(newest, o.Declared)
}

// setPace computes the pace from the work done since the first point.
func (o *observation) setPace(newest point, declared time.Duration) {
	done := newest.minus(o.first)
	if o.usable = done.fraction >= minFraction && done.elapsed > 0; !o.usable {
		return
	}
	o.pace = float32(math.Log(float64(done.elapsed) / declared.Seconds() / float64(done.fraction)))
	o.variance = float32(variance(o.equal, float64(done.elapsed)/declared.Seconds()))
}

// variance returns that of the pace of a task which has run for a part of its declared
// run time. The rounding error is computed from this part and not from the fraction done:
// the faster members of a gang would get more weight otherwise, and the estimates of
// workers that are only compared with each other would drift by a factor of 2 in 5 min.
func variance(equal bool, part float64) float64 {
	deviation, rounding := singleDeviation, roundingDeviation/min(max(part, minFraction), 1)
	if equal {
		deviation = equalDeviation
	}
	return deviation*deviation + rounding*rounding
}

func (w *worker) find(key uint64) *observation {
	for i := range w.window[:w.count] {
		if w.window[i].attempt == key {
			return &w.window[i]
		}
	}
	return nil
}

// addSlot adds an observation, or returns nil if there is no room for it. What the
// attempt did before the worker's speed changed does not count.
func (m *Model) addSlot(w *worker, o *Observation, key uint64, at time.Duration) *observation {
	if w.count == window {
		i, found := w.replaceable(1/variance(o.Equal, float64(o.Elapsed)/float64(o.Declared)), at)
		if !found {
			return nil
		}
		w.remember(&w.window[i], at)
		m.removeSlot(w, i)
	}
	slot := &w.window[w.count]
	w.count++
	*slot = observation{attempt: key, cohort: m.joinCohort(o.Cohort), equal: o.Equal, weight: 1, from: max(at-o.Elapsed, 0)}
	if slot.from < w.changedAt {
		slot.first, slot.from = point{float32(o.Fraction), float32(o.Elapsed.Seconds())}, at
	}
	return slot
}

// replaceable returns the observation to remove for one with the value. Of the attempts
// that ended, the one that says least makes room for one that runs, since only these
// show a change of the worker; the best minEnded stay. One that runs only makes room
// for one that says much more, as its recent progress is lost.
func (w *worker) replaceable(value float64, at time.Duration) (least int, found bool) {
	ended, leastEnded, leastRunning := 0, -1, -1
	var endedValue, runningValue float64
	for i := range w.window {
		o := &w.window[i]
		switch v := o.value(at); {
		case at-o.to > reportAge:
			if ended++; leastEnded < 0 || v < endedValue {
				leastEnded, endedValue = i, v
			}
		case leastRunning < 0 || v < runningValue:
			leastRunning, runningValue = i, v
		}
	}
	switch {
	case leastEnded >= 0 && (ended > minEnded || endedValue < value):
		return leastEnded, true
	case leastRunning >= 0 && runningValue < value/4:
		return leastRunning, true
	}
	return 0, false
}

// value returns how much the observation says, as a precision.
func (o *observation) value(at time.Duration) float64 {
	if !o.usable {
		return 0
	}
	return ageWeight(at-o.to) / float64(o.variance)
}

// remember adds to the prior what an observation says that makes room for another.
// Without it, the factors of fast and slow workers became equal within 90 s in
// simulations once these ran different work, as nothing compares them then.
func (w *worker) remember(o *observation, at time.Duration) {
	b := w.prior.times(ageWeight(at - w.priorAt)).plus(o.toWorker.belief())
	if b.precision > maxPriorPrecision {
		b = b.times(maxPriorPrecision / b.precision)
	}
	w.prior, w.priorAt = b, at
}

func (m *Model) removeSlot(w *worker, i int) {
	c := &m.cohorts[w.window[i].cohort]
	c.kept = c.kept.plus(w.window[i].toCohort.belief().times(keptShare))
	m.leaveCohort(w.window[i].cohort)
	w.count--
	w.window[i] = w.window[w.count]
	w.window[w.count] = observation{}
}

// dropIf removes the observations for which the condition holds.
func (m *Model) dropIf(w *worker, drop func(o *observation) bool) {
	for i := w.count - 1; i >= 0; i-- {
		if drop(&w.window[i]) {
			m.removeSlot(w, i)
		}
	}
}

// advance adds the newest point and compares the recent progress with that before. It
// reports a pace that has changed by far, and begins the observation anew then. A point
// before the last one begins it anew, too.
func (o *observation) advance(newest point) (changed bool) {
	if o.count > 0 && (newest.fraction < o.recent[0].fraction || newest.elapsed < o.recent[0].elapsed) {
		o.first, o.count = point{}, 0
	}
	if o.count > 0 {
		before := o.recent[o.count-1].minus(o.first)
		if before.fraction >= minJumpFraction && before.elapsed >= jumpInterval && newest.elapsed-o.recent[o.count-1].elapsed >= jumpInterval {
			changed = o.compare(before, newest)
		}
		done, last := o.recent[0].minus(o.first), newest.minus(o.recent[0])
		if last.elapsed < recentInterval || done.fraction*last.elapsed < recentFraction*done.elapsed && last.fraction < recentFraction {
			return changed
		}
	}
	copy(o.recent[1:], o.recent[:recentPoints-1])
	o.recent[0] = newest
	o.count = min(o.count+1, recentPoints)
	return changed
}

// compare looks for a change that is certain over jumpInterval, and begins anew from the
// point since which the pace has most certainly changed.
func (o *observation) compare(before, newest point) (changed bool) {
	var largest, lasting float32
	at, jump := 0, 0.0
	for i, p := range o.recent[:o.count] {
		recent := newest.minus(p)
		if recent.elapsed < recentInterval {
			continue
		}
		times := recent.elapsed / before.elapsed
		slower := (before.fraction - percent) * times / (recent.fraction + percent)
		faster := (recent.fraction - percent) / ((before.fraction + percent) * times)
		certain := max(slower, faster)
		if recent.elapsed >= jumpInterval {
			lasting = max(lasting, certain)
		}
		if certain > largest {
			largest, at = certain, i
			jump = math.Log(float64(before.fraction * times / max(recent.fraction, percent/2)))
		}
	}
	if lasting < jumpRatio {
		return false
	}
	o.jumped, o.jump = true, float32(jump)
	o.restart(at)
	return true
}

// restart begins the observation anew from a recent point.
func (o *observation) restart(at int) {
	o.first = o.recent[at]
	o.from = max(o.to-time.Duration(float64(o.recent[0].elapsed-o.first.elapsed)*float64(time.Second)), 0)
	o.count, o.weight, o.usable = int8(at), 1, false
}

// joinCohort counts an observation of a cohort and returns the cohort's position.
func (m *Model) joinCohort(name Cohort) int32 {
	key := maphash.Comparable(m.seed, name)
	i, known := m.cohortByKey[key]
	if !known {
		if free := len(m.freeCohorts); free > 0 {
			i = m.freeCohorts[free-1]
			m.freeCohorts = m.freeCohorts[:free-1]
		} else {
			i = int32(len(m.cohorts))
			m.cohorts = append(m.cohorts, cohort{})
		}
		m.cohorts[i] = cohort{key: key, queue: m.ensureQueue(name.Queue)}
		m.cohortByKey[key] = i
	}
	m.cohorts[i].observations++
	return i
}

// leaveCohort forgets a cohort with its last observation.
func (m *Model) leaveCohort(i int32) {
	c := &m.cohorts[i]
	if c.observations--; c.observations == 0 {
		delete(m.cohortByKey, c.key)
		m.freeCohorts = append(m.freeCohorts, i)
	}
}

func (m *Model) ensureQueue(name string) int32 {
	i, known := m.queueByName[name]
	if known || len(m.queues) > maxQueues {
		return i
	}
	i = int32(len(m.queues))
	m.queues = append(m.queues, newQueue())
	m.queueByName[name] = i
	return i
}
