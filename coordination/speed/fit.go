package speed

import (
	"math"
	"time"
)

const (
	// halfWeightAge is the age at which an observation has half its weight.
	halfWeightAge = 60 * time.Second
	// initialWorkerDeviation is the deviation of the logarithms of the workers' factors
	// before any is known; it counts like that of workerDeviationCount workers. With 3 of
	// them, 1.2 % of the judgements on equal workers were false alarms.
	initialWorkerDeviation, workerDeviationCount = 0.4, 1.0
	minWorkerDeviation, maxWorkerDeviation       = 0.08, 0.6
	// initialCohortDeviation is that of the cohorts of a queue, whose declared run times
	// were measured to be wrong by 0.2 to 0.9; it counts like that of cohortDeviationCount
	// cohorts.
	initialCohortDeviation, cohortDeviationCount = 0.6, 4.0
	minCohortDeviation, maxCohortDeviation       = 0.1, 1.2
	// queueMeanDeviation is the deviation of the means of queues. Over queueFits fits, 5
	// minutes, a mean forgets what it comes from: a queue that moves to slow workers
	// must not take their factor for its own.
	queueMeanDeviation, queueFits = 1.0, 600
	// degreesOfFreedom is that of the distribution of the factors, which has long tails.
	degreesOfFreedom = 3.0
	// One single task in thirty was measured to take seven times as long.
	singleOutliers, singleOutlierMean = 1.0 / 30, 1.95
	equalOutliers, equalOutlierMean   = 1.0 / 100, 0.0
	outlierDeviation                  = 0.5
	// minLearnt is the least precision of what a cohort's observations say, above the
	// rounding error of the difference that it is computed from.
	minLearnt = 1e-6
	// minWeight is the least weight of an outlier.
	minWeight = 0.01
	// The median is found in a histogram of the logarithms, up to histogramRange on either
	// side of the mean.
	histogramBins, histogramRange = 1024, 4.0
)

func newQueue() queue {
	return queue{variance: initialCohortDeviation * initialCohortDeviation}
}

// ageWeight returns the weight of what was learnt some time ago, 1 for news.
func ageWeight(age time.Duration) float64 { return 1 / agePenalty(age) }

func agePenalty(age time.Duration) float64 {
	ratio := float64(age) * (1 / float64(halfWeightAge))
	return 1 + ratio*ratio
}

// Fit fits the factors to the observations. A fit costs time in proportion to the
// observations, so it should be called at most every 500 ms.
//
// The fit is Gaussian belief propagation: each observation tells the worker what its
// cohort expects of it, and the cohort what the worker does. Simple alternation
// of the two converges too slowly if the members of one gang are all on slow workers.
// Each fit continues from the last one with one pass. A second pass over the workers
// with new observations compares the members of a new gang with each other.
func (m *Model) Fit(now time.Time) {
	at := m.since(now)
	for i := range m.workers {
		m.takeOverJumps(&m.workers[i], at)
	}
	m.prepare(at)
	for i := range m.workers {
		m.exchange(&m.workers[i], !m.workers[i].fresh)
	}
	for i := range m.workers {
		w := &m.workers[i]
		if w.fresh {
			m.exchange(w, true)
		}
		m.displaceContradicted(w, at)
	}
	m.fitWorkers()
	m.fitQueues()
	m.findCentre()
}

// prepare sets the priors, and the cohorts' beliefs from the messages of the last fit.
func (m *Model) prepare(at time.Duration) {
	for i := range m.cohorts {
		c := &m.cohorts[i]
		q := &m.queues[c.queue]
		c.belief = newBelief(q.mean, q.variance).plus(c.kept)
	}
	for i := range m.workers {
		w := &m.workers[i]
		m.setBase(w, at)
		w.fresh = false
		for j := range w.window[:w.count] {
			o := &w.window[j]
			if !o.usable {
				o.toCohort, o.toWorker = message{}, message{}
				continue
			}
			o.noise = o.variance * float32(agePenalty(at-o.to)) / o.weight
			w.fresh = w.fresh || o.toCohort.precision == 0
			c := &m.cohorts[o.cohort]
			c.precision += float64(o.toCohort.precision)
			c.information += float64(o.toCohort.information)
		}
	}
}

// setBase sets what is known of a worker without its observations: what all workers have
// in common, with long tails, and what is remembered of this one. What is remembered
// well stands alone in the messages to cohorts. The common part is only added to the
// estimate then: it would draw groups of workers that run different work towards each
// other again with each message.
func (m *Model) setBase(w *worker, at time.Duration) {
	z := (w.mean - m.level) / m.deviation
	common := newBelief(m.level, m.deviation*m.deviation).times((degreesOfFreedom + 1) / (degreesOfFreedom + z*z))
	own := w.prior.times(ageWeight(at - w.priorAt))
	w.base, w.common = common.plus(own), belief{}
	if own.precision > common.precision {
		w.base, w.common = own, common
	}
}

// exchange sends the messages between a worker and its cohorts. If weigh is set, it
// also computes which observations are outliers.
func (m *Model) exchange(w *worker, weigh bool) {
	b := w.base
	for i := range w.window[:w.count] {
		o := &w.window[i]
		if !o.usable {
			continue
		}
		o.toWorker = o.answer(m.cohorts[o.cohort].belief, o.toCohort)
		b.precision += float64(o.toWorker.precision)
		b.information += float64(o.toWorker.information)
	}
	shown := b.plus(w.common)
	w.mean, w.variance = shown.information/shown.precision, 1/shown.precision
	w.strained = false
	for i := range w.window[:w.count] {
		o := &w.window[i]
		if !o.usable {
			continue
		}
		c := &m.cohorts[o.cohort]
		if weigh {
			o.weigh(b.minus(o.toWorker.belief()))
			w.strained = w.strained || o.weight < 1
		}
		answer := o.answer(b, o.toWorker)
		c.precision += float64(answer.precision) - float64(o.toCohort.precision)
		c.information += float64(answer.information) - float64(o.toCohort.information)
		o.toCohort = answer
	}
}

// answer returns what the observation says of one side, given the belief of the other
// side and what that was told by this observation. With the rest of the belief of mean
// m and variance v, the mean is pace-m and the variance v+noise.
func (o *observation) answer(b belief, told message) message {
	precision, information := b.precision-float64(told.precision), b.information-float64(told.information)
	scale := 1 / (1 + precision*float64(o.noise))
	return message{float32(precision * scale), float32((float64(o.pace)*precision - information) * scale)}
}

// weigh computes the probability that the observation is no outlier, given the belief
// of the worker without it.
func (o *observation) weigh(rest belief) {
	told := o.toWorker.belief()
	toldVariance, restVariance := 1/told.precision, 1/rest.precision
	residual := told.information*toldVariance - rest.information*restVariance
	variance := restVariance + toldVariance - float64(o.noise) + float64(o.variance)
	if residual*residual < variance {
		o.weight = 1
		return
	}
	share, centre := singleOutliers, singleOutlierMean
	if o.equal {
		share, centre = equalOutliers, equalOutlierMean
	}
	o.weight = minWeight
	inlier := (1 - share) * density(residual, variance)
	outlier := share * density(residual-centre, variance+outlierDeviation*outlierDeviation)
	if inlier > 0 {
		o.weight = float32(max(inlier/(inlier+outlier), minWeight))
	}
}

// density returns that of a normal distribution, up to a constant factor.
func density(x, variance float64) float64 {
	return math.Exp(-x*x/(2*variance)) / math.Sqrt(variance)
}

// fitWorkers computes the mean and the deviation of the logarithms of the workers'
// factors; workers far from the mean count less, as in setBase.
func (m *Model) fitWorkers() {
	squares, count := workerDeviationCount*initialWorkerDeviation*initialWorkerDeviation, workerDeviationCount
	sum, weights, common := 0.0, 0.0, m.deviation*m.deviation
	for i := range m.workers {
		w := &m.workers[i]
		distance := w.mean - m.level
		weight := (degreesOfFreedom + 1) / (degreesOfFreedom + distance*distance/common)
		squares += weight*distance*distance + w.variance
		count++
		sum += weight * w.mean
		weights += weight
	}
	m.deviation = min(max(math.Sqrt(squares/count), minWorkerDeviation), maxWorkerDeviation)
	if weights > 0 {
		m.level = sum / weights
	}
}

// fitQueues computes the distribution of the cohorts of each queue.
func (m *Model) fitQueues() {
	for i := range m.queues {
		q := &m.queues[i]
		q.weights, q.means = 0, 0
		q.squares, q.cohorts = cohortDeviationCount*initialCohortDeviation*initialCohortDeviation, cohortDeviationCount
	}
	for i := range m.cohorts {
		c := &m.cohorts[i]
		q := &m.queues[c.queue]
		learnt := c.minus(newBelief(q.mean, q.variance))
		if c.observations == 0 || learnt.precision <= minLearnt {
			continue
		}
		weight := 1 / (1/learnt.precision + q.variance)
		q.weights += weight
		q.means += weight * learnt.information / learnt.precision
		distance := c.information/c.precision - q.mean
		q.squares += distance*distance + 1/c.precision
		q.cohorts++
	}
	for i := range m.queues {
		q := &m.queues[i]
		if q.weights > 0 {
			q.fits = min(q.fits+1, queueFits)
			estimate := q.means / (q.weights + 1/(queueMeanDeviation*queueMeanDeviation))
			q.mean += (estimate - q.mean) / q.fits
		}
		deviation := min(max(math.Sqrt(q.squares/q.cohorts), minCohortDeviation), maxCohortDeviation)
		q.variance = deviation * deviation
	}
}

// findCentre computes the weighted median of the workers' logarithms. A worker of which
// nothing is known weighs nothing.
func (m *Model) findCentre() {
	clear(m.histogram[:])
	total := 0.0
	for i := range m.workers {
		w := &m.workers[i]
		weight := max(1-w.variance/(m.deviation*m.deviation), 0)
		position := (w.mean - m.level + histogramRange) / (2 * histogramRange) * histogramBins
		m.histogram[int(min(max(position, 0), histogramBins-1))] += weight
		total += weight
	}
	if total == 0 {
		return
	}
	below := 0.0
	for i, weight := range m.histogram {
		if below+weight >= total/2 {
			part := (total/2 - below) / weight
			m.centre = m.level + (float64(i)+part)/histogramBins*2*histogramRange - histogramRange
			return
		}
		below += weight
	}
}
