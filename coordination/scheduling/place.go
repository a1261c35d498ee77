package scheduling

import (
	"cmp"
	"maps"
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

// place returns a placement for the group, or nil. If many accelerators are idle, a
// group that has waited for maxPreferenceWait may also use workers that it failed
// on or that are currently avoided.
func (p *pool) place(g *group, now time.Time) *placement {
	choice := p.placeOn(g, p.suitableWorkers(g, now), now)
	if choice == nil && now.Sub(g.waitingSince) > maxPreferenceWait && p.idleShare() > minIdleForRemote {
		choice = p.placeOn(g, p.reachableWorkers(g, now), now)
	}
	return choice
}

// placeOn places the group on some of the candidates, near its rack or data if
// that matters.
func (p *pool) placeOn(g *group, candidates []*worker, now time.Time) *placement {
	if len(candidates) == 0 {
		return nil
	}
	if g.step.PreferredRack != "" {
		local := workersOnRack(candidates, g.step.PreferredRack)
		if choice := g.fill(local, freeCapacity); choice != nil {
			return choice
		}
		if !p.mayRunRemote(g, now) {
			return nil
		}
	}
	if !g.step.SameRack || g.size() == 1 {
		return g.fill(candidates, freeCapacity)
	}
	if choice := p.placeOnFullestRack(g, candidates); choice != nil {
		return choice
	}
	if !p.mayRunRemote(g, now) {
		return nil
	}
	return g.fill(candidates, freeCapacity)
}

// size returns the number of members that an attempt of the group has.
func (g *group) size() int {
	if g.step.Gang {
		return g.step.Tasks
	}
	return 1
}

// suitableWorkers returns the workers that can run the group, less those that
// are avoided for now or that the group failed on.
func (p *pool) suitableWorkers(g *group, now time.Time) (list []*worker) {
	for _, w := range p.reachableWorkers(g, now) {
		if !now.Before(w.avoidUntil) && !g.avoidedWorkers[w.id] {
			list = append(list, w)
		}
	}
	return list
}

// reachableWorkers returns the workers that accept tasks and have the group's
// label.
func (p *pool) reachableWorkers(g *group, now time.Time) (list []*worker) {
	maxReportAge := p.maxReportAge()
	for _, w := range p.workers {
		if w.acceptsTasks(now, maxReportAge) && w.info.HasLabel(g.step.Label) {
			list = append(list, w)
		}
	}
	return list
}

// placeOnFullestRack places the group on the rack with the fewest free
// accelerators that still holds it.
func (p *pool) placeOnFullestRack(g *group, candidates []*worker) (best *placement) {
	leastRemaining := 0
	racks := workersByRack(candidates)
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		workers := racks[rack]
		choice := g.fill(workers, freeCapacity)
		if choice == nil {
			continue
		}
		remaining := 0
		for _, w := range workers {
			remaining += w.free().Accelerators
		}
		if best == nil || remaining < leastRemaining {
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
	for rack, workers := range workersByRack(p.schedulableWorkers()) {
		if g.step.PreferredRack != "" && rack != g.step.PreferredRack {
			continue
		}
		if g.fill(workers, func(w *worker) workflow.Capacity { return w.info.Capacity }) != nil {
			return true
		}
	}
	return false
}

// schedulableWorkers returns the workers that are registered and not draining.
func (p *pool) schedulableWorkers() (list []*worker) {
	for _, w := range p.workers {
		if w.info.registered && !w.info.Draining {
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

// idleShare returns the fraction of the accelerators that are free.
func (p *pool) idleShare() float64 { return float64(p.capacity.free) / float64(max(p.capacity.all, 1)) }

func freeCapacity(w *worker) workflow.Capacity { return w.free() }

// fill places all members on the workers, those with the fewest free accelerators
// first, or returns nil.
func (g *group) fill(workers []*worker, capacity func(w *worker) workflow.Capacity) *placement {
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

func workersOnRack(workers []*worker, rack string) (list []*worker) {
	for _, w := range workers {
		if w.rack() == rack {
			list = append(list, w)
		}
	}
	return list
}

func workersByRack(workers []*worker) map[string][]*worker {
	racks := make(map[string][]*worker)
	for _, w := range workers {
		racks[w.rack()] = append(racks[w.rack()], w)
	}
	return racks
}
