package scheduling

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// placement holds a worker for each member of a group, and the groups to stop
// for it.
type placement struct {
	workers []*worker
	victims []*group
}

// place returns a placement for the group, or nil. A group that has waited may also use
// workers that it failed on a while ago, as no other may ever hold it; if many
// accelerators are idle, it waits less and also uses workers that are currently avoided.
// An urgent group uses workers that are slow after their start only if no others hold it.
func (p *pool) place(g *group, now time.Time) *placement {
	var choice *placement
	if g.job.Priority == 0 && len(p.round.warm.workers) < len(p.round.suitable.workers) {
		choice = p.placeOn(g, p.round.warm.filter(g, g.hasFailedOn), now)
	}
	if choice == nil {
		choice = p.placeOn(g, p.round.suitable.filter(g, g.hasFailedOn), now)
	}
	waited, failedLately := now.Sub(g.waitingSince), func(w *worker) bool { return g.hasFailedLately(w, now) }
	switch {
	case choice != nil:
	case waited > maxPreferenceWait && p.idleShare() > minIdleForRemote:
		choice = p.placeOn(g, p.round.reachable.filter(g, failedLately), now)
	case waited > maxFailureWait && len(g.failedWorkers) > 0:
		choice = p.placeOn(g, p.round.suitable.filter(g, failedLately), now)
	}
	return choice
}

// placeOn places the group on some of the candidates, near its rack or data if
// that matters.
func (p *pool) placeOn(g *group, among *candidates, now time.Time) *placement {
	if len(among.workers) == 0 {
		return nil
	}
	if g.step.PreferredRack != "" {
		if choice := g.fill(among.onRack(g.step.PreferredRack), freeCapacity); choice != nil {
			return choice
		}
		if !p.mayRunRemote(g, now) {
			return nil
		}
	}
	if !g.step.SameRack || g.size() == 1 {
		return g.fill(among.workers, freeCapacity)
	}
	if choice := g.placeOnFullestRack(among); choice != nil {
		return choice
	}
	if !p.mayRunRemote(g, now) {
		return nil
	}
	return g.fill(among.workers, freeCapacity)
}

// size returns the number of members that an attempt of the group has.
func (g *group) size() int {
	if g.step.Gang {
		return g.step.Tasks
	}
	return 1
}

// placeOnFullestRack places the group on the rack with the fewest free
// accelerators that still holds it.
func (g *group) placeOnFullestRack(among *candidates) (best *placement) {
	leastRemaining := 0
	for _, r := range among.byRack() {
		remaining := 0
		for _, w := range r.workers {
			remaining += max(w.free().Accelerators, 0)
		}
		if remaining < g.size()*g.step.Accelerators || best != nil && remaining >= leastRemaining {
			continue
		}
		if choice := g.fill(r.workers, freeCapacity); choice != nil {
			best, leastRemaining = choice, remaining
		}
	}
	return best
}

// mayRunRemote reports whether the group may run away from its rack or data, where
// it is slower. It may if many accelerators are idle and it would still meet its
// deadline or has waited for maxPreferenceWait, or if no rack could ever hold it.
func (p *pool) mayRunRemote(g *group, now time.Time) bool {
	remoteRunTime := time.Duration(p.scheduler.Bounds.FarFactor * float64(g.step.Estimate))
	inTime := !now.Add(remoteRunTime).After(g.deadline())
	if (inTime || now.Sub(g.waitingSince) > maxPreferenceWait) && p.idleShare() > minIdleForRemote {
		return true
	}
	return !p.someRackFits(g)
}

// someRackFits reports whether the group would fit on some rack if it were empty,
// or on its preferred rack if it has one.
func (p *pool) someRackFits(g *group) bool {
	shapeOnly := g.step.SpreadLimit == 0
	if fits, known := p.round.rackFits[g.shape()]; known && shapeOnly {
		return fits
	}
	fits := slices.ContainsFunc(groupByRack(p.schedulableWorkers()), func(r rack) bool {
		return (g.step.PreferredRack == "" || r.name == g.step.PreferredRack) &&
			g.fill(r.workers, func(w *worker) workflow.Capacity { return w.info.Capacity }) != nil
	})
	if shapeOnly {
		p.round.rackFits[g.shape()] = fits
	}
	return fits
}

// schedulableWorkers returns the workers that are schedulable.
func (p *pool) schedulableWorkers() (list []*worker) {
	for _, w := range p.workers {
		if p.schedulable(w) {
			list = append(list, w)
		}
	}
	return list
}

// minIdleForRemote is the fraction of the accelerators that must be idle before a
// group may run remotely, where it occupies them several times as long.
const minIdleForRemote = 0.4

// maxPreferenceWait is how long a group waits for its rack or for healthy workers
// while other capacity is free. The platform counts a job as lost after 3 s of
// that.
const maxPreferenceWait = 1500 * time.Millisecond

// maxFailureWait is how long a group on a busy deployment waits for workers on which it
// has not failed.
const maxFailureWait = 2500 * time.Millisecond

// idleShare returns the fraction of the accelerators that are free, or of the cores on
// workers without accelerators.
func (p *pool) idleShare() float64 {
	if p.round.all == 0 {
		return float64(p.round.freeCores) / float64(max(p.round.allCores, 1))
	}
	return float64(p.round.free) / float64(p.round.all)
}

func freeCapacity(w *worker) workflow.Capacity { return w.free() }

// fill places all members on the workers, those with the fewest free accelerators
// first, or returns nil.
func (g *group) fill(workers []*worker, capacity func(w *worker) workflow.Capacity) *placement {
	if g.size() == 1 {
		return g.fillOne(workers, capacity)
	}
	wanted := g.size()
	needs := g.step.Needs()
	ordered := slices.Clone(workers)
	slices.SortFunc(ordered, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(capacity(a).Accelerators, capacity(b).Accelerators), cmp.Compare(a.id, b.id))
	})
	choice := &placement{}
	for _, w := range ordered {
		for range g.limitBySpread(w, needs.CountIn(capacity(w), wanted-len(choice.workers))) {
			choice.workers = append(choice.workers, w)
		}
		if len(choice.workers) == wanted {
			return choice
		}
	}
	return nil
}

// fillOne places a single task on the worker with the fewest free accelerators that
// holds it.
func (g *group) fillOne(workers []*worker, capacity func(w *worker) workflow.Capacity) *placement {
	needs := g.step.Needs()
	var best *worker
	least := 0
	for _, w := range workers {
		free := capacity(w)
		if best != nil && (free.Accelerators > least || free.Accelerators == least && w.id > best.id) {
			continue
		}
		if needs.FitsIn(free) && g.limitBySpread(w, 1) == 1 {
			best, least = w, free.Accelerators
		}
	}
	if best == nil {
		return nil
	}
	return &placement{workers: []*worker{best}}
}

// limitBySpread reduces a number of tasks to what the step's spread limit leaves
// on the worker beside tasks of the same step and occurrence.
func (g *group) limitBySpread(w *worker, count int) int {
	if g.step.SpreadLimit == 0 {
		return count
	}
	return max(0, min(count, g.step.SpreadLimit-g.stepTasksOn(w)))
}

func (g *group) stepTasksOn(w *worker) (count int) {
	for _, m := range w.members {
		if m.group.job == g.job && m.group.id.Step == g.id.Step && m.group.id.Occurrence == g.id.Occurrence {
			count++
		}
	}
	return count
}

// rack returns the worker's last label, which names its rack; a worker with fewer
// than two labels has none.
func (w *worker) rack() string {
	if len(w.info.Labels) < 2 {
		return ""
	}
	return w.info.Labels[len(w.info.Labels)-1]
}
