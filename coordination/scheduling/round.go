package scheduling

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"comfreystream/state/workflow"
)

// round is what one planning round knows: the free capacity, which only shrinks
// during the round, the workers that accept tasks, and the searches that found
// nothing and need not be repeated.
type round struct {
	// service is the one whose workers the round looks at.
	service string
	// free and all count accelerators, freeCores and allCores thousandths of a core.
	free, all int
	// at is when the round began.
	at                  time.Time
	freeCores, allCores int
	// room is set if kinds of work that slow each other down may be kept apart.
	room bool
	// unsent counts the members that are placed, but whose starts were not sent.
	unsent int
	// reachable holds the workers that accept tasks, suitable those of them that are
	// not avoided for now.
	reachable, suitable candidates
	// warm holds the suitable workers that are not slow after their start.
	warm candidates
	// unplaceable holds the shapes that could not be placed, rackFits whether a shape
	// would fit on a rack.
	unplaceable map[shape]bool
	rackFits    map[rackFit]bool
	// costs caches the preemption costs of groups, victims the groups that may be
	// preempted on a worker.
	costs   map[*group]float64
	victims map[victimsKey][]*group
	// firstOptions caches the options for the first members of groups since the last
	// attempt began, options is the memory of the current search.
	firstOptions map[optionKey]option
	options      []option
	// movable holds the guaranteed groups that may be moved, once it was asked for them;
	// unmovable those that had no room after all.
	movable, unmovable map[*group]bool
	// delayChecks counts the groups that were examined for what delays them.
	delayChecks int
	// searchUntil is when the round stops to search for attempts to preempt.
	searchUntil time.Time
}

// maxSearchTime bounds the time that a round searches for attempts to preempt,
// during which no report is applied.
const maxSearchTime = 20 * time.Millisecond

// newRound counts the accelerators of the schedulable workers of a service and lists those
// that accept tasks.
func (p *pool) newRound(service string, now time.Time) round {
	r := round{
		service: service, at: now,
		unplaceable: make(map[shape]bool), rackFits: make(map[rackFit]bool),
		costs: make(map[*group]float64), victims: make(map[victimsKey][]*group),
		firstOptions: make(map[optionKey]option), searchUntil: p.scheduler.Now().Add(maxSearchTime),
	}
	maxReportAge, evacuated := p.maxReportAge(), p.scheduler.evacuated.Load()
	for _, w := range p.ordered {
		if w.info.Service != service || !p.schedulable(w) {
			continue
		}
		r.free += max(w.free().Accelerators, 0)
		r.all += w.info.Capacity.Accelerators
		r.freeCores += max(w.free().Cores, 0)
		r.allCores += w.info.Capacity.Cores
		w.suspected = now.Before(w.suspectUntil)
		if w.acceptsTasks(now, maxReportAge, evacuated) {
			r.reachable.workers = append(r.reachable.workers, w)
		}
	}
	for _, w := range r.reachable.workers {
		if !now.Before(w.avoidUntil) {
			r.suitable.workers = append(r.suitable.workers, w)
			if !now.Before(w.warmUntil) {
				r.warm.workers = append(r.warm.workers, w)
			}
		}
	}
	r.room = p.hasRoom(&r)
	return r
}

// candidates is a list of workers, ordered by ID, and the same by rack.
type candidates struct {
	workers []*worker
	racks   []rack
}

// rack holds the workers of one rack.
type rack struct {
	name    string
	workers []*worker
}

// byRack returns the workers by rack, ordered by name.
func (c *candidates) byRack() []rack {
	if c.racks == nil {
		c.racks = groupByRack(c.workers)
	}
	return c.racks
}

// onRack returns the workers of one rack.
func (c *candidates) onRack(name string) []*worker {
	racks := c.byRack()
	if i, found := slices.BinarySearchFunc(racks, name, func(r rack, name string) int { return strings.Compare(r.name, name) }); found {
		return racks[i].workers
	}
	return nil
}

func groupByRack(workers []*worker) (racks []rack) {
	positions := make(map[string]int)
	for _, w := range workers {
		name := w.rack()
		i, known := positions[name]
		if !known {
			i = len(racks)
			positions[name] = i
			racks = append(racks, rack{name: name})
		}
		racks[i].workers = append(racks[i].workers, w)
	}
	slices.SortFunc(racks, func(a, b rack) int { return strings.Compare(a.name, b.name) })
	return racks
}

// filter returns the workers that have the group's label and that it need not avoid;
// avoid is asked only if it has failed.
func (c *candidates) filter(g *group, avoid func(w *worker) bool) *candidates {
	failed := len(g.failedWorkers) > 0
	if g.step.Label == "" && !failed {
		return c
	}
	filtered := &candidates{}
	for _, w := range c.workers {
		if w.info.HasLabel(g.step.Label) && (!failed || !avoid(w)) {
			filtered.workers = append(filtered.workers, w)
		}
	}
	return filtered
}

// shape is what placement depends on, apart from the history of a group and its
// spread constraint.
type shape struct {
	needs    workflow.Capacity
	label    string
	size     int
	sameRack bool
	rack     string
}

func (g *group) shape() shape {
	return shape{g.step.Needs(), g.step.Label, g.size(), g.step.SameRack, g.step.PreferredRack}
}

// preemptionCost returns the cost of stopping a group's current attempt.
func (r *round) preemptionCost(g *group, now time.Time) float64 {
	cost, known := r.costs[g]
	if !known {
		cost = g.preemptionCost(now)
		if r.isLastResort(g) {
			cost += g.lastResortCost()
		}
		r.costs[g] = cost
	}
	return cost
}

// costPerAccelerator returns the cost of preempting the group for each
// accelerator that it releases.
func (r *round) costPerAccelerator(g *group, now time.Time) float64 {
	return r.preemptionCost(g, now) / float64(max(g.size()*g.step.Accelerators, 1))
}

// victimsKey names what the groups that may be preempted depend on: the worker,
// and the level of the search.
type victimsKey struct {
	worker *worker
	level  preemptionLevel
}

// isLastResort reports whether the group is stopped only if nothing else makes room.
func (r *round) isLastResort(g *group) bool { return g.step.LongRunning || r.movable[g] }

// mayPreempt reports whether a search on the level may stop the group.
func (r *round) mayPreempt(v *group, level preemptionLevel, guaranteed map[*job]bool) bool {
	switch {
	case v.phase != placed && v.phase != saving:
		return false
	case guaranteed[v.job]:
		return level.moves() && r.movable[v] && (!v.step.LongRunning || level.stopsLongRunning())
	case v.step.LongRunning:
		return level.stopsLongRunning()
	default:
		return level > overLessUrgent || v.job.Priority > 0
	}
}

// preemptible returns the groups on a worker that an urgent group may preempt, by
// ascending cost per accelerator.
func (r *round) preemptible(w *worker, level preemptionLevel, now time.Time, guaranteed map[*job]bool) []*group {
	key := victimsKey{w, level}
	victims, known := r.victims[key]
	if known {
		return victims
	}
	for _, m := range w.members {
		if r.mayPreempt(m.group, level, guaranteed) && !slices.Contains(victims, m.group) {
			victims = append(victims, m.group)
		}
	}
	slices.SortFunc(victims, func(a, b *group) int {
		return cmp.Or(cmp.Compare(r.costPerAccelerator(a, now), r.costPerAccelerator(b, now)), cmp.Compare(a.job.ID, b.job.ID))
	})
	r.victims[key] = victims
	return victims
}
