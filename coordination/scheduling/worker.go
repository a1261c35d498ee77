package scheduling

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/coordination/interference"
	"comfreystream/state/workflow"
)

const (
	// renewalTransitLimit bounds the time that the last renewal is in transit.
	renewalTransitLimit = 250 * time.Millisecond
	// refusedPause is how long a worker gets no tasks after it refused a start.
	refusedPause = 300 * time.Millisecond
	// unansweredPause is how long a worker gets no tasks after an unanswered start.
	unansweredPause = time.Second
	// unhealthyPause is how long a worker gets no tasks after repeated failures, a
	// stall or a start that it refused as unhealthy.
	unhealthyPause = 5 * time.Second
	// unhealthyFailures is the number of consecutive failures that make a worker
	// unhealthy.
	unhealthyFailures = 2
	// maxClockDrift is the fraction by which a worker's clock may run slow.
	maxClockDrift = 0.02
)

// worker is a worker as this planner knows it. The pool's lock guards every field
// but id.
type worker struct {
	id   workflow.WorkerID
	info workerInfo
	// incarnation is that of the newest report.
	incarnation workflow.Incarnation
	// members holds the attempts that run or may run on the worker.
	members map[attemptKey]*member
	used    workflow.Capacity
	// longRunning is the part of used that members of long-running groups hold.
	longRunning workflow.Capacity
	// reportedAt is when the newest report came, reportedClock the time of the
	// worker's clock in it.
	reportedAt    time.Time
	reportedClock time.Duration
	// renewals counts the renewals sent; reportedRenewal is the number of the one
	// that the newest report answers.
	renewals        int
	reportedRenewal int
	// failedRenewal is the number of the newest renewal that failed, reportedSentAt when
	// the one was sent that the newest report answers.
	failedRenewal  int
	reportedSentAt time.Time
	// leaseExpiry is when the lease has certainly run out and the worker has killed
	// its tasks, unless the lease is renewed. startLeaseExpiry is the same of the lease
	// that start orders give.
	leaseExpiry      time.Time
	startLeaseExpiry time.Time
	// lastAppliedEnd is the number of the last end that was applied to the groups,
	// lastSavedEnd that of the last whose effect is saved, and lastAckedEnd that of
	// the last that the worker knows to be saved.
	lastAppliedEnd int64
	lastSavedEnd   int64
	lastAckedEnd   int64
	// unknownTasks holds the tasks of the attempts in the newest report that this
	// planner does not know.
	unknownTasks []workflow.Task
	registration registration
	// warmUntil is until when the worker is slow after its start.
	warmUntil time.Time
	notice    notice
	// leftAt is when the worker was found to have left; zero if it may be there.
	leftAt time.Time
	// renewing is set once renewLoop runs, released once another pool is to have the worker.
	renewing, released bool
	// renewDue ends the wait in awaitSave once ends were saved or a stop was
	// answered.
	renewDue chan struct{}
	// avoidUntil is when tasks may be placed there again. failures counts
	// consecutive failures; failedJob is the job that failed last.
	avoidUntil        time.Time
	failures          int
	failedJob         workflow.ID
	unknownStopSentAt time.Time
	// suspectUntil is when the worker is no longer suspected of failing what it starts.
	suspectUntil time.Time
	// suspected is set for a planning round before suspectUntil.
	suspected bool
	// factor is the worker's run time relative to a typical one's, with the uncertainty
	// added; tier is its class of speed and price the weight of its capacity.
	factor float64
	tier   int
	price  float64
	// kinds holds the kinds of the tasks in the newest report, in order.
	kinds []interference.Kind
	// slowdown is the logarithm of the expected slowdown of the group that is placed,
	// extraTiers that with the slowdown of what runs here, in tiers.
	slowdown   float64
	extraTiers int
	// stopSenders counts the goroutines that send stops to the worker.
	stopSenders int
	// starts holds a value for each start order to the worker that is under way.
	starts chan struct{}
}

// workerInfo is a worker's registration, and whether it is still registered.
type workerInfo struct {
	workflow.Worker
	registered bool
}

// isPlaceholder reports whether the worker is known only from stored progress and
// was never registered in this term.
func (i *workerInfo) isPlaceholder() bool { return !i.Address.IsValid() }

// ensureWorker returns the worker, and adds a placeholder if it is unknown.
func (p *pool) ensureWorker(id workflow.WorkerID) *worker {
	w, known := p.workers[id]
	if !known {
		// An earlier planner may have renewed the lease during the overlap.
		w = &worker{
			id: id, info: workerInfo{Worker: workflow.Worker{ID: id}}, members: make(map[attemptKey]*member),
			leaseExpiry: p.earlierLeaseExpiry(p.scheduler.termBegan.Add(p.scheduler.Bounds.Overlap)), renewDue: make(chan struct{}, 1),
			starts: make(chan struct{}, maxStartSenders),
		}
		w.setSpeed(p.estimateSpeed(w))
		p.workers[id] = w
		i, _ := slices.BinarySearchFunc(p.ordered, id, func(w *worker, id workflow.WorkerID) int { return cmp.Compare(w.id, id) })
		p.ordered = slices.Insert(p.ordered, i, w)
	}
	return w
}

// latestLeaseExpiry returns when a lease whose renewal was sent at the given time
// has run out, even by the slowest clock.
func latestLeaseExpiry(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(time.Duration(float64(lease)*(1+maxClockDrift)) + renewalTransitLimit)
}

// extendByStart notes that a start order gives a lease until its validity ends.
func (w *worker) extendByStart(sent time.Time) {
	w.startLeaseExpiry = latestLeaseExpiry(sent, startValidity)
	w.leaseExpiry = latest(w.leaseExpiry, w.startLeaseExpiry)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (p *pool) setWorkers(list []workflow.Worker, listedAt time.Time) {
	p = p.lock()
	defer p.mu.Unlock()
	now, previousListing := p.scheduler.Now(), p.listedAt
	p.registered, p.listedAt = len(list), listedAt
	registered := make(map[workflow.WorkerID]bool, len(list))
	changed := false
	for _, info := range list {
		registered[info.ID] = true
		w := p.ensureWorker(info.ID)
		changed = changed || !w.info.registered || w.info.Draining != info.Draining
		if !w.info.registered || w.info.Draining != info.Draining {
			p.logWorker(&info, "workerListed")
		}
		if !w.info.registered || w.info.Beat != info.Beat || w.info.Incarnation != info.Incarnation || w.info.WarmUp != info.WarmUp {
			w.warmUntil = listedAt.Add(info.WarmUp)
		}
		p.noteNotice(w, &info, previousListing, now)
		w.info, w.released = workerInfo{info, true}, false
		w.registration.noteBeat(info.Beat, previousListing)
		w.leftAt = time.Time{}
		if !w.renewing {
			w.renewing = true
			p.scheduler.goroutines.Go(func() { p.renewLoop(w) })
		}
	}
	for id, w := range p.workers {
		if !registered[id] && w.info.registered {
			w.info.registered = false
			p.logWorker(&w.info.Worker, "workerUnlisted")
			if p.hasLeft(w, previousListing, now) {
				w.leftAt = now
			}
		}
	}
	if changed {
		for _, l := range p.models {
			l.speeds.Retain(func(id workflow.WorkerID) bool { return p.workers[id] != nil })
		}
		wake(p.planDue)
	}
}

func (p *pool) logWorker(w *workflow.Worker, event string) {
	p.scheduler.Log.Info().Str("event", event).Str("worker", string(w.ID)).Stringer("address", w.Address).
		Bool("draining", w.Draining).Int64("life", int64(w.Incarnation)).Send()
}

// estimateClock returns a lower bound of the worker's clock.
func (w *worker) estimateClock(now time.Time) time.Duration {
	return w.reportedClock + time.Duration(float64(now.Sub(w.reportedAt))*(1-maxClockDrift))
}

// acceptsTasks reports whether tasks can be placed on the worker, leaving aside
// its health. A restarted worker may have other labels and another capacity, so that
// its registry entry must be of the incarnation that reports.
func (w *worker) acceptsTasks(now time.Time, maxReportAge time.Duration, e *evacuations) bool {
	return w.info.registered && !w.info.Draining && !e.includes(w.info.AvailabilityZone) && len(w.unknownTasks) == 0 && w.info.Incarnation == w.incarnation &&
		!w.reportedAt.IsZero() && now.Sub(w.reportedAt) <= maxReportAge
}

func (w *worker) free() workflow.Capacity { return w.info.Capacity.Minus(w.used) }

// recordRefusal excludes a worker that refused a start from placement for a while.
func (w *worker) recordRefusal(result StartResult, now time.Time) {
	pause := refusedPause
	if result == RefusedUnhealthy {
		pause = unhealthyPause
	}
	w.avoidFor(now, pause)
}

// suspectTime is how long a worker on which a task has failed, or that has restarted, comes
// last for work that has failed before. The task may have failed by itself, so that the
// worker is not avoided by others, and shows by their work how it is.
const suspectTime = 10 * time.Second

// suspect notes that a failure may be the worker's fault.
func (w *worker) suspect(now time.Time) { w.suspectUntil = now.Add(suspectTime) }

// avoidFor excludes the worker from placement for at least the pause.
func (w *worker) avoidFor(now time.Time, pause time.Duration) {
	if until := now.Add(pause); until.After(w.avoidUntil) {
		w.avoidUntil = until
	}
}
