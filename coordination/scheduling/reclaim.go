package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// reclaim finds the cheapest attempts to stop so that a group can start, near
// its rack if that is possible at all. Groups without a guarantee stop only
// work of lower urgency. It returns what is lost by that, too.
func (p *pool) reclaim(g *group, now time.Time, entitled map[*job]bool) (*placement, float64) {
	candidates := p.suitable(g, now)
	var best *clearing
	consider := func(workers []*worker) {
		c := newClearing(g, workers, now, p.preemptible(g, workers, entitled))
		if c.run() && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	switch {
	case g.step.SameRack && g.size() > 1:
		racks := byRack(candidates)
		for _, rack := range slices.Sorted(maps.Keys(racks)) {
			consider(racks[rack])
		}
	case g.step.PreferredRack != "":
		consider(onRack(candidates, g.step.PreferredRack))
	}
	if best == nil && (entitled[g.job] || !g.slowsAway()) {
		consider(candidates)
	}
	if best == nil {
		return nil, 0
	}
	return &placement{workers: best.chosen, victims: best.victims}, best.cost
}

// preemptible returns the groups on each worker that may be stopped for g.
func (p *pool) preemptible(g *group, workers []*worker, entitled map[*job]bool) map[*worker][]*group {
	found := make(map[*worker][]*group)
	for _, w := range workers {
		for _, m := range w.members {
			v := m.group
			if v.phase != placed && v.phase != saving || entitled[v.job] || v.step.LongRunning {
				continue
			}
			if !entitled[g.job] && v.job.Priority <= g.job.Priority {
				continue
			}
			if !slices.Contains(found[w], v) {
				found[w] = append(found[w], v)
			}
		}
	}
	return found
}

// clearing plans which attempts end so that a group's members fit.
type clearing struct {
	group   *group
	workers []*worker
	now     time.Time
	// victimsOn holds what may be stopped, the cheapest for its room first.
	victimsOn map[*worker][]*group
	// freed is room that stopped attempts leave, taken is what is planned.
	freed   map[*worker]workflow.Capacity
	hosted  map[*worker]int
	chosen  []*worker
	victims []*group
	cost    float64
}

func newClearing(g *group, workers []*worker, now time.Time, victimsOn map[*worker][]*group) *clearing {
	c := &clearing{
		group: g, workers: slices.Clone(workers), now: now, victimsOn: victimsOn,
		freed: make(map[*worker]workflow.Capacity), hosted: make(map[*worker]int),
	}
	slices.SortFunc(c.workers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	for _, w := range workers {
		for _, m := range w.members {
			if m.group.phase == stopping {
				c.free(m)
			}
		}
		slices.SortFunc(victimsOn[w], func(a, b *group) int {
			return cmp.Or(cmp.Compare(c.unitLoss(a), c.unitLoss(b)), cmp.Compare(a.job.ID, b.job.ID))
		})
	}
	return c
}

// run chooses, member by member, the worker where room costs least.
func (c *clearing) run() bool {
	for range c.group.size() {
		var best *worker
		var bestVictims []*group
		lowest, least := 0.0, 0
		for _, w := range c.workers {
			victims, cost, possible := c.roomOn(w)
			left := w.free().Accelerators
			if possible && (best == nil || cost < lowest || cost == lowest && left < least) {
				best, bestVictims, lowest, least = w, victims, cost, left
			}
		}
		if best == nil {
			return false
		}
		c.take(best, bestVictims, lowest)
	}
	c.awaitStopping()
	return true
}

// roomOn returns what must end so that one more member fits on the worker.
func (c *clearing) roomOn(w *worker) (victims []*group, cost float64, possible bool) {
	if c.group.countOn(w, c.hosted[w]+1) <= c.hosted[w] {
		return nil, 0, false
	}
	needs := c.group.step.Needs()
	room := w.free().Plus(c.freed[w]).Minus(needs.Times(c.hosted[w]))
	if needs.FitsIn(room) {
		return nil, 0, true
	}
	for _, v := range c.victimsOn[w] {
		if slices.Contains(c.victims, v) {
			continue
		}
		victims = append(victims, v)
		room = room.Plus(v.roomOn(w))
		if needs.FitsIn(room) {
			victims = spare(victims, w, needs, room)
			for _, v := range victims {
				cost += v.loss(c.now)
			}
			return victims, cost, true
		}
	}
	return nil, 0, false
}

// spare drops the victims without which the room is still enough, the dearest first.
func spare(victims []*group, w *worker, needs, room workflow.Capacity) []*group {
	for i := len(victims) - 1; i >= 0; i-- {
		if left := room.Minus(victims[i].roomOn(w)); needs.FitsIn(left) {
			room = left
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

func (c *clearing) take(w *worker, victims []*group, cost float64) {
	c.hosted[w]++
	c.chosen = append(c.chosen, w)
	c.cost += cost
	for _, v := range victims {
		c.victims = append(c.victims, v)
		for _, m := range v.members {
			if m.phase != ended {
				c.free(m)
			}
		}
	}
}

func (c *clearing) free(m *member) {
	c.freed[m.worker] = c.freed[m.worker].Plus(m.group.step.Needs())
}

// awaitStopping adds the attempts that are ending on the chosen workers.
func (c *clearing) awaitStopping() {
	for _, w := range c.chosen {
		for _, m := range w.members {
			if m.group.phase == stopping && !slices.Contains(c.victims, m.group) {
				c.victims = append(c.victims, m.group)
			}
		}
	}
}

// roomOn returns what the group's members take on a worker.
func (g *group) roomOn(w *worker) (room workflow.Capacity) {
	for _, m := range g.members {
		if m.worker == w && m.phase != ended {
			room = room.Plus(g.step.Needs())
		}
	}
	return room
}

// unitLoss is the loss for each accelerator that the group's end frees.
func (c *clearing) unitLoss(g *group) float64 {
	return g.loss(c.now) / float64(max(g.size()*g.step.Accelerators, 1))
}
