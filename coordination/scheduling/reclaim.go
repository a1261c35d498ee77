package scheduling

import (
	"math"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// victimSearch is a search for groups to stop, so that a group can be placed.
type victimSearch struct {
	level preemptionLevel
	group *group
	// among holds the workers that the group may use.
	among *candidates
	// taken holds groups that count as stopped, and are among the plan's victims.
	taken      []*group
	now        time.Time
	guaranteed map[*job]bool
	maxCost    float64
}

// reclaim returns the cheapest placement of a group on sound workers that preempts others
// at no more than maxCost, or nil. It prefers the group's rack; only a guaranteed job is
// placed away from it.
func (p *pool) reclaim(g *group, now time.Time, guaranteed map[*job]bool, maxCost float64) *placement {
	level := overLessUrgent
	if guaranteed[g.job] {
		level = overUnguaranteed
	}
	pp := p.searchVictims(victimSearch{level: level, group: g, among: p.soundWorkers(g), now: now, guaranteed: guaranteed, maxCost: maxCost})
	if pp == nil {
		return nil
	}
	return &placement{workers: pp.hosts, victims: pp.victims}
}

// soundWorkers returns the workers that the group may use and that are not avoided.
func (p *pool) soundWorkers(g *group) *candidates { return p.round.suitable.filter(g, g.hasFailedOn) }

// searchVictims returns the cheapest plan for the group, or nil.
func (p *pool) searchVictims(s victimSearch) *preemptionPlan {
	var best *preemptionPlan
	consider := func(workers []*worker) {
		pp := &preemptionPlan{victimSearch: s, workers: workers, round: &p.round, victims: slices.Clone(s.taken)}
		if pp.placeMembers() {
			best, s.maxCost = pp, math.Nextafter(pp.cost, 0)
		}
	}
	g := s.group
	switch {
	case g.step.SameRack && g.size() > 1:
		for _, r := range s.among.byRack() {
			consider(r.workers)
		}
	case g.step.PreferredRack != "":
		consider(s.among.onRack(g.step.PreferredRack))
	}
	if best == nil && (s.guaranteed[g.job] || !g.needsLocality()) {
		consider(s.among.workers)
	}
	return best
}

// preemptionPlan chooses workers for the members of a group, and the groups to
// stop so that they fit.
type preemptionPlan struct {
	victimSearch
	workers []*worker
	round   *round
	// options holds for each worker what one more member there would take; those
	// that outdated names must be computed again.
	options  []option
	outdated map[*worker]bool
	// freed is the capacity that the victims release, memberCount the number of
	// members placed so far, by worker.
	freed       map[*worker]workflow.Capacity
	memberCount map[*worker]int
	// hosts holds the chosen worker of each member.
	hosts   []*worker
	victims []*group
	cost    float64
}

// optionKey names what the option for a group's first member on a worker depends on.
type optionKey struct {
	victimsKey
	needs workflow.Capacity
}

// option is a way to place one more member on a worker.
type option struct {
	victims []*group
	cost    float64
	fits    bool
}

// placeMembers chooses for one member after another the worker with the lowest
// cost. It reports false if a member fits nowhere or the cost exceeds maxCost.
func (pp *preemptionPlan) placeMembers() bool {
	best := pp.loadOptions()
	if best < 0 || pp.options[best].cost > pp.maxCost {
		return false
	}
	pp.outdated, pp.freed, pp.memberCount = make(map[*worker]bool), make(map[*worker]workflow.Capacity), make(map[*worker]int)
	for {
		pp.addMember(pp.workers[best], pp.options[best])
		if len(pp.hosts) == pp.group.size() {
			pp.addStopping()
			return true
		}
		best = pp.cheapestWorker()
		if best < 0 || pp.cost+pp.options[best].cost > pp.maxCost {
			return false
		}
	}
}

// loadOptions computes the options for the first member and returns the position of
// the worker with the lowest cost, or -1.
func (pp *preemptionPlan) loadOptions() int {
	pp.options = pp.round.options[:0]
	for _, w := range pp.workers {
		pp.options = append(pp.options, pp.firstOption(w))
	}
	pp.round.options = pp.options
	return pp.cheapestWorker()
}

// firstOption returns the option for the first member on a worker, which many
// groups share.
func (pp *preemptionPlan) firstOption(w *worker) option {
	if pp.group.step.SpreadLimit > 0 {
		return pp.cheapestOption(w)
	}
	key := optionKey{victimsKey{w, pp.level}, pp.group.step.Needs()}
	o, known := pp.round.firstOptions[key]
	if !known {
		o = pp.cheapestOption(w)
		pp.round.firstOptions[key] = o
	}
	return o
}

// cheapestWorker returns the position of the worker where one more member costs
// least, or -1 if it fits nowhere.
func (pp *preemptionPlan) cheapestWorker() int {
	best, leastFree := -1, 0
	for i, w := range pp.workers {
		if pp.outdated[w] {
			pp.options[i] = pp.cheapestOption(w)
			delete(pp.outdated, w)
		}
		o, free := &pp.options[i], w.free().Accelerators
		if o.fits && (best < 0 || o.cost < pp.options[best].cost || o.cost == pp.options[best].cost && free < leastFree) {
			best, leastFree = i, free
		}
	}
	return best
}

// cheapestOption returns the groups to stop so that one more member fits on the
// worker. It adds groups by ascending cost per accelerator until the member fits.
func (pp *preemptionPlan) cheapestOption(w *worker) option {
	if pp.group.limitBySpread(w, pp.memberCount[w]+1) <= pp.memberCount[w] {
		return option{}
	}
	needs := pp.group.step.Needs()
	capacity := w.free().Plus(w.stoppingCapacity()).Plus(pp.freed[w]).Minus(needs.Times(pp.memberCount[w]))
	if needs.FitsIn(capacity) {
		return option{fits: true}
	}
	var victims, last []*group
	for _, v := range pp.round.preemptible(w, pp.level, pp.now, pp.guaranteed) {
		// An attempt of this round may have stopped the group.
		if v.phase != placed && v.phase != saving || slices.Contains(pp.victims, v) || pp.round.unmovable[v] {
			continue
		}
		if pp.round.isLastResort(v) {
			last = append(last, v)
			continue
		}
		victims = append(victims, v)
		capacity = capacity.Plus(v.usedOn(w))
		if needs.FitsIn(capacity) {
			return pp.optionOf(dropUnneeded(victims, w, needs, capacity))
		}
	}
	return pp.lastResortOption(w, capacity, victims, last)
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
func (pp *preemptionPlan) addMember(w *worker, o option) {
	pp.memberCount[w]++
	pp.outdated[w] = true
	pp.hosts = append(pp.hosts, w)
	pp.cost += o.cost
	for _, v := range o.victims {
		pp.victims = append(pp.victims, v)
		for _, m := range v.members {
			if m.phase != ended {
				pp.outdated[m.worker] = true
				pp.addFreed(m)
			}
		}
	}
}

func (pp *preemptionPlan) addFreed(m *member) {
	pp.freed[m.worker] = pp.freed[m.worker].Plus(m.group.step.Needs())
}

// stoppingCapacity returns the capacity of the attempts that are stopping already.
func (w *worker) stoppingCapacity() (capacity workflow.Capacity) {
	for _, m := range w.members {
		if m.group.phase == stopping {
			capacity = capacity.Plus(m.group.step.Needs())
		}
	}
	return capacity
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
