package scheduling

import (
	"math"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// preemptionLevel is which groups an urgent group may preempt.
type preemptionLevel uint8

const (
	// overLessUrgent: those of lower urgency.
	overLessUrgent preemptionLevel = iota
	// overUnguaranteed: all without a guarantee, but no long-running ones.
	overUnguaranteed
	// overMovable: also guaranteed ones for which there is room elsewhere.
	overMovable
	// overLongRunning: also long-running ones, but no guaranteed ones.
	overLongRunning
	// overAll: both.
	overAll
)

// moves reports whether guaranteed groups may be moved.
func (l preemptionLevel) moves() bool { return l == overMovable || l == overAll }

// stopsLongRunning reports whether long-running groups may be stopped.
func (l preemptionLevel) stopsLongRunning() bool { return l == overLongRunning || l == overAll }

const (
	// lastResortCost is the cost per core of a group that is stopped only as a last resort.
	// It outweighs every other cost, so that the least such work is stopped.
	lastResortCost = 1e6
	// maxMoveDoublings bounds the times that the cost of a group doubles with its moves.
	maxMoveDoublings = 6
	// maxExactVictims bounds the groups on a worker of which every subset is tried: one for
	// each of 8 accelerators.
	maxExactVictims = 8
	// maxMoveTries bounds the searches of a round for one group on one level; each excludes
	// a group that could not be moved after all.
	maxMoveTries = 16
)

// reclaimLastResort returns a placement of a guaranteed group that moves other guaranteed
// groups or stops long-running ones, on sound workers if possible, or nil. The search is
// repeated every planInterval.
func (p *pool) reclaimLastResort(g *group, now time.Time, guaranteed map[*job]bool) *placement {
	if now.Sub(g.lastResortAt) < planInterval || p.searchOver() {
		return nil
	}
	g.lastResortAt = now
	p.findMovable(now, guaranteed)
	sound := p.soundWorkers(g)
	s := victimSearch{group: g, among: sound, now: now, guaranteed: guaranteed, maxCost: math.Inf(1)}
	if choice := p.reclaimOnLevels(s, overMovable, overLongRunning, overAll); choice != nil {
		return choice
	}
	// Workers are avoided after failures that the work of others may have caused.
	s.among = p.round.reachable.filter(g, func(w *worker) bool { return g.hasFailedLately(w, now) })
	if len(s.among.workers) == len(sound.workers) {
		return nil
	}
	return p.reclaimOnLevels(s, overUnguaranteed, overMovable, overLongRunning, overAll)
}

// reclaimOnLevels returns the first placement that a search finds on one of the levels, or nil.
func (p *pool) reclaimOnLevels(s victimSearch, levels ...preemptionLevel) *placement {
	for _, level := range levels {
		if level.moves() && len(p.round.movable) == 0 {
			continue
		}
		s.level = level
		if choice := p.reclaimAt(s); choice != nil {
			return choice
		}
	}
	return nil
}

// searchOver reports whether the round has used up its time for searches.
func (p *pool) searchOver() bool { return p.scheduler.Now().After(p.round.searchUntil) }

// reclaimAt searches for a placement until one is found whose guaranteed victims all have
// room elsewhere.
func (p *pool) reclaimAt(s victimSearch) *placement {
	for range maxMoveTries {
		pp := p.searchVictims(s)
		if pp == nil || p.searchOver() {
			return nil
		}
		choice, unmovable := p.moveVictims(pp)
		if unmovable == nil {
			return choice
		}
		delete(p.round.movable, unmovable)
		p.round.unmovable[unmovable] = true
		clear(p.round.firstOptions)
	}
	return nil
}

// findMovable lists once in a round the guaranteed groups that run and have room elsewhere.
//
// Moves come to an end: a group is moved only for one that waits without a reservation, and
// gets a reservation itself, so that each move leaves fewer groups that wait without one. Only
// new jobs and failures add some.
func (p *pool) findMovable(now time.Time, guaranteed map[*job]bool) {
	r := &p.round
	if r.movable != nil {
		return
	}
	r.movable, r.unmovable = make(map[*group]bool), make(map[*group]bool)
	hasRoom := make(map[shape]bool)
	for g := range p.work.started {
		if !guaranteed[g.job] || !g.allRunning() || !p.allReporting(g, now) || g.step.LongRunning && !p.mayMove(g) {
			continue
		}
		fits, known := hasRoom[g.shape()]
		if !known {
			if p.searchOver() {
				return
			}
			fits = p.reclaim(g, now, guaranteed, math.Inf(1)) != nil
			if g.step.SpreadLimit == 0 && len(g.failedWorkers) == 0 {
				hasRoom[g.shape()] = fits
			}
		}
		if fits {
			r.movable[g] = true
		}
	}
}

// lastResortCost returns what stopping the group costs besides its work: the more, the more
// important its job is. It doubles with each earlier move, so that moves are spread over the
// groups that can be moved.
func (g *group) lastResortCost() float64 {
	cores := g.step.Needs().CoreEquivalents() * float64(g.size())
	return lastResortCost * g.job.valueRate() * cores * math.Exp2(float64(min(g.displacements, maxMoveDoublings)))
}

// allReporting reports whether every worker of the group has reported lately, so that a
// stop ends the group before its leases run out.
func (p *pool) allReporting(g *group, now time.Time) bool {
	limit := p.maxReportAge()
	return !slices.ContainsFunc(g.members, func(m *member) bool { return now.Sub(m.worker.reportedAt) > limit })
}

// moveVictims returns the placement that the plan describes and reserves room for the
// guaranteed groups among its victims; if one has none, it returns that group instead.
func (p *pool) moveVictims(pp *preemptionPlan) (choice *placement, unmovable *group) {
	choice = &placement{workers: pp.hosts, victims: pp.victims}
	// The rooms are searched as if the victims had ended and the group were placed.
	counted := 0
	countVictims := func() {
		for _, v := range choice.victims[counted:] {
			v.addUsage(-1)
		}
		counted = len(choice.victims)
	}
	countVictims()
	pp.group.addUsageOn(pp.hosts, 1)
	for _, v := range pp.victims {
		if !p.round.movable[v] {
			continue
		}
		clear(p.round.firstOptions)
		room := p.searchVictims(victimSearch{
			level: overUnguaranteed, group: v, among: p.soundWorkers(v), taken: choice.victims, now: pp.now, guaranteed: pp.guaranteed, maxCost: math.Inf(1),
		})
		if room == nil {
			unmovable = v
			break
		}
		choice.moved = append(choice.moved, v)
		p.reserve(v, room.hosts, pp.now)
		choice.victims = room.victims
		countVictims()
	}
	pp.group.addUsageOn(pp.hosts, -1)
	for _, v := range choice.victims {
		v.addUsage(1)
	}
	clear(p.round.firstOptions)
	if unmovable == nil {
		return choice, nil
	}
	for _, v := range choice.moved {
		p.release(v)
	}
	return nil, unmovable
}

// addUsage adds the capacity that the group's attempt uses to its workers, times sign.
// An attempt that is stopping already is left out, as stoppingCapacity counts it.
func (g *group) addUsage(sign int) {
	if g.phase == stopping {
		return
	}
	for _, m := range g.members {
		if m.phase != ended {
			m.worker.used = m.worker.used.Plus(g.step.Needs().Times(sign))
		}
	}
}

// addUsageOn adds what one member on each of the workers uses, times sign.
func (g *group) addUsageOn(hosts []*worker, sign int) {
	for _, w := range hosts {
		w.used = w.used.Plus(g.step.Needs().Times(sign))
	}
}

// reservation is room that is kept for a group which is moved until it is placed again.
type reservation struct {
	hosts []*worker
	until time.Time
}

// reserve keeps room for the group as long as a stop and the wait for victims may take.
func (p *pool) reserve(g *group, hosts []*worker, now time.Time) {
	g.addUsageOn(hosts, 1)
	p.reservations[g] = reservation{hosts, now.Add(p.scheduler.Bounds.StopLimit + victimTimeout)}
}

// release gives up the room that is kept for the group, if any.
func (p *pool) release(g *group) {
	g.addUsageOn(p.reservations[g].hosts, -1)
	delete(p.reservations, g)
}

// releaseExpired gives up the room that is kept for groups which need none any more, or
// have not been placed in time.
func (p *pool) releaseExpired(now time.Time) {
	for g, r := range p.reservations {
		if g.phase == finished || !now.Before(r.until) {
			p.release(g)
		}
	}
}

// lastResortOption returns the option that stops the least work of those victims that are
// a last resort, besides ordinary ones.
func (pp *preemptionPlan) lastResortOption(w *worker, capacity workflow.Capacity, ordinary, last []*group) option {
	needs := pp.group.step.Needs()
	if len(last) > maxExactVictims {
		for i, v := range last {
			if capacity = capacity.Plus(v.usedOn(w)); needs.FitsIn(capacity) {
				return pp.optionOf(dropUnneeded(slices.Concat(ordinary, last[:i+1]), w, needs, capacity))
			}
		}
		return option{}
	}
	best, bestCost, bestCapacity := 0, math.Inf(1), capacity
	for subset := 1; subset < 1<<len(last); subset++ {
		cost, freed := 0.0, capacity
		for i, v := range last {
			if subset&(1<<i) != 0 {
				cost += pp.round.preemptionCost(v, pp.now)
				freed = freed.Plus(v.usedOn(w))
			}
		}
		if cost < bestCost && needs.FitsIn(freed) {
			best, bestCost, bestCapacity = subset, cost, freed
		}
	}
	if best == 0 {
		return option{}
	}
	victims := slices.Clone(ordinary)
	for i, v := range last {
		if best&(1<<i) != 0 {
			victims = append(victims, v)
		}
	}
	return pp.optionOf(dropUnneeded(victims, w, needs, bestCapacity))
}

// optionOf returns the option that stops the victims.
func (pp *preemptionPlan) optionOf(victims []*group) option {
	o := option{victims: victims, fits: true}
	for _, v := range victims {
		o.cost += pp.round.preemptionCost(v, pp.now)
	}
	return o
}
