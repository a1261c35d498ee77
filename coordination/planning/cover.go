package planning

import (
	"cmp"
	"maps"
	"slices"

	"comfreystream/state"
)

// dissolve ends a guarantee; the work that ran on it goes on beside the others.
func (p *Planner) dissolve(g *guarantee) {
	for _, w := range g.workers() {
		for e := range maps.Clone(w.jobs) {
			if e.guarantee == g {
				p.uncover(e)
			}
		}
		g.unpin(w)
	}
}

func (p *Planner) uncover(e *entry) {
	p.account(e, -1)
	e.guarantee.trim()
	p.unsettled = true
	e.guarantee = nil
	e.tenure = e.ownTenure()
	for i := range e.holds {
		e.holds[i].units = 0
	}
	p.account(e, 1)
}

// uncoverFor gives the urgent job's organisation its guarantees back from its
// own work that can be stopped, if that leaves enough places.
func (p *Planner) uncoverFor(urgent *entry) bool {
	for _, g := range p.guarantees {
		perUnit := urgent.job.Shape.CountIn(g.Shape)
		if g.organisation != urgent.job.Organisation || perUnit == 0 {
			continue
		}
		own := g.ordinaryWork(true)
		idle := g.pinned - g.used
		for _, e := range own {
			for _, h := range e.holds {
				idle += h.units
			}
		}
		if idle < unitsFor(urgent.job.Members, perUnit) {
			continue
		}
		for _, e := range own {
			if (g.pinned-g.used)*perUnit < urgent.job.Members {
				p.uncover(e)
			}
		}
		return len(own) > 0
	}
	return false
}

// relocateFor moves the guarantees of the urgent job's organisation to other
// room, if its own work that must not be stopped runs on them; that work goes on
// beside them.
func (p *Planner) relocateFor(urgent *entry) bool {
	for _, g := range p.guarantees {
		if g.organisation != urgent.job.Organisation || urgent.job.Shape.CountIn(g.Shape) == 0 {
			continue
		}
		own := g.ordinaryWork(false)
		if len(own) == 0 {
			continue
		}
		places := maps.Clone(g.pins)
		holds := make([][]hold, len(own))
		for i, e := range own {
			holds[i] = slices.Clone(e.holds)
			p.detach(e)
		}
		p.restore(g)
		if p.isWhole(g) {
			return true
		}
		for i, e := range own {
			p.attach(e, g, holds[i])
		}
		for w := range places {
			g.setPin(w, places[w])
		}
	}
	return false
}

// detach makes the work ordinary and gives up its guaranteed places.
func (p *Planner) detach(e *entry) {
	g, holds := e.guarantee, slices.Clone(e.holds)
	p.uncover(e)
	for _, h := range holds {
		at := g.pins[h.worker]
		at.units = max(at.units-h.units, at.used)
		g.setPin(h.worker, at)
	}
}

// attach undoes detach.
func (p *Planner) attach(e *entry, g *guarantee, holds []hold) {
	p.account(e, -1)
	e.guarantee, e.tenure, e.holds = g, covered, holds
	p.account(e, 1)
}

// ordinaryWork returns the work on the guarantee that is not urgent, either
// that which can be stopped or that which cannot.
func (g *guarantee) ordinaryWork(stoppable bool) (work []*entry) {
	for w := range g.pins {
		for e := range w.jobs {
			ordinary := e.guarantee == g && !e.claims && e.job.Urgency != state.Urgent
			if ordinary && e.job.Borrows() == stoppable && !slices.Contains(work, e) {
				work = append(work, e)
			}
		}
	}
	slices.SortFunc(work, func(a, b *entry) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return work
}
