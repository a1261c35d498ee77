package quarantine

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

// streakLength is how many failures of a worker are kept.
const streakLength = 4

// failure is one job that failed on a worker.
type failure struct {
	job  state.JobID
	kind string
}

// record is what is known of one worker.
type record struct {
	worker netip.AddrPort
	// succeeded is when a job last succeeded on the worker.
	succeeded time.Time
	// streak holds the last different jobs that failed since a success.
	streak [streakLength]failure
	count  int
	// until is when the next probe of a quarantined worker is due; else zero.
	until   time.Time
	backoff time.Duration
	// released is when the worker last left the quarantine.
	released   time.Time
	probe      state.JobID
	probeSince time.Time
}

func (r *record) quarantined() bool { return !r.until.IsZero() }

func (r *record) mayProbe(now time.Time) bool {
	if now.Before(r.until) {
		return false
	}
	return r.probe == "" || now.Sub(r.probeSince) >= probeTimeout
}

// note adds a failure, unless the job already failed here. The oldest gives way
// to a failure that counts against the worker now; others are kept while there
// is room, as they may count later.
func (r *record) note(f failure, counts bool) {
	for _, known := range r.streak[:r.count] {
		if known.job == f.job {
			return
		}
	}
	if r.count == streakLength {
		if !counts {
			return
		}
		copy(r.streak[:], r.streak[1:])
		r.count--
	}
	r.streak[r.count] = f
	r.count++
}

// shut begins a quarantine; the backoff goes on from the last one unless the
// worker has been healthy for longer than maxBackoff.
func (r *record) shut(now time.Time) {
	if now.Sub(r.released) > maxBackoff {
		r.backoff = 0
	}
	r.backoff = min(max(2*r.backoff, firstBackoff), maxBackoff)
	r.until = now.Add(r.backoff)
	r.probe = ""
}

// endProbe ends a failed probe; one that says nothing of the worker may be
// repeated at once.
func (r *record) endProbe(now time.Time, counts bool) {
	r.probe = ""
	if !counts {
		return
	}
	r.backoff = min(2*r.backoff, maxBackoff)
	r.until = now.Add(r.backoff)
}

func (r *record) succeed(now time.Time) {
	if r.quarantined() {
		r.released = now
	}
	r.succeeded = now
	r.count = 0
	r.until = time.Time{}
	r.probe = ""
}
