package scheduling

import (
	"slices"
	"time"

	"comfreystream/state/workflow"
)

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
// slower: at once if it would meet its deadline there and many accelerators are idle, or if
// no rack could ever hold it; soon if its preferences are over, or if only the end of
// long-running groups could make room on a rack; else once it has waited for as long as the
// slower run takes longer.
func (p *pool) mayRunRemote(g *group, now time.Time) bool {
	remoteRunTime := time.Duration(p.scheduler.Bounds.FarFactor * float64(g.step.Estimate))
	inTime := !now.Add(remoteRunTime).After(g.deadline())
	switch {
	case inTime && p.idleShare() > minIdleForRemote, p.preferencesOver(g, now), !p.someRackFits(g, wholeCapacity):
		return true
	case g.waited(now) <= maxPreferenceWait:
		return false
	}
	return g.waited(now) > remoteRunTime-g.step.Estimate || !p.someRackFits(g, besideLongRunning)
}

// rackCapacity is which part of its workers' capacity a rack is taken to have.
type rackCapacity uint8

const (
	wholeCapacity rackCapacity = iota
	// besideLongRunning leaves out what long-running groups use.
	besideLongRunning
)

// of returns that part of a worker's capacity.
func (c rackCapacity) of(w *worker) workflow.Capacity {
	if c == besideLongRunning {
		return w.info.Capacity.Minus(w.longRunning)
	}
	return w.info.Capacity
}

// rackFit is what the answer of someRackFits depends on.
type rackFit struct {
	shape    shape
	capacity rackCapacity
}

// someRackFits reports whether the group would fit on some rack that has the capacity free,
// or on its preferred rack if it has one.
func (p *pool) someRackFits(g *group, capacity rackCapacity) bool {
	key, shapeOnly := rackFit{g.shape(), capacity}, g.step.SpreadLimit == 0
	if fits, known := p.round.rackFits[key]; known && shapeOnly {
		return fits
	}
	among := candidates{workers: p.schedulableWorkers(g.step.Label)}
	fits := slices.ContainsFunc(among.byRack(), func(r rack) bool {
		return (g.step.PreferredRack == "" || r.name == g.step.PreferredRack) && g.fill(r.workers, capacity.of, anySpeed) != nil
	})
	if shapeOnly {
		p.round.rackFits[key] = fits
	}
	return fits
}

// schedulableWorkers returns the schedulable workers of the round's service that have the
// label.
func (p *pool) schedulableWorkers(label string) (list []*worker) {
	for _, w := range p.ordered {
		if w.info.Service == p.round.service && p.schedulable(w) && w.info.HasLabel(label) {
			list = append(list, w)
		}
	}
	return list
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
