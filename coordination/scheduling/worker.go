package scheduling

import (
	"time"

	"comfreystream/state/workflow"
)

const (
	// heardWithin is how fresh a worker's report must be for new work there.
	heardWithin = 1500 * time.Millisecond
	// leaseSlack covers the transit of the last renewal.
	leaseSlack = 250 * time.Millisecond
	// refusedPause keeps new work from a worker that has refused some.
	refusedPause = 300 * time.Millisecond
	// unansweredPause keeps new work from a worker that did not answer a start.
	unansweredPause = time.Second
	// unhealthyPause keeps new work from a worker that fails what it runs.
	unhealthyPause = 5 * time.Second
	// suspectFailures in a row, without a success, make a worker unhealthy.
	suspectFailures = 2
	// clockDrift is by how much a worker's clock may be slow.
	clockDrift = 0.02
)

// worker is a worker as this term knows it; the pool's lock guards all but id.
type worker struct {
	id   workflow.WorkerID
	info workerInfo
	// life is that of the newest report.
	life    workflow.Incarnation
	members map[attemptKey]*member
	used    workflow.Capacity
	// heard is when the newest report came; clock is its time of the worker's clock.
	heard time.Time
	clock time.Duration
	// leaseEnds is when all that ran there is surely gone, unless it is heard.
	leaseEnds time.Time
	// applied is the newest end that was taken in, acknowledged the newest on record.
	applied      int64
	acknowledged int64
	// strangers is set while it runs what this term does not know.
	strangers bool
	tended    bool
	// look wakes the tender when ends are on record or a stop was answered.
	look chan struct{}
	// avoidUntil, failures in a row and the job that failed last tell its health.
	avoidUntil       time.Time
	failures         int
	failedJob        workflow.ID
	strangerStopSent time.Time
}

// workerInfo is a worker's registration and whether it still stands.
type workerInfo struct {
	workflow.Worker
	listed bool
}

// isPlaceholder tells a worker that is on record but was never registered
// in this term.
func (i *workerInfo) isPlaceholder() bool { return !i.Address.IsValid() }

// workerNamed returns the worker, made on the spot if it is not known yet.
func (p *pool) workerNamed(id workflow.WorkerID) *worker {
	w, known := p.workers[id]
	if !known {
		w = &worker{
			id: id, info: workerInfo{Worker: workflow.Worker{ID: id}}, members: make(map[attemptKey]*member),
			leaseEnds: p.leaseEnd(p.scheduler.began.Add(p.scheduler.Bounds.Overlap)), look: make(chan struct{}, 1),
		}
		p.workers[id] = w
	}
	return w
}

// leaseEnd returns when a lease that was granted by then has surely run out.
func (p *pool) leaseEnd(sent time.Time) time.Time {
	limit := float64(p.scheduler.Bounds.LeaseLimit)
	return sent.Add(time.Duration(limit*(1+clockDrift)) + leaseSlack)
}

func (p *pool) setWorkers(list []workflow.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[workflow.WorkerID]bool, len(list))
	changed := false
	for _, info := range list {
		listed[info.ID] = true
		w := p.workerNamed(info.ID)
		changed = changed || !w.info.listed || w.info.Draining != info.Draining
		if !w.info.listed || w.info.Draining != info.Draining {
			p.logWorker(&info, "workerListed")
		}
		w.info = workerInfo{info, true}
		if !w.tended {
			w.tended = true
			p.scheduler.loops.Go(func() { p.tend(w) })
		}
	}
	for id, w := range p.workers {
		if !listed[id] && w.info.listed {
			w.info.listed = false
			p.logWorker(&w.info.Worker, "workerUnlisted")
		}
	}
	if changed {
		signal(p.planDue)
	}
}

func (p *pool) logWorker(w *workflow.Worker, event string) {
	p.scheduler.Log.Info().Str("event", event).Str("worker", string(w.ID)).Stringer("address", w.Address).
		Bool("draining", w.Draining).Int64("life", int64(w.Life)).Send()
}

// clockAt estimates the worker's clock, rather too low than too high.
func (w *worker) clockAt(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.heard))*(1-clockDrift))
}

// takesWork reports whether new work could go there, sound or not.
func (w *worker) takesWork(now time.Time) bool {
	return w.info.listed && !w.info.Draining && !w.strangers &&
		!w.heard.IsZero() && now.Sub(w.heard) <= heardWithin
}

func (w *worker) free() workflow.Capacity { return w.info.Capacity.Minus(w.used) }

// refused notes that the worker did not take a start.
func (w *worker) refused(result StartResult, now time.Time) {
	pause := refusedPause
	if result == RefusedUnhealthy {
		pause = unhealthyPause
	}
	w.avoidUntil = now.Add(pause)
}
