package quarantine

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

const (
	// minFailedJobs is the number of different jobs that a worker must fail in a
	// row to be quarantined.
	minFailedJobs = 3
	firstBackoff  = 10 * time.Second
	maxBackoff    = 10 * time.Minute
	probeTimeout  = 10 * time.Minute

	maxWorkers = 16384
	maxJobs    = 16384
	maxKinds   = 4096
)

// Quarantine holds the recent failures of workers, jobs and kinds of jobs; it is
// safe for concurrent use. Callers prefix a kind with its organisation.
type Quarantine struct {
	now func() time.Time
	// changed is called for each worker that enters or leaves the quarantine.
	changed func(worker netip.AddrPort, quarantined bool)
	workers *state.Table[netip.AddrPort, workerRecord]
	jobs    *state.Table[state.JobID, jobFailures]
	kinds   *state.Table[string, kindFailures]
}

// New returns an empty quarantine; changed is called without a lock held.
func New(now func() time.Time, changed func(worker netip.AddrPort, quarantined bool)) *Quarantine {
	return &Quarantine{
		now:     now,
		changed: changed,
		workers: state.NewBoundedTable[netip.AddrPort, workerRecord](maxWorkers),
		jobs:    state.NewBoundedTable[state.JobID, jobFailures](maxJobs),
		kinds:   state.NewBoundedTable[string, kindFailures](maxKinds),
	}
}

// RecordFailure records that a member of the job failed on the worker.
func (q *Quarantine) RecordFailure(worker netip.AddrPort, job state.JobID, kind string) {
	now := q.now()
	q.jobs.Update(job, func(f jobFailures, _ bool) (jobFailures, bool) { return f.add(worker, kind, now), true })
	q.kinds.Update(kind, func(f kindFailures, _ bool) (kindFailures, bool) { return f.add(worker, job, now), true })
	countsAgainstWorker := !q.isSuspect(jobFailure{job, kind})
	var r workerRecord
	wasQuarantined := false
	q.workers.Update(worker, func(known workerRecord, _ bool) (workerRecord, bool) {
		wasQuarantined = known.isQuarantined()
		known.worker = worker
		known.addFailure(jobFailure{job, kind}, countsAgainstWorker)
		if known.isQuarantined() && known.probe == job {
			known.failProbe(now, countsAgainstWorker)
		}
		r = known
		return known, true
	})
	if !wasQuarantined && q.countEvidence(&r) >= minFailedJobs {
		q.quarantine(worker, now)
	}
}

// RecordSuccess records that a member of the job ran on the worker to its end,
// or long enough to show that the worker is healthy.
func (q *Quarantine) RecordSuccess(worker netip.AddrPort, job state.JobID, kind string) {
	q.jobs.Delete(job)
	q.kinds.Delete(kind)
	now := q.now()
	released := false
	q.workers.Update(worker, func(known workerRecord, _ bool) (workerRecord, bool) {
		known.worker = worker
		// Only a probe ends the quarantine: other jobs were started before it.
		if known.isQuarantined() && known.probe != job {
			return known, true
		}
		released = known.isQuarantined()
		known.recordSuccess(now)
		return known, true
	})
	if released {
		q.changed(worker, false)
	}
}

// Usable reports whether new work may be planned on the worker. It is true for a
// quarantined worker whose next probe is due, until TryStart takes the probe.
func (q *Quarantine) Usable(worker netip.AddrPort) bool {
	r, found := q.workers.Get(worker)
	if !found || !r.isQuarantined() {
		return true
	}
	if q.countEvidence(&r) < minFailedJobs {
		q.release(worker)
		return true
	}
	return r.mayProbe(q.now())
}

// TryStart reports whether the job may start on the worker. On a quarantined
// worker it takes the probe, which only one job can have at a time.
func (q *Quarantine) TryStart(worker netip.AddrPort, job state.JobID) (allowed bool) {
	if r, found := q.workers.Get(worker); !found || !r.isQuarantined() {
		return true
	}
	now := q.now()
	q.workers.Update(worker, func(known workerRecord, found bool) (workerRecord, bool) {
		allowed = !known.isQuarantined() || known.probe == job || known.mayProbe(now)
		if known.isQuarantined() && allowed {
			known.probe, known.probeSince = job, now
		}
		return known, found
	})
	return allowed
}

// ReleaseProbe ends the job's probe of the worker without a result, as when the
// job was not started there or was stopped; another job may then probe the
// worker.
func (q *Quarantine) ReleaseProbe(worker netip.AddrPort, job state.JobID) {
	q.workers.Update(worker, func(known workerRecord, found bool) (workerRecord, bool) {
		if known.probe == job {
			known.probe = ""
		}
		return known, found
	})
}

// IsFaultyJob reports whether the job failed on enough healthy workers for the
// fault to be its own. A worker counts if it has succeeded and fails no other
// job. suspectWorkers of them are enough if they succeeded after the job failed
// there, or if the job's kind is suspect; otherwise faultyJobWorkers are.
func (q *Quarantine) IsFaultyJob(job state.JobID) bool {
	f, _ := q.jobs.Get(job)
	healthySince, everHealthy := 0, 0
	for i, worker := range f.workers[:f.count] {
		r, _ := q.workers.Get(worker)
		if r.succeeded.IsZero() || q.countEvidenceExcept(&r, job) > 0 {
			continue
		}
		everHealthy++
		if r.succeeded.After(f.firstFailed[i]) {
			healthySince++
		}
	}
	if q.isSuspectKind(f.kind, q.now()) {
		healthySince = everHealthy
	}
	return healthySince >= suspectWorkers || everHealthy >= faultyJobWorkers
}

// Forget drops the record of a worker that has left.
func (q *Quarantine) Forget(worker netip.AddrPort) { q.workers.Delete(worker) }

// quarantine puts the worker into quarantine.
func (q *Quarantine) quarantine(worker netip.AddrPort, now time.Time) {
	entered := false
	q.workers.Update(worker, func(known workerRecord, found bool) (workerRecord, bool) {
		entered = found && !known.isQuarantined()
		if entered {
			known.quarantine(now)
		}
		return known, found
	})
	if entered {
		q.changed(worker, true)
	}
}

// release ends the quarantine of a worker whose failures turned out to be the
// fault of the jobs.
func (q *Quarantine) release(worker netip.AddrPort) {
	released := false
	q.workers.Update(worker, func(known workerRecord, found bool) (workerRecord, bool) {
		released = known.isQuarantined()
		known.nextProbe, known.probe, known.backoff = time.Time{}, "", 0
		return known, found
	})
	if released {
		q.changed(worker, false)
	}
}
