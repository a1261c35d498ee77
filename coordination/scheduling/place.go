package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// placement holds a worker for each member of a group, the groups to stop for it, and
// those of them that are moved, as they are guaranteed.
type placement struct {
	workers []*worker
	victims []*group
	moved   []*group
}

// place returns a placement for the group, or nil. A group that has waited may also use
// workers that it failed on a while ago, as no other may ever hold it; once its preferences
// are over, also workers that are currently avoided.
// An urgent group uses workers that are slow after their start only if no others hold it.
func (p *pool) place(g *group, now time.Time) *placement {
	p.separate(g)
	var choice *placement
	if g.job.Priority == 0 && len(p.round.warm.workers) < len(p.round.suitable.workers) {
		choice = p.placeOn(g, p.round.warm.filter(g, g.hasFailedOn), now)
	}
	if choice == nil {
		choice = p.placeOn(g, p.soundWorkers(g), now)
	}
	failedLately := func(w *worker) bool { return g.hasFailedLately(w, now) }
	switch {
	case choice != nil:
	case p.preferencesOver(g, now):
		choice = p.placeOn(g, p.round.reachable.filter(g, failedLately), now)
	case g.waited(now) > maxFailureWait && len(g.failedWorkers) > 0:
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
		if choice := p.fillBySpeed(g, among.onRack(g.step.PreferredRack), now); choice != nil {
			return choice
		}
		if !p.mayRunRemote(g, now) {
			return nil
		}
	}
	if !g.step.SameRack || g.size() == 1 {
		return p.fillBySpeed(g, among.workers, now)
	}
	if choice := p.placeOnBestRack(g, among, now); choice != nil {
		return choice
	}
	if !p.mayRunRemote(g, now) {
		return nil
	}
	return p.fillBySpeed(g, among.workers, now)
}

// size returns the number of members that an attempt of the group has.
func (g *group) size() int {
	if g.step.Gang {
		return g.step.Tasks
	}
	return 1
}

// placeOnBestRack places the group on the rack that suits its objective best; of racks that
// are alike on the one with the fewest free accelerators that still holds it.
func (p *pool) placeOnBestRack(g *group, among *candidates, now time.Time) (best *placement) {
	leastRank, leastRemaining := 0, 0
	for _, r := range among.byRack() {
		remaining := 0
		for _, w := range r.workers {
			remaining += max(w.free().Accelerators, 0)
		}
		if remaining < g.size()*g.step.Accelerators {
			continue
		}
		choice := p.fillBySpeed(g, r.workers, now)
		if choice == nil {
			continue
		}
		if rank := p.speedRank(g, choice, now); best == nil || rank < leastRank || rank == leastRank && remaining < leastRemaining {
			best, leastRank, leastRemaining = choice, rank, remaining
		}
	}
	return best
}

// suspectTiers is by how many tiers a rack with a suspected worker counts as slower for a
// group that has failed: more than any two workers differ by.
const suspectTiers = 100

// speedRank orders placements of a group by how well the speed of their workers suits its
// objective: by the tier of the slowest for a group without slack, else by what the
// placement costs others.
func (p *pool) speedRank(g *group, choice *placement, now time.Time) int {
	tier, cost := speedOf(choice.workers)
	switch {
	case g.failures > 0 && slices.ContainsFunc(choice.workers, func(w *worker) bool { return w.suspected }):
		return tier + suspectTiers
	case g.failures > 0 || p.prefersFast(g, now):
		return tier
	}
	return int(math.Floor(math.Log(cost) / tierWidth))
}

// fillBySpeed places all members on the workers, on the fastest if the group has no slack.
// A group with slack goes to the slowest, unless the others cost less: a gang that mixes
// slow and fast workers holds the fast ones as long as the slow ones take.
func (p *pool) fillBySpeed(g *group, workers []*worker, now time.Time) *placement {
	switch {
	case g.failures > 0:
		return g.fill(workers, freeCapacity, unsuspectedFirst)
	case p.prefersFast(g, now):
		return g.fill(workers, freeCapacity, fastestFirst)
	}
	choice := g.fill(workers, freeCapacity, slowestFirst)
	if choice == nil || g.size() == 1 || !choice.mixed() {
		return choice
	}
	other := g.fill(workers, freeCapacity, fastestFirst)
	_, cost := speedOf(choice.workers)
	if _, otherCost := speedOf(other.workers); otherCost < cost {
		return other
	}
	return choice
}

// mixed reports whether the workers are of different speeds.
func (c *placement) mixed() bool {
	for _, w := range c.workers {
		if d := w.tier - c.workers[0].tier; d > 1 || d < -1 {
			return true
		}
	}
	return false
}

// order compares two workers for a placement.
type order func(a, b *worker) int

func fastestFirst(a, b *worker) int { return cmp.Compare(a.tier+a.extraTiers, b.tier+b.extraTiers) }

func slowestFirst(a, b *worker) int { return cmp.Compare(b.tier-b.extraTiers, a.tier-a.extraTiers) }

// unsuspectedFirst orders workers for a group that has failed and has few attempts left: those
// on which other work has failed lately come last.
func unsuspectedFirst(a, b *worker) int {
	return cmp.Or(cmp.Compare(suspicion(a), suspicion(b)), fastestFirst(a, b))
}

func suspicion(w *worker) int {
	if w.suspected {
		return 1
	}
	return 0
}

func anySpeed(_, _ *worker) int { return 0 }

func freeCapacity(w *worker) workflow.Capacity { return w.free() }

// fill places all members on the workers in the order of their speed and then of their
// free accelerators, the fewest first, or returns nil.
func (g *group) fill(workers []*worker, capacity func(w *worker) workflow.Capacity, bySpeed order) *placement {
	if g.size() == 1 {
		return g.fillOne(workers, capacity, bySpeed)
	}
	wanted := g.size()
	needs := g.step.Needs()
	ordered := slices.Clone(workers)
	slices.SortFunc(ordered, func(a, b *worker) int {
		return cmp.Or(bySpeed(a, b), cmp.Compare(capacity(a).Accelerators, capacity(b).Accelerators), cmp.Compare(a.id, b.id))
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

// fillOne places a single task on the first worker in that order that holds it.
func (g *group) fillOne(workers []*worker, capacity func(w *worker) workflow.Capacity, bySpeed order) *placement {
	needs := g.step.Needs()
	var best *worker
	least := 0
	for _, w := range workers {
		free := capacity(w)
		if best != nil && cmp.Or(bySpeed(w, best), cmp.Compare(free.Accelerators, least), cmp.Compare(w.id, best.id)) > 0 {
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
