package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// reclaim returns the cheapest placement of a group that preempts others, and its
// cost, or nil. It prefers the group's rack; only a guaranteed job is placed away
// from it. Jobs without a guarantee preempt only jobs of lower urgency.
func (p *pool) reclaim(g *group, now time.Time, guaranteed map[*job]bool) (*placement, float64) {
	candidates := p.suitableWorkers(g, now)
	var best *preemptionPlan
	consider := func(workers []*worker) {
		plan := newPreemptionPlan(g, workers, now, p.preemptible(g, workers, guaranteed))
		if plan.placeMembers() && (best == nil || plan.cost < best.cost) {
			best = plan
		}
	}
	switch {
	case g.step.SameRack && g.size() > 1:
		racks := workersByRack(candidates)
		for _, rack := range slices.Sorted(maps.Keys(racks)) {
			consider(racks[rack])
		}
	case g.step.PreferredRack != "":
		consider(workersOnRack(candidates, g.step.PreferredRack))
	}
	if best == nil && (guaranteed[g.job] || !g.needsLocality()) {
		consider(candidates)
	}
	if best == nil {
		return nil, 0
	}
	return &placement{workers: best.hosts, victims: best.victims}, best.cost
}

// preemptible returns, by worker, the groups that g may preempt.
func (p *pool) preemptible(g *group, workers []*worker, guaranteed map[*job]bool) map[*worker][]*group {
	victims := make(map[*worker][]*group)
	for _, w := range workers {
		for _, m := range w.members {
			v := m.group
			if v.phase != placed && v.phase != saving || guaranteed[v.job] || v.step.LongRunning {
				continue
			}
			if !guaranteed[g.job] && v.job.Priority <= g.job.Priority {
				continue
			}
			if !slices.Contains(victims[w], v) {
				victims[w] = append(victims[w], v)
			}
		}
	}
	return victims
}

// preemptionPlan chooses workers for the members of a group, and the groups to
// stop so that they fit.
type preemptionPlan struct {
	group   *group
	workers []*worker
	now     time.Time
	// victimsByWorker holds the groups that may be stopped, by ascending cost per
	// accelerator.
	victimsByWorker map[*worker][]*group
	// freed is the capacity that stopped attempts release, memberCount the number
	// of members placed so far, by worker.
	freed       map[*worker]workflow.Capacity
	memberCount map[*worker]int
	// hosts holds the chosen worker of each member.
	hosts   []*worker
	victims []*group
	cost    float64
}

func newPreemptionPlan(g *group, workers []*worker, now time.Time, victimsByWorker map[*worker][]*group) *preemptionPlan {
	pp := &preemptionPlan{
		group: g, workers: slices.Clone(workers), now: now, victimsByWorker: victimsByWorker,
		freed: make(map[*worker]workflow.Capacity), memberCount: make(map[*worker]int),
	}
	slices.SortFunc(pp.workers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	for _, w := range workers {
		for _, m := range w.members {
			if m.group.phase == stopping {
				pp.addFreed(m)
			}
		}
		slices.SortFunc(victimsByWorker[w], func(a, b *group) int {
			return cmp.Or(cmp.Compare(pp.costPerAccelerator(a), pp.costPerAccelerator(b)), cmp.Compare(a.job.ID, b.job.ID))
		})
	}
	return pp
}

// placeMembers chooses for one member after another the worker with the lowest
// cost. It reports false if a member fits nowhere.
func (pp *preemptionPlan) placeMembers() bool {
	for range pp.group.size() {
		var best *worker
		var bestVictims []*group
		lowestCost, leastFree := 0.0, 0
		for _, w := range pp.workers {
			victims, cost, fits := pp.cheapestVictims(w)
			free := w.free().Accelerators
			if fits && (best == nil || cost < lowestCost || cost == lowestCost && free < leastFree) {
				best, bestVictims, lowestCost, leastFree = w, victims, cost, free
			}
		}
		if best == nil {
			return false
		}
		pp.addMember(best, bestVictims, lowestCost)
	}
	pp.addStopping()
	return true
}

// cheapestVictims returns the groups to stop so that one more member fits on the
// worker. It adds groups by ascending cost per accelerator until the member fits.
func (pp *preemptionPlan) cheapestVictims(w *worker) (victims []*group, cost float64, fits bool) {
	if pp.group.limitBySpread(w, pp.memberCount[w]+1) <= pp.memberCount[w] {
		return nil, 0, false
	}
	needs := pp.group.step.Needs()
	capacity := w.free().Plus(pp.freed[w]).Minus(needs.Times(pp.memberCount[w]))
	if needs.FitsIn(capacity) {
		return nil, 0, true
	}
	for _, v := range pp.victimsByWorker[w] {
		if slices.Contains(pp.victims, v) {
			continue
		}
		victims = append(victims, v)
		capacity = capacity.Plus(v.usedOn(w))
		if needs.FitsIn(capacity) {
			victims = dropUnneeded(victims, w, needs, capacity)
			for _, v := range victims {
				cost += v.preemptionCost(pp.now)
			}
			return victims, cost, true
		}
	}
	return nil, 0, false
}

// dropUnneeded removes victims without which the capacity still suffices, the
// most expensive per accelerator first.
func dropUnneeded(victims []*group, w *worker, needs, capacity workflow.Capacity) []*group {
	for i := len(victims) - 1; i >= 0; i-- {
		if remaining := capacity.Minus(victims[i].usedOn(w)); needs.FitsIn(remaining) {
			capacity = remaining
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// addMember places one member on the worker and counts the capacity that the victims
// release on all their workers.
func (pp *preemptionPlan) addMember(w *worker, victims []*group, cost float64) {
	pp.memberCount[w]++
	pp.hosts = append(pp.hosts, w)
	pp.cost += cost
	for _, v := range victims {
		pp.victims = append(pp.victims, v)
		for _, m := range v.members {
			if m.phase != ended {
				pp.addFreed(m)
			}
		}
	}
}

func (pp *preemptionPlan) addFreed(m *member) {
	pp.freed[m.worker] = pp.freed[m.worker].Plus(m.group.step.Needs())
}

// addStopping adds the groups that are already stopping on the chosen workers, so
// that the start waits for them too.
func (pp *preemptionPlan) addStopping() {
	for _, w := range pp.hosts {
		for _, m := range w.members {
			if m.group.phase == stopping && !slices.Contains(pp.victims, m.group) {
				pp.victims = append(pp.victims, m.group)
			}
		}
	}
}

// usedOn returns the capacity that the group's members use on a worker.
func (g *group) usedOn(w *worker) (used workflow.Capacity) {
	for _, m := range g.members {
		if m.worker == w && m.phase != ended {
			used = used.Plus(g.step.Needs())
		}
	}
	return used
}

// costPerAccelerator returns the cost of preempting the group for each
// accelerator that it releases.
func (pp *preemptionPlan) costPerAccelerator(g *group) float64 {
	return g.preemptionCost(pp.now) / float64(max(g.size()*g.step.Accelerators, 1))
}
