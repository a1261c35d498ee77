package scheduling

import "time"

const (
	// urgentHeadroom is the fraction of the accelerators that deferrable groups
	// leave free for urgent ones, so that fewer are preempted soon after they start.
	urgentHeadroom = 0.35
	// maxWaitFraction is the fraction of its initial slack after which a group is
	// no longer deferred.
	maxWaitFraction = 0.75
)

// shouldDefer reports whether a group that can still wait should leave the free
// accelerators to urgent jobs that may arrive.
func (p *pool) shouldDefer(g *group, now time.Time) bool {
	if g.job.Priority == 0 || g.step.LongRunning {
		return false
	}
	waited := now.Sub(g.deadline().Add(-g.job.objective))
	if g.slack(now) < 0 || waited > time.Duration(maxWaitFraction*float64(g.job.objective-g.step.Estimate)) {
		return false
	}
	free, total := p.round.free, p.round.all
	needs := g.size() * g.step.Accelerators
	if 2*free > total && free >= 2*needs {
		return false // plenty of free accelerators
	}
	return float64(free-needs) < urgentHeadroom*float64(total)
}

// placeUnlessTried places the group, but skips the search if another group of the
// same shape could not be placed in this round.
func (p *pool) placeUnlessTried(g *group, now time.Time) *placement {
	shapeOnly := len(g.failedWorkers) == 0 && !g.needsLocality() && g.step.SpreadLimit == 0 && now.Sub(g.waitingSince) <= maxPreferenceWait
	if shapeOnly && p.round.unplaceable[g.shape()] {
		return nil
	}
	choice := p.place(g, now)
	if choice == nil && shapeOnly {
		p.round.unplaceable[g.shape()] = true
	}
	return choice
}
