package speed

import (
	"hash/maphash"
	"math"
	"time"

	"comfreystream/state/workflow"
)

// Observation is the progress of one attempt of a task on a worker, from its first
// report to its newest.
type Observation struct {
	Worker  workflow.WorkerID
	Task    workflow.Task
	Attempt int
	// Cohort names the tasks whose amounts of work belong together. Equal is set if they
	// have equal work, as the members of a gang do.
	Cohort Cohort
	Equal  bool
	// Fraction is the share of the whole work that was done between the two reports, 0
	// to 1; Elapsed is the time between them by the worker's clock.
	Fraction float64
	Elapsed  time.Duration
	// Declared is the declared run time of the whole task.
	Declared time.Duration
	// Urgency is reserved for logs.
	Urgency int
}

// Cohort identifies tasks whose amounts of work belong together.
type Cohort struct {
	Job              workflow.ID
	Occurrence, Step int
	Queue            string
}

// Estimate is a worker's run time relative to a typical worker's: the median of the
// factor, 2 for twice as long, and the standard deviation of its logarithm.
type Estimate struct{ Factor, Deviation float64 }

const (
	// window is the most observations that are kept of a worker.
	window = 8
	// maxQueues bounds the queues that have a prior of their own.
	maxQueues = 1024
	// minEnded is how many ended attempts are kept when further ones run.
	minEnded = 3
	// minDeviation is the least deviation of an estimate: factors change with what else
	// runs on the worker.
	minDeviation = 0.05
	// maxPriorPrecision bounds what is known of a worker besides its observations, so that
	// these count more.
	maxPriorPrecision = 1 / (0.1 * 0.1)
	// restartDeviation is added to the deviation when a worker restarts, as the new
	// incarnation may run on another machine.
	restartDeviation = 0.4
)

// Model holds the observations of the workers and the factors fitted to them. It has
// no lock.
type Model struct {
	seed    maphash.Seed
	epoch   time.Time
	workers []worker
	// byID holds positions in workers, cohortByKey in cohorts and queueByName in queues.
	byID        map[workflow.WorkerID]int32
	cohorts     []cohort
	freeCohorts []int32
	cohortByKey map[uint64]int32
	queues      []queue
	queueByName map[string]int32
	// level and deviation are the mean and the standard deviation of the logarithms of the
	// factors, and centre is the one that counts as typical.
	level, deviation, centre float64
	histogram                [histogramBins]float64
	// records holds the state of each record by its number.
	records []recordState
}

// worker is a worker with its observations; mean and variance are those of the
// logarithm of its factor.
type worker struct {
	id             workflow.WorkerID
	mean, variance float64
	// prior is what is known besides the observations, priorAt when it was learnt.
	prior   belief
	priorAt time.Duration
	// base is what the messages to cohorts contain besides the observations, and common
	// what is added to the estimate.
	base, common belief
	count        int
	window       [window]observation
	// jumpAt is when the pace of a running task last changed by far, until that was
	// taken over or dismissed.
	jumpAt time.Duration
	jumped bool
	// strained is set while an observation may be an outlier; only then can newer ones
	// contradict older ones.
	strained bool
	// fresh is set while an observation has not been in a fit.
	fresh bool
	// changedAt is when the worker's speed last changed by far.
	changedAt time.Duration
	saved     savedState
	// reported is the logarithm of the factor that Changes last returned.
	reported float64
}

// belief is a normal distribution by its precision and the product of precision and mean.
type belief struct{ precision, information float64 }

func newBelief(mean, variance float64) belief { return belief{1 / variance, mean / variance} }

func (b belief) plus(other belief) belief {
	return belief{b.precision + other.precision, b.information + other.information}
}

func (b belief) minus(other belief) belief {
	return belief{b.precision - other.precision, b.information - other.information}
}

func (b belief) times(weight float64) belief {
	return belief{b.precision * weight, b.information * weight}
}

// message is a belief in less memory; a model holds two for each observation.
type message struct{ precision, information float32 }

func (m message) belief() belief { return belief{float64(m.precision), float64(m.information)} }

// cohort is the logarithm of the true against the declared run time of its tasks on a
// typical worker.
type cohort struct {
	key uint64
	belief
	// kept is what removed observations say.
	kept         belief
	queue        int32
	observations int32
}

// queue holds the distribution of the cohorts of a queue, and the sums from which it
// is computed.
type queue struct {
	mean, variance float64
	// weights and means belong to the mean; squares and cohorts to the variance.
	weights, means, squares, cohorts float64
	// fits counts the fits that the mean comes from.
	fits float64
}

// New returns a model that knows no worker.
func New() *Model {
	m := &Model{
		seed: maphash.MakeSeed(), byID: make(map[workflow.WorkerID]int32), cohortByKey: make(map[uint64]int32),
		queueByName: make(map[string]int32), deviation: initialWorkerDeviation,
	}
	m.queues = append(m.queues, newQueue()) // shared by the queues over maxQueues
	return m
}

// Estimate returns the estimate of a worker. Of an unknown worker it is the factor 1
// with the deviation of all workers.
func (m *Model) Estimate(id workflow.WorkerID) Estimate {
	i, known := m.byID[id]
	if !known {
		return Estimate{1, m.deviation}
	}
	return m.estimate(&m.workers[i])
}

func (m *Model) estimate(w *worker) Estimate {
	return Estimate{math.Exp(w.mean - m.centre), max(math.Sqrt(w.variance), minDeviation)}
}

// Restarted drops the observations of a worker that has restarted, and keeps its
// estimate as an uncertain one.
func (m *Model) Restarted(now time.Time, id workflow.WorkerID) {
	i, known := m.byID[id]
	if !known {
		return
	}
	w := &m.workers[i]
	m.dropIf(w, func(*observation) bool { return true })
	variance := min(w.variance, m.deviation*m.deviation) + restartDeviation*restartDeviation
	m.setPrior(w, w.mean, variance, m.since(now))
}

// Doubt drops the observations of all workers and keeps their estimates as uncertain ones,
// after something else than the workers was found to have slowed their tasks down.
func (m *Model) Doubt(now time.Time) {
	for i := range m.workers {
		m.Restarted(now, m.workers[i].id)
	}
}

// Retain forgets all workers that are not registered.
func (m *Model) Retain(registered func(workflow.WorkerID) bool) {
	for i := len(m.workers) - 1; i >= 0; i-- {
		if registered(m.workers[i].id) {
			continue
		}
		w := &m.workers[i]
		m.dropIf(w, func(*observation) bool { return true })
		m.leaveRecord(w)
		delete(m.byID, w.id)
		last := len(m.workers) - 1
		if i != last {
			m.workers[i] = m.workers[last]
			m.byID[m.workers[i].id] = int32(i)
		}
		m.workers[last] = worker{}
		m.workers = m.workers[:last]
	}
}

// since returns the time since the model was first used.
func (m *Model) since(now time.Time) time.Duration {
	if m.epoch.IsZero() {
		m.epoch = now
	}
	return now.Sub(m.epoch)
}

func (m *Model) ensureWorker(id workflow.WorkerID) *worker {
	i, known := m.byID[id]
	if !known {
		i = int32(len(m.workers))
		m.byID[id] = i
		m.workers = append(m.workers, worker{id: id, mean: m.centre, variance: m.deviation * m.deviation, saved: savedState{record: noRecord}})
	}
	return &m.workers[i]
}

// setPrior sets what is known of a worker besides its observations.
func (m *Model) setPrior(w *worker, mean, variance float64, at time.Duration) {
	mean = min(max(mean, m.level-histogramRange), m.level+histogramRange)
	w.prior, w.priorAt = newBelief(mean, variance), at
	w.mean, w.variance = mean, variance
}
