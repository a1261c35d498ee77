package planning

import (
	"maps"
)

// repackGuarantees releases the idle pins of all guarantees and pins them again, hardest
// first. It keeps the result only if pinnedScore improves.
func (p *Planner) repackGuarantees() {
	before := p.pinnedScore()
	formerPins := p.releaseIdlePins()
	for _, g := range p.guarantees {
		p.repinGuarantee(g)
	}
	if p.pinnedScore() <= before {
		p.restorePins(formerPins)
	}
}

// moveGuaranteesFor moves idle guarantee pins so that the gang has room outside of the
// guarantees, and reports whether that worked without lowering pinnedScore; otherwise the
// pins stay as they were.
func (p *Planner) moveGuaranteesFor(e *jobEntry) bool {
	before := p.pinnedScore()
	formerPins := p.releaseIdlePins()
	assignments := findLayout(p.zone.racks, p.layoutRequestFor(e), func(w *worker) int {
		if !w.acceptsWork() {
			return 0
		}
		return e.job.Shape.CountIn(w.unreserved())
	})
	for _, a := range assignments {
		a.worker.addNonPreemptible(e.job.Shape.Times(a.members))
	}
	for _, g := range p.guarantees {
		p.repinGuarantee(g)
	}
	for _, a := range assignments {
		a.worker.addNonPreemptible(e.job.Shape.Times(-a.members))
	}
	if assignments == nil || p.pinnedScore() < before {
		p.restorePins(formerPins)
		return false
	}
	return true
}

// releaseIdlePins releases the idle pins of all guarantees and returns the former pins.
func (p *Planner) releaseIdlePins() []map[*worker]pin {
	formerPins := make([]map[*worker]pin, len(p.guarantees))
	for i, g := range p.guarantees {
		formerPins[i] = maps.Clone(g.pins)
		g.unpinIdle()
	}
	return formerPins
}

func (p *Planner) restorePins(formerPins []map[*worker]pin) {
	for _, g := range p.guarantees {
		g.unpinIdle()
	}
	for i, g := range p.guarantees {
		for w, former := range formerPins[i] {
			g.setPin(w, former)
		}
	}
}

// pinnedScore returns the number of pinned units, counting those of satisfied guarantees
// twice.
func (p *Planner) pinnedScore() (score int) {
	for _, g := range p.guarantees {
		score += g.pinnedUnits
		if p.isSatisfied(g) {
			score += g.pinnedUnits
		}
	}
	return score
}
