package scheduling

import (
	"time"

	"comfreystream/state/workflow"
)

const (
	// heartbeatsMissed is after how many missed renewals a silent worker's registry
	// entry is removed.
	heartbeatsMissed = 3
	// removalMargin covers the store's delay, so that an entry whose removal comes
	// sooner after its last renewal was not removed for silence.
	removalMargin = 500 * time.Millisecond
	// maxListingGap is the longest time between two listings of the registry within
	// which the store cannot have been away, when entries may lapse.
	maxListingGap = 1700 * time.Millisecond
)

// registration is what is known of a worker's registry entry.
type registration struct {
	beat int64
	// beatAfter is a time before the last renewal of the entry.
	beatAfter time.Time
}

// noteBeat updates the registration with a listed entry.
func (r *registration) noteBeat(beat int64, previousListing time.Time) {
	if r.beat != beat {
		r.beat, r.beatAfter = beat, previousListing
	}
}

// hasLeft reports whether a worker whose entry has vanished has left, as opposed to
// being silent: it had announced that it would leave, the store was never away
// between the last two listings, and the entry was renewed too recently to be
// removed for silence. Everything that ran there has ended then.
func (p *pool) hasLeft(w *worker, previousListing, now time.Time) bool {
	limit := heartbeatsMissed*p.scheduler.Bounds.Heartbeat - removalMargin
	return w.info.Draining && !previousListing.IsZero() && now.Sub(previousListing) <= maxListingGap &&
		!w.registration.beatAfter.IsZero() && now.Sub(w.registration.beatAfter) < limit
}

// endIfLeft marks the members of a worker that has left as lost, once a renewal
// has failed after its entry was removed. Its lease need not run out.
func (p *pool) endIfLeft(w *worker, renewal time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.leftAt.IsZero() || renewal.Before(w.leftAt) || len(w.members) == 0 {
		return
	}
	p.scheduler.Log.Info().Str("event", "workerLeft").Str("worker", string(w.id)).Int("members", len(w.members)).Send()
	for _, m := range w.members {
		p.endMember(m, workflow.Lost, "")
	}
}
