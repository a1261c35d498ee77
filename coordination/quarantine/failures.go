package quarantine

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

const (
	// suspectWorkers is the number of workers on which a job or kind must fail
	// to become suspect.
	suspectWorkers = 3
	// faultyJobWorkers is how many failures of a job are kept. A job that fails
	// on that many workers that succeeded at any time is faulty.
	faultyJobWorkers = 6
	// failureWindow is how long the failures of a job or kind count.
	failureWindow = 10 * time.Minute
)

// jobFailures lists the last distinct workers on which a job failed.
type jobFailures struct {
	workers [faultyJobWorkers]netip.AddrPort
	// firstFailed is when the job first failed on each worker.
	firstFailed [faultyJobWorkers]time.Time
	count       int
	kind        string
	lastFailed  time.Time
}

func (f jobFailures) add(worker netip.AddrPort, kind string, now time.Time) jobFailures {
	if now.Sub(f.lastFailed) > failureWindow {
		f = jobFailures{kind: kind}
	}
	f.lastFailed = now
	if slices.Contains(f.workers[:f.count], worker) {
		return f
	}
	if f.count == faultyJobWorkers {
		copy(f.workers[:], f.workers[1:])
		copy(f.firstFailed[:], f.firstFailed[1:])
		f.count--
	}
	f.workers[f.count], f.firstFailed[f.count] = worker, now
	f.count++
	return f
}

// kindFailures lists failures of a kind since it last succeeded. Each is of
// another job on another worker, so that neither one faulty job nor one bad
// worker makes its kind suspect.
type kindFailures struct {
	workers    [suspectWorkers]netip.AddrPort
	jobs       [suspectWorkers]state.JobID
	count      int
	lastFailed time.Time
}

func (f kindFailures) add(worker netip.AddrPort, job state.JobID, now time.Time) kindFailures {
	if now.Sub(f.lastFailed) > failureWindow {
		f = kindFailures{}
	}
	f.lastFailed = now
	if f.count == suspectWorkers || slices.Contains(f.workers[:f.count], worker) || slices.Contains(f.jobs[:f.count], job) {
		return f
	}
	f.workers[f.count], f.jobs[f.count] = worker, job
	f.count++
	return f
}

// isSuspect reports whether the failure is more likely the fault of the job or
// its kind than of the worker.
func (q *Quarantine) isSuspect(f jobFailure) bool {
	now := q.now()
	job, _ := q.jobs.Get(f.job)
	if job.count >= suspectWorkers && now.Sub(job.lastFailed) <= failureWindow {
		return true
	}
	return q.isSuspectKind(f.kind, now)
}

func (q *Quarantine) isSuspectKind(kind string, now time.Time) bool {
	f, _ := q.kinds.Get(kind)
	return f.count >= suspectWorkers && now.Sub(f.lastFailed) <= failureWindow
}

// countEvidence counts the failures that are likely the worker's fault.
func (q *Quarantine) countEvidence(r *workerRecord) int {
	return q.countEvidenceExcept(r, "")
}

func (q *Quarantine) countEvidenceExcept(r *workerRecord, except state.JobID) (count int) {
	for _, f := range r.failures[:r.count] {
		if f.job != except && !q.isSuspect(f) {
			count++
		}
	}
	return count
}
