package planning

import (
	"maps"
)

// repack tries to place all idle guarantees anew, hardest first, and keeps the
// result only if it holds more members, or more guarantees whole, than before.
func (p *Planner) repack() {
	before := p.membersKept()
	former := p.takePlaces()
	for _, g := range p.guarantees {
		p.restore(g)
	}
	if p.membersKept() <= before {
		p.putPlaces(former)
	}
}

// shiftGuarantees moves idle guarantees so that the gang has room beside them,
// and reports whether it could without giving up any.
func (p *Planner) shiftGuarantees(e *entry) bool {
	before := p.membersKept()
	former := p.takePlaces()
	shares := findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
		if !w.open() {
			return 0
		}
		return e.job.Shape.CountIn(w.unpinned())
	})
	for _, part := range shares {
		part.worker.keepFirm(e.job.Shape.Times(part.members))
	}
	for _, g := range p.guarantees {
		p.restore(g)
	}
	for _, part := range shares {
		part.worker.keepFirm(e.job.Shape.Times(-part.members))
	}
	if shares == nil || p.membersKept() < before {
		p.putPlaces(former)
		return false
	}
	return true
}

// takePlaces gives up all idle places and returns what was there.
func (p *Planner) takePlaces() []map[*worker]pin {
	former := make([]map[*worker]pin, len(p.guarantees))
	for i, g := range p.guarantees {
		former[i] = maps.Clone(g.pins)
		g.unpinIdle()
	}
	return former
}

func (p *Planner) putPlaces(former []map[*worker]pin) {
	for _, g := range p.guarantees {
		g.unpinIdle()
	}
	for i, g := range p.guarantees {
		for w, at := range former[i] {
			g.setPin(w, at)
		}
	}
}

// membersKept counts pinned members, twice for whole guarantees.
func (p *Planner) membersKept() (members int) {
	for _, g := range p.guarantees {
		members += g.pinned
		if p.isWhole(g) {
			members += g.pinned
		}
	}
	return members
}
