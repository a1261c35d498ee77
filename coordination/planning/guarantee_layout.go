package planning

import (
	"slices"

	"comfreystream/state"
)

// findGuaranteeLayout returns workers for the units that are not pinned yet, adjacent to
// the pinned ones if the guarantee requires it.
func (p *Planner) findGuaranteeLayout(g *guarantee, available func(*worker) state.Resources) []assignment {
	missing := g.Members - g.pinnedUnits
	count := func(w *worker) int {
		if !w.acceptsWork() {
			return 0
		}
		return min(g.Shape.CountIn(available(w)), missing)
	}
	if g.pinnedUnits == 0 || g.Adjacency == state.AnyRack {
		return findLayout(p.zone.racks, layoutRequest{members: missing, adjacency: g.Adjacency, maxRacks: p.maxRacksOf(g)}, count)
	}
	return p.findLayoutAroundPins(g, missing, count)
}

// findLayoutAroundPins assigns the missing units on the run of racks that spans the present
// pins. Each rack between pinned ones that has no pin gets one unit first, to keep the run
// unbroken; the rest fill the run, which is extended as far as the adjacency rule allows.
func (p *Planner) findLayoutAroundPins(g *guarantee, missing int, count func(*worker) int) (assignments []assignment) {
	racks := p.zone.racks
	low, high := len(racks), -1
	for i, r := range racks {
		r.fits = 0
		for _, w := range r.workers {
			w.fits = count(w)
			r.fits += w.fits
			if g.pins[w].units > 0 {
				low, high = min(low, i), max(high, i)
			}
		}
	}
	if high < 0 {
		return nil
	}
	order := slices.Clone(racks[low : high+1])
	for _, r := range order {
		if slices.ContainsFunc(r.workers, func(w *worker) bool { return g.pins[w].units > 0 }) {
			continue
		}
		if r.fits == 0 || missing == 0 {
			return nil
		}
		gapFiller := takeFromRack(r, 1)
		gapFiller[0].worker.fits--
		r.fits--
		missing--
		assignments = append(assignments, gapFiller...)
	}
	order = p.extendRun(g, order, low, high, missing)
	for _, r := range order {
		placed := min(missing, r.fits)
		assignments = append(assignments, takeFromRack(r, placed)...)
		missing -= placed
	}
	if missing > 0 {
		return nil
	}
	return assignments
}

// extendRun appends neighbouring racks to the run from low to high, the roomier side first,
// until it has room for the missing units or may not grow.
func (p *Planner) extendRun(g *guarantee, run []*rack, low, high, missing int) []*rack {
	racks := p.zone.racks
	total := 0
	for _, r := range run {
		total += r.fits
	}
	maxRacks := 1
	if g.Adjacency == state.AdjacentRacks {
		maxRacks = p.maxRacksOf(g)
	}
	for total < missing && len(run) < maxRacks {
		below, above := 0, 0
		if low > 0 && racks[low].Position-racks[low-1].Position <= 1 {
			below = racks[low-1].fits
		}
		if high+1 < len(racks) && racks[high+1].Position-racks[high].Position <= 1 {
			above = racks[high+1].fits
		}
		switch {
		case below == 0 && above == 0:
			return run
		case below > above:
			low--
			run = append(run, racks[low])
		default:
			high++
			run = append(run, racks[high])
		}
		total += max(below, above)
	}
	return run
}
