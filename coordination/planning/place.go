package planning

import (
	"time"

	"comfreystream/state"
)

// place starts the job, or has others make way for it, and reports whether
// it took resources.
func (p *Planner) place(r *round, e *entry) bool {
	if e.overQuota() {
		e.queue.wait(e, WaitingForQuota)
		return false
	}
	if e.job.Urgency == state.Urgent {
		if p.placeUrgent(r, e) {
			return true
		}
	} else if p.placeOrdinary(r, e) {
		return true
	}
	e.queue.wait(e, WaitingForRoom)
	if e.job.Members > 1 {
		r.blocked = append(r.blocked, e)
	}
	return false
}

// pressure orders blocked gangs by the accelerator time that they waited for.
func (e *entry) pressure(now time.Time) time.Duration {
	return now.Sub(e.job.Submitted) * time.Duration(max(1, e.job.Total().Accelerators))
}

// placeUrgent prefers the guarantee, even if others, its organisation's own
// stoppable work included, have to make way there.
func (p *Planner) placeUrgent(r *round, e *entry) bool {
	if p.placeCovered(r, e, fromFree) || p.reclaimGuarantee(r, e) || p.placeFree(r, e) {
		return true
	}
	if p.uncoverFor(e) && p.reclaimGuarantee(r, e) {
		return true
	}
	if p.relocateFor(e) && p.reclaimGuarantee(r, e) {
		return true
	}
	return p.placeByReclaim(r, e, fromCheap) || p.placeByReclaim(r, e, fromAll)
}

// placeOrdinary keeps the guarantee free of work that must not be stopped for
// as long as there is other room, since urgent work may need it.
func (p *Planner) placeOrdinary(r *round, e *entry) bool {
	if e.ownTenure() == firm && p.placeFree(r, e) {
		return true
	}
	return p.placeCovered(r, e, fromFree) || p.placeFree(r, e) || p.reclaimGuarantee(r, e)
}

func (p *Planner) reclaimGuarantee(r *round, e *entry) bool {
	return p.placeCovered(r, e, fromCheap) || p.placeCovered(r, e, fromAll)
}

// source says which room a placement counts on.
type source uint8

const (
	// fromFree is room that nobody holds.
	fromFree source = iota
	// fromCheap adds the room of work that can checkpoint.
	fromCheap
	// fromAll adds the room of all work that may be stopped.
	fromAll
)

// placeCovered puts the job on its organisation's guarantee.
func (p *Planner) placeCovered(r *round, e *entry, from source) bool {
	for _, g := range p.guarantees {
		if g.organisation != e.job.Organisation {
			continue
		}
		perUnit := e.job.Shape.CountIn(g.Shape)
		if perUnit == 0 || (g.pinned-g.used)*perUnit < e.job.Members {
			continue
		}
		count := func(w *worker) int {
			units := g.idle(w)
			if units == 0 || !w.open() || e.avoids(w) {
				return 0
			}
			room := w.free()
			switch from {
			case fromCheap:
				room = room.Plus(w.cheap)
			case fromAll:
				return units * perUnit
			}
			return min(units*perUnit, e.job.Shape.CountIn(room))
		}
		shares := findLayout(p.zone.racks, p.gangOf(e), count)
		if shares == nil {
			continue
		}
		return p.assign(r, e, covered, g, shares, state.Reclaimed)
	}
	return false
}

// placeFree puts the job where nobody has to make way.
func (p *Planner) placeFree(r *round, e *entry) bool {
	right := e.ownTenure()
	if right == firm && !r.firmAllowed {
		return false
	}
	key := requestKey{shape: e.job.Shape, adjacency: e.job.Adjacency, tenure: right}
	for _, s := range p.reserved {
		if e.movableFor(s.entry) {
			key.movable++
		}
	}
	known := len(e.avoid) == 0 && !p.holdsReservation(e)
	if fewest, found := r.failed[key]; found && known && e.job.Members >= fewest {
		return false
	}
	var shares []share
	if right == borrowed && !e.job.Checkpointable {
		shares = findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
			return e.job.Shape.CountIn(smaller(p.room(e, w, w.free()), w.unpinned().Minus(w.costly)))
		})
	}
	if shares == nil {
		shares = findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
			return e.job.Shape.CountIn(p.room(e, w, w.free()))
		})
	}
	if shares == nil {
		if known && e.job.Adjacency != state.AdjacentRacks {
			r.failed[key] = e.job.Members
		}
		return false
	}
	return p.assign(r, e, right, nil, shares, "")
}

// placeByReclaim puts urgent work where work that can be stopped makes way.
func (p *Planner) placeByReclaim(r *round, e *entry, from source) bool {
	right := e.ownTenure()
	if right == firm && !r.firmAllowed {
		return false
	}
	shares := findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
		room := w.free().Plus(w.stoppable)
		if from == fromCheap {
			room = w.free().Plus(w.cheap)
		}
		return e.job.Shape.CountIn(p.room(e, w, room))
	})
	if shares == nil {
		return false
	}
	return p.assign(r, e, right, nil, shares, state.Reclaimed)
}

// room limits what is free on a worker to what the job may take there.
func (p *Planner) room(e *entry, w *worker, free state.Resources) state.Resources {
	if !w.open() || e.avoids(w) || !p.mayUse(e, w) {
		return state.Resources{}
	}
	if e.ownTenure() == firm {
		return smaller(free, w.unpinned())
	}
	return free
}

func (p *Planner) gangOf(e *entry) gang {
	g := gang{members: e.job.Members, adjacency: e.job.Adjacency, rigid: !e.job.Checkpointable}
	if g.members > 1 && g.adjacency == state.AdjacentRacks {
		g.span = p.sizes.span(e.job.Shape, e.job.Members, e.job.Adjacency)
	}
	g.scatter = p.manifest.Weights.Fragmentation > p.manifest.Weights.CompletionTime
	return g
}

func (e *entry) ownTenure() tenure {
	if e.job.Borrows() {
		return borrowed
	}
	return firm
}
