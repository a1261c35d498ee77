package quarantine

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

const (
	// workerLimit is how many different jobs a worker must fail in a row.
	workerLimit  = 3
	firstBackoff = 10 * time.Second
	maxBackoff   = 10 * time.Minute
	probeTimeout = 10 * time.Minute

	maxWorkers = 16384
	maxJobs    = 16384
	maxKinds   = 4096
)

// Quarantine holds what workers, jobs and kinds of jobs have failed lately; it
// is safe for several goroutines. A kind is named together with its
// organisation by the caller.
type Quarantine struct {
	now func() time.Time
	// changed hears of each worker that enters or leaves the quarantine.
	changed func(worker netip.AddrPort, quarantined bool)
	workers *state.Table[netip.AddrPort, record]
	jobs    *state.Table[state.JobID, jobFailures]
	kinds   *state.Table[string, kindFailures]
}

// New returns an empty quarantine; changed is called without a lock held.
func New(now func() time.Time, changed func(worker netip.AddrPort, quarantined bool)) *Quarantine {
	return &Quarantine{
		now:     now,
		changed: changed,
		workers: state.NewBoundedTable[netip.AddrPort, record](maxWorkers),
		jobs:    state.NewBoundedTable[state.JobID, jobFailures](maxJobs),
		kinds:   state.NewBoundedTable[string, kindFailures](maxKinds),
	}
}

// Failed notes that the worker failed a member of the job.
func (q *Quarantine) Failed(worker netip.AddrPort, job state.JobID, kind string) {
	now := q.now()
	q.jobs.Update(job, func(f jobFailures, _ bool) (jobFailures, bool) { return f.add(worker, kind, now), true })
	q.kinds.Update(kind, func(f kindFailures, _ bool) (kindFailures, bool) { return f.add(worker, job, now), true })
	counts := !q.suspect(failure{job, kind})
	var r record
	wasOut := false
	q.workers.Update(worker, func(known record, _ bool) (record, bool) {
		wasOut = known.quarantined()
		known.worker = worker
		known.note(failure{job, kind}, counts)
		if known.quarantined() && known.probe == job {
			known.endProbe(now, counts)
		}
		r = known
		return known, true
	})
	if !wasOut && q.evidence(&r) >= workerLimit {
		q.shut(worker, now)
	}
}

// Succeeded notes that the worker ran a member of the job to its end, or for
// long enough to count as healthy.
func (q *Quarantine) Succeeded(worker netip.AddrPort, job state.JobID, kind string) {
	q.jobs.Delete(job)
	q.kinds.Delete(kind)
	now := q.now()
	released := false
	q.workers.Update(worker, func(known record, _ bool) (record, bool) {
		known.worker = worker
		// Jobs that were started before the worker failed prove nothing.
		if known.quarantined() && known.probe != job {
			return known, true
		}
		released = known.quarantined()
		known.succeed(now)
		return known, true
	})
	if released {
		q.changed(worker, false)
	}
}

// Usable reports whether new work may be planned on the worker. It is true for
// a quarantined worker whose next probe is due, until Begin takes the probe.
func (q *Quarantine) Usable(worker netip.AddrPort) bool {
	r, found := q.workers.Get(worker)
	if !found || !r.quarantined() {
		return true
	}
	if q.evidence(&r) < workerLimit {
		q.release(worker)
		return true
	}
	return r.mayProbe(q.now())
}

// Begin reports whether the job may start on the worker; for a quarantined one
// it takes the probe, which one job has at a time.
func (q *Quarantine) Begin(worker netip.AddrPort, job state.JobID) (allowed bool) {
	if r, found := q.workers.Get(worker); !found || !r.quarantined() {
		return true
	}
	now := q.now()
	q.workers.Update(worker, func(known record, found bool) (record, bool) {
		allowed = !known.quarantined() || known.probe == job || known.mayProbe(now)
		if known.quarantined() && allowed {
			known.probe, known.probeSince = job, now
		}
		return known, found
	})
	return allowed
}

// Dropped ends a probe that says nothing of the worker, as its job was not
// started there or was stopped; another job may then probe it.
func (q *Quarantine) Dropped(worker netip.AddrPort, job state.JobID) {
	q.workers.Update(worker, func(known record, found bool) (record, bool) {
		if known.probe == job {
			known.probe = ""
		}
		return known, found
	})
}

// JobIsBad reports whether the job failed on so many workers that the fault is
// its own. Only workers count that have succeeded and that fail no other job: a
// few if they succeeded after the job's failure or its kind fails everywhere,
// else more.
func (q *Quarantine) JobIsBad(job state.JobID) bool {
	f, _ := q.jobs.Get(job)
	good, wereGood := 0, 0
	for i, worker := range f.workers[:f.count] {
		r, _ := q.workers.Get(worker)
		if r.succeeded.IsZero() || q.evidenceWithout(&r, job) > 0 {
			continue
		}
		wereGood++
		if r.succeeded.After(f.since[i]) {
			good++
		}
	}
	if q.suspectKind(f.kind, q.now()) {
		good = wereGood
	}
	return good >= severalWorkers || wereGood >= jobWorkers
}

// Forget drops what is known of a worker that has left.
func (q *Quarantine) Forget(worker netip.AddrPort) { q.workers.Delete(worker) }

// shut puts the worker into quarantine.
func (q *Quarantine) shut(worker netip.AddrPort, now time.Time) {
	shut := false
	q.workers.Update(worker, func(known record, found bool) (record, bool) {
		shut = found && !known.quarantined()
		if shut {
			known.shut(now)
		}
		return known, found
	})
	if shut {
		q.changed(worker, true)
	}
}

// release takes a worker out whose failures turned out to be the jobs' own.
func (q *Quarantine) release(worker netip.AddrPort) {
	released := false
	q.workers.Update(worker, func(known record, found bool) (record, bool) {
		released = known.quarantined()
		known.until, known.probe, known.backoff = time.Time{}, "", 0
		return known, found
	})
	if released {
		q.changed(worker, false)
	}
}
