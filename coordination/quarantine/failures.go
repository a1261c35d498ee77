package quarantine

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

const (
	// severalWorkers is on how many a job or kind must fail to be the suspect.
	severalWorkers = 3
	// jobWorkers is how many failures of a job are kept, and on how many workers
	// it must fail to be bad if nothing else speaks against it.
	jobWorkers = 6
	// failureWindow is how long a job's or a kind's failures count.
	failureWindow = 10 * time.Minute
)

// jobFailures lists the last different workers on which a job failed.
type jobFailures struct {
	workers [jobWorkers]netip.AddrPort
	// since is when the job first failed on each worker.
	since [jobWorkers]time.Time
	count int
	kind  string
	last  time.Time
}

func (f jobFailures) add(worker netip.AddrPort, kind string, now time.Time) jobFailures {
	if now.Sub(f.last) > failureWindow {
		f = jobFailures{kind: kind}
	}
	f.last = now
	if slices.Contains(f.workers[:f.count], worker) {
		return f
	}
	if f.count == jobWorkers {
		copy(f.workers[:], f.workers[1:])
		copy(f.since[:], f.since[1:])
		f.count--
	}
	f.workers[f.count], f.since[f.count] = worker, now
	f.count++
	return f
}

// kindFailures lists failures of a kind since it last succeeded, each of
// another job on another worker, so that neither one bad job nor one bad
// worker makes its kind suspect.
type kindFailures struct {
	workers [severalWorkers]netip.AddrPort
	jobs    [severalWorkers]state.JobID
	count   int
	last    time.Time
}

func (f kindFailures) add(worker netip.AddrPort, job state.JobID, now time.Time) kindFailures {
	if now.Sub(f.last) > failureWindow {
		f = kindFailures{}
	}
	f.last = now
	if f.count == severalWorkers || slices.Contains(f.workers[:f.count], worker) || slices.Contains(f.jobs[:f.count], job) {
		return f
	}
	f.workers[f.count], f.jobs[f.count] = worker, job
	f.count++
	return f
}

// suspect reports whether the failure is more likely the job's or its kind's
// than the worker's.
func (q *Quarantine) suspect(f failure) bool {
	now := q.now()
	job, _ := q.jobs.Get(f.job)
	if job.count >= severalWorkers && now.Sub(job.last) <= failureWindow {
		return true
	}
	return q.suspectKind(f.kind, now)
}

func (q *Quarantine) suspectKind(kind string, now time.Time) bool {
	f, _ := q.kinds.Get(kind)
	return f.count >= severalWorkers && now.Sub(f.last) <= failureWindow
}

// evidence counts the failures that speak against the worker.
func (q *Quarantine) evidence(r *record) int {
	return q.evidenceWithout(r, "")
}

func (q *Quarantine) evidenceWithout(r *record, except state.JobID) (count int) {
	for _, f := range r.streak[:r.count] {
		if f.job != except && !q.suspect(f) {
			count++
		}
	}
	return count
}
