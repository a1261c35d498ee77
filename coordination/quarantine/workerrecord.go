package quarantine

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

// maxFailures is the number of failures kept for a worker.
const maxFailures = 4

// jobFailure is the failure of one job on a worker.
type jobFailure struct {
	job  state.JobID
	kind string
}

// workerRecord is what is known of one worker.
type workerRecord struct {
	worker netip.AddrPort
	// succeeded is when a job last succeeded on the worker.
	succeeded time.Time
	// failures holds the last distinct jobs that failed since a success.
	failures [maxFailures]jobFailure
	count    int
	// nextProbe is when the next probe of a quarantined worker is due, and zero
	// for other workers.
	nextProbe time.Time
	backoff   time.Duration
	// released is when the worker last left the quarantine.
	released   time.Time
	probe      state.JobID
	probeSince time.Time
}

func (r *workerRecord) isQuarantined() bool { return !r.nextProbe.IsZero() }

func (r *workerRecord) mayProbe(now time.Time) bool {
	if now.Before(r.nextProbe) {
		return false
	}
	return r.probe == "" || now.Sub(r.probeSince) >= probeTimeout
}

// addFailure adds a failure, unless the job has already failed on the worker. If
// the list is full, a failure that counts against the worker replaces the oldest
// one. Failures that do not count are kept while there is room, since they may
// count later.
func (r *workerRecord) addFailure(f jobFailure, countsAgainstWorker bool) {
	for _, known := range r.failures[:r.count] {
		if known.job == f.job {
			return
		}
	}
	if r.count == maxFailures {
		if !countsAgainstWorker {
			return
		}
		copy(r.failures[:], r.failures[1:])
		r.count--
	}
	r.failures[r.count] = f
	r.count++
}

// quarantine begins a quarantine. The backoff continues from the last one,
// unless the worker has been healthy for longer than maxBackoff.
func (r *workerRecord) quarantine(now time.Time) {
	if now.Sub(r.released) > maxBackoff {
		r.backoff = 0
	}
	r.backoff = min(max(2*r.backoff, firstBackoff), maxBackoff)
	r.nextProbe = now.Add(r.backoff)
	r.probe = ""
}

// failProbe ends a failed probe. If the failure does not count against the
// worker, the probe may be repeated at once.
func (r *workerRecord) failProbe(now time.Time, countsAgainstWorker bool) {
	r.probe = ""
	if !countsAgainstWorker {
		return
	}
	r.backoff = min(2*r.backoff, maxBackoff)
	r.nextProbe = now.Add(r.backoff)
}

func (r *workerRecord) recordSuccess(now time.Time) {
	if r.isQuarantined() {
		r.released = now
	}
	r.succeeded = now
	r.count = 0
	r.nextProbe = time.Time{}
	r.probe = ""
}
