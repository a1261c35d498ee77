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

// endSilent marks those members of a silent worker as lost that have certainly
// ended, once a renewal sent at the given time has failed. The worker's lease need
// not run out for them.
func (p *pool) endSilent(w *worker, renewal time.Time) {
	p = p.lock()
	defer p.mu.Unlock()
	left := !w.leftAt.IsZero() && !renewal.Before(w.leftAt)
	for _, m := range w.members {
		broke := m.brokeGang() && renewal.After(m.group.brokenAt)
		if !left && !broke {
			continue
		}
		p.scheduler.Log.Info().Str("event", "silentTaskEnded").Str("request", string(m.task.Job)).Stringer("task", m.task).
			Int("attempt", m.attempt).Str("worker", string(w.id)).Bool("workerLeft", left).Send()
		m.group.assumeEnd(m.attempt)
		p.endMember(m, workflow.Lost, "")
	}
}

// brokeGang reports whether the member must have ended, although its worker has not
// reported it: all others ended because another member had. If it has failed, one
// more attempt must be allowed all the same.
func (m *member) brokeGang() bool {
	g := m.group
	for _, other := range g.members {
		if other != m && (other.phase != ended || other.outcome != workflow.Broken) {
			return false
		}
	}
	return len(g.members) > 1 && g.failures+1 < g.job.MaxAttempts
}

// assumeEnd notes an attempt that is over with an end that is not known.
func (g *group) assumeEnd(attempt int) {
	if g.assumedEnds == nil {
		g.assumedEnds = make(map[int]bool)
	}
	g.assumedEnds[attempt] = true
}
