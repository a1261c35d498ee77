package scheduling

import "time"

// delayCause is why a group waits although workers have room for it.
type delayCause string

const (
	// delayedUnsent: the planner has as many starts without an answer as it can send in time.
	delayedUnsent delayCause = "unsent"
	// delayedDeferred: the group leaves the room to urgent work.
	delayedDeferred delayCause = "deferred"
	// delayedAvoided: all workers with room have failed lately, or the group has failed there.
	delayedAvoided delayCause = "avoided"
	// delayedRack: the room is away from the group's rack or data, or on several racks.
	delayedRack delayCause = "rack"
)

const (
	// delayReported is how long a group waits before it is examined: nearly the 3 s after
	// which the platform counts a job as lost.
	delayReported = 2500 * time.Millisecond
	// delayInterval is the time between two examinations of a group, maxDelayChecks bounds
	// those of a round, each of which looks at every worker.
	delayInterval  = 5 * time.Second
	maxDelayChecks = 4
)

// reportDelay logs why a group was not placed, if it has waited long and workers that accept
// tasks have room for it.
func (p *pool) reportDelay(g *group, cause delayCause, now time.Time) {
	waited := now.Sub(g.waitingSince)
	if waited < delayReported || now.Sub(g.delayCheckedAt) < delayInterval || p.round.delayChecks >= maxDelayChecks {
		return
	}
	p.round.delayChecks++
	g.delayCheckedAt = now
	among := p.round.reachable.filter(g, func(*worker) bool { return false })
	if g.fill(among.workers, freeCapacity, anySpeed) == nil {
		return
	}
	if cause == delayedRack && g.fill(p.soundWorkers(g).workers, freeCapacity, anySpeed) == nil {
		cause = delayedAvoided
	}
	room := 0
	for _, w := range among.workers {
		if g.step.Needs().FitsIn(w.free()) {
			room++
		}
	}
	p.scheduler.Count(placementDelayed)
	p.scheduler.Log.Warn().Str("event", placementDelayed).Str("request", string(g.job.ID)).Int("step", g.id.Step).
		Int("index", g.id.Index).Str("cause", string(cause)).Dur("waited", waited).Int("workersWithRoom", room).Int("workers", len(among.workers)).
		Float64("idleShare", rounded(p.idleShare())).Str("rack", g.step.PreferredRack).Bool("sameRack", g.step.SameRack).Send()
}
