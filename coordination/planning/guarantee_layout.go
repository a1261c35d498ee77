package planning

import (
	"slices"

	"comfreystream/state"
)

// layoutGuarantee returns places for the members that are not pinned, next to
// those that are.
func (p *Planner) layoutGuarantee(g *guarantee, room func(*worker) state.Resources) []share {
	missing := g.Members - g.pinned
	count := func(w *worker) int {
		if !w.open() {
			return 0
		}
		return min(g.Shape.CountIn(room(w)), missing)
	}
	if g.pinned == 0 || g.Adjacency == state.AnyRack {
		return findLayout(p.zone.racks, gang{members: missing, adjacency: g.Adjacency, span: p.spanOf(g)}, count)
	}
	return p.layoutAround(g, missing, count)
}

// layoutAround places the missing members on the run of racks that has the
// guarantee's other places: first one on each rack between them that has none,
// then as they fit, on a run that grows on its roomier side while it may.
func (p *Planner) layoutAround(g *guarantee, missing int, count func(*worker) int) (shares []share) {
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
		bridge := takeFromRack(r, 1)
		bridge[0].worker.fits--
		r.fits--
		missing--
		shares = append(shares, bridge...)
	}
	order = p.extendRun(g, order, low, high, missing)
	for _, r := range order {
		here := min(missing, r.fits)
		shares = append(shares, takeFromRack(r, here)...)
		missing -= here
	}
	if missing > 0 {
		return nil
	}
	return shares
}

// extendRun appends neighbouring racks to the run from low to high until it
// has room for the missing members or may not grow.
func (p *Planner) extendRun(g *guarantee, run []*rack, low, high, missing int) []*rack {
	racks := p.zone.racks
	room := 0
	for _, r := range run {
		room += r.fits
	}
	span := 1
	if g.Adjacency == state.AdjacentRacks {
		span = p.spanOf(g)
	}
	for room < missing && len(run) < span {
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
		room += max(below, above)
	}
	return run
}
