package scheduling

import "time"

// A preference keeps a group waiting for a better placement than one that it could have at
// once: for its rack or its data, or for workers that have not failed. The wait ends: where
// a promise binds the group, before the promise is broken, else when waiting costs more than
// the better placement gains.

const (
	// maxPreferenceWait is how long preferences hold up a group that is promised to run
	// while there is room. The platform counts it as lost after 3 s.
	maxPreferenceWait = 1500 * time.Millisecond
	// minIdleForRemote is the fraction of the accelerators that must be idle before a
	// group that ends may run remotely at once, where it occupies them several times as long.
	// The platform promises that the group runs from half of them on.
	minIdleForRemote = 0.4
	// maxFailureWait is how long a group on a busy deployment waits for workers on which it
	// has not failed.
	maxFailureWait = 2500 * time.Millisecond
)

// preferencesOver reports whether the group has waited so long that only what it requires
// of its workers counts. A long-running group is promised to run wherever there is room,
// any other one if much of the service is idle.
func (p *pool) preferencesOver(g *group, now time.Time) bool {
	promised := g.step.LongRunning || p.idleShare() > minIdleForRemote
	return promised && g.waited(now) > maxPreferenceWait
}

// mayRunRemote reports whether the group may run away from its rack or data, where it is
// slower: if it would meet its deadline there and many accelerators are idle, if its
// preferences are over, if it has waited for as long as the slower run takes longer, or if
// no rack could ever hold it.
func (p *pool) mayRunRemote(g *group, now time.Time) bool {
	remoteRunTime := time.Duration(p.scheduler.Bounds.FarFactor * float64(g.step.Estimate))
	inTime := !now.Add(remoteRunTime).After(g.deadline())
	switch {
	case inTime && p.idleShare() > minIdleForRemote, p.preferencesOver(g, now):
		return true
	case g.waited(now) > max(remoteRunTime-g.step.Estimate, maxPreferenceWait):
		return true
	}
	return !p.someRackFits(g)
}

// waited returns how long the group has waited to be placed; 0 for one that is placed and is
// only examined for a better place.
func (g *group) waited(now time.Time) time.Duration {
	if g.phase != waiting {
		return 0
	}
	return now.Sub(g.waitingSince)
}

// idleShare returns the fraction of the accelerators that are free, or of the cores on
// workers without accelerators.
func (p *pool) idleShare() float64 {
	if p.round.all == 0 {
		return float64(p.round.freeCores) / float64(max(p.round.allCores, 1))
	}
	return float64(p.round.free) / float64(p.round.all)
}
