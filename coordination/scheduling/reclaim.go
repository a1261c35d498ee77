package scheduling

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// reclaim finds the cheapest groups to stop so that a group within its
// guarantee can start, near its rack if that is possible at all.
func (p *pool) reclaim(g *group, now time.Time) *placement {
	candidates := p.suitable(g, now)
	var best *placement
	lowest := 0.0
	consider := func(workers []*worker) {
		choice, cost := p.clear(g, workers, now)
		if choice != nil && (best == nil || cost < lowest) {
			best, lowest = choice, cost
		}
	}
	if g.step.SameRack && g.size() > 1 {
		for _, workers := range byRack(candidates) {
			consider(workers)
		}
	} else if g.step.PreferredRack != "" {
		consider(onRack(candidates, g.step.PreferredRack))
	}
	if best == nil {
		consider(candidates)
	}
	return best
}

// clear plans to stop the cheapest groups on the workers until the group fits.
func (p *pool) clear(g *group, workers []*worker, now time.Time) (*placement, float64) {
	freed := make(map[*worker]workflow.Capacity)
	room := func(w *worker) workflow.Capacity { return w.free().Plus(freed[w]) }
	for _, w := range workers {
		for _, m := range w.members {
			if m.group != nil && m.group.phase == stopping {
				freed[w] = freed[w].Plus(m.group.step.Needs())
			}
		}
	}
	cost := 0.0
	var victims []*group
	for _, victim := range p.preemptible(workers, now) {
		if g.fill(workers, room) != nil {
			break
		}
		cost += victim.lossNow(now)
		victims = append(victims, victim)
		for _, m := range victim.members {
			if m.phase != ended {
				freed[m.worker] = freed[m.worker].Plus(victim.step.Needs())
			}
		}
	}
	choice := g.fill(workers, room)
	if choice == nil {
		return nil, 0
	}
	choice.victims = victims
	for _, w := range choice.workers {
		for _, m := range w.members {
			if m.group != nil && m.group.phase == stopping && !slices.Contains(choice.victims, m.group) {
				choice.victims = append(choice.victims, m.group)
			}
		}
	}
	return choice, cost
}

// preemptible returns the groups on the workers that hold no guarantee, those
// that lose least for each accelerator first.
func (p *pool) preemptible(workers []*worker, now time.Time) []*group {
	entitled := p.entitled()
	seen := make(map[*group]bool)
	var list []*group
	for _, w := range workers {
		for _, m := range w.members {
			g := m.group
			if g == nil || seen[g] || g.phase != placed && g.phase != saving || entitled[g.job] {
				continue
			}
			seen[g] = true
			list = append(list, g)
		}
	}
	price := make(map[*group]float64, len(list))
	for _, g := range list {
		price[g] = g.lossNow(now) / float64(max(g.size()*g.step.Accelerators, 1))
	}
	slices.SortFunc(list, func(a, b *group) int {
		return cmp.Or(cmp.Compare(price[a], price[b]), cmp.Compare(a.job.ID, b.job.ID))
	})
	return list
}

// restartLoss is the part of a second that each stop costs besides lost work.
const restartLoss = 0.9

// lossNow is the core-seconds lost if the group were stopped now.
func (g *group) lossNow(now time.Time) float64 {
	lost := now.Sub(g.placedAt).Seconds()
	if g.step.Checkpointable {
		lost = 0 // a stop saves
	}
	return (lost + restartLoss) * g.step.Needs().CoreEquivalents() * float64(g.size())
}
