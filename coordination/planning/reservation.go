package planning

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state"
)

// reservation keeps workers for the gang that has waited the most, so that
// smaller work cannot starve it; others may use them until it is ready.
type reservation struct {
	entry   *entry
	workers map[*worker]bool
	// ready is when the places should be clear, as last looked at.
	ready   time.Time
	checked time.Time
}

const (
	// reservationCheck is how soon a reservation that is due is looked at again.
	reservationCheck = 2 * time.Second
	// shiftInterval is how long after one try to move guarantees the next may come.
	shiftInterval = 30 * time.Second
	// maxMoves is how often one job may be moved for larger gangs.
	maxMoves = 20
	// maxReservations bounds the gangs for which places are kept at once.
	maxReservations = 1
	// moveRatio is how many times larger a gang must be than what it has moved.
	moveRatio = 2
)

// horizons are the waits that a reservation tries, shortest first.
var horizons = []time.Duration{
	0, 10 * time.Second, time.Minute, 5 * time.Minute, 20 * time.Minute,
	time.Hour, 4 * time.Hour, 24 * time.Hour, 30 * 24 * time.Hour,
}

func (p *Planner) holdsReservation(e *entry) bool {
	return slices.ContainsFunc(p.reserved, func(s *reservation) bool { return s.entry == e })
}

// mayUse reports whether the job may run on a worker that may be kept for another.
func (p *Planner) mayUse(e *entry, w *worker) bool {
	if e.job.Urgency == state.Urgent {
		return true
	}
	for _, s := range p.reserved {
		if s.workers[w] && s.entry != e && !e.movableFor(s.entry) {
			return false
		}
	}
	return true
}

// checkReservations gives up reservations whose gangs have left the queue.
func (p *Planner) checkReservations() {
	p.reserved = slices.DeleteFunc(p.reserved, func(s *reservation) bool {
		return s.entry.claims || s.entry.queue.phaseOf(s.entry) != queued
	})
}

// reserve renews the reservations, makes new ones for the oldest blocked gangs,
// and clears their places of work that can be moved when that pays.
func (p *Planner) reserve(r *round) {
	slices.SortStableFunc(r.blocked, func(a, b *entry) int {
		return cmp.Compare(r.now.Sub(b.job.Submitted), r.now.Sub(a.job.Submitted))
	})
	for _, e := range r.blocked {
		if len(p.reserved) >= maxReservations {
			break
		}
		if !p.holdsReservation(e) {
			p.reserved = append(p.reserved, &reservation{entry: e})
		}
	}
	for _, s := range slices.Clone(p.reserved) {
		if s.workers == nil || !r.now.Before(s.checked.Add(reservationCheck)) {
			p.chooseWorkers(r, s)
		}
		if s.workers != nil {
			p.clear(r, s)
		}
	}
	p.reserved = slices.DeleteFunc(p.reserved, func(s *reservation) bool { return s.workers == nil })
	if len(p.reserved) > 0 {
		r.Next = earlier(r.Next, r.now.Add(reservationCheck))
	}
}

// chooseWorkers finds the places that are clear the soonest, moving idle
// guarantees out of the way if there are none otherwise.
func (p *Planner) chooseWorkers(r *round, reserved *reservation) {
	p.chooseClearest(r, reserved)
	e := reserved.entry
	if reserved.workers != nil || e.ownTenure() != firm {
		return
	}
	if next := p.shifted.Add(shiftInterval); r.now.Before(next) {
		r.Next = earlier(r.Next, next)
		return
	}
	p.shifted = r.now
	if p.shiftGuarantees(e) {
		p.chooseClearest(r, reserved)
	}
}

func (p *Planner) chooseClearest(r *round, reserved *reservation) {
	reserved.checked = r.now
	e := reserved.entry
	if !p.canStillHold(r, reserved) {
		reserved.workers = nil
	}
	for _, horizon := range horizons {
		by := r.now.Add(horizon)
		if reserved.workers != nil && !by.Before(reserved.ready) {
			return
		}
		shares := findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
			if !w.open() || e.avoids(w) || p.keptForOther(reserved, w) {
				return 0
			}
			return e.job.Shape.CountIn(w.roomBy(r.now, by, e))
		})
		if shares == nil {
			continue
		}
		reserved.ready = by
		reserved.workers = make(map[*worker]bool, len(shares))
		for _, part := range shares {
			reserved.workers[part.worker] = true
		}
		return
	}
}

// canStillHold reports whether the gang will fit into its places once all that
// runs there has ended; guarantees may have been moved there since.
func (p *Planner) canStillHold(r *round, reserved *reservation) bool {
	e := reserved.entry
	last := r.now.Add(horizons[len(horizons)-1])
	return findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
		if !reserved.workers[w] || !w.open() || e.avoids(w) {
			return 0
		}
		return e.job.Shape.CountIn(w.roomBy(r.now, last, e))
	}) != nil
}

func (p *Planner) keptForOther(reserved *reservation, w *worker) bool {
	return slices.ContainsFunc(p.reserved, func(s *reservation) bool { return s != reserved && s.workers[w] })
}

// roomBy returns what the gang could have at a time if all that it may move is moved.
func (w *worker) roomBy(now, by time.Time, e *entry) state.Resources {
	free := w.free()
	unpinned := w.unpinned()
	for other, members := range w.jobs {
		if other.claims || (!other.movableFor(e) && other.expectedEnd(now).After(by)) {
			continue
		}
		amount := other.job.Shape.Times(members)
		free = free.Plus(amount)
		if other.tenure == firm {
			unpinned = unpinned.Plus(amount)
		}
	}
	if e.ownTenure() == firm {
		return smaller(free, unpinned)
	}
	return free
}

// clear moves stoppable work off the reserved places if the accelerator time
// that it loses is less than what the gang has waited for.
func (p *Planner) clear(r *round, reserved *reservation) {
	e := reserved.entry
	if e.overQuota() {
		return
	}
	if e.ownTenure() == firm && !r.firmAllowed {
		return
	}
	shares := findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
		if !reserved.workers[w] {
			return 0
		}
		return e.job.Shape.CountIn(p.room(e, w, w.roomBy(r.now, r.now, e)))
	})
	if shares == nil {
		return
	}
	if p.lossOn(r, e, shares) > e.pressure(r.now) {
		return
	}
	p.assign(r, e, e.ownTenure(), nil, shares, state.RackMoved)
}

// movableFor reports whether the gang may have the job moved. It must be much
// smaller, and no job is moved again and again, so that gangs do not take turns
// in moving each other.
func (e *entry) movableFor(g *entry) bool {
	return e.stoppable() && e.job.Checkpointable && e.moves < maxMoves &&
		e.job.Total().Accelerators*moveRatio <= g.job.Total().Accelerators
}

// lossOn returns the accelerator time lost if all that the gang may move from
// the places is moved.
func (p *Planner) lossOn(r *round, g *entry, shares []share) (total time.Duration) {
	seen := make(map[*entry]bool)
	for _, part := range shares {
		for e := range part.worker.jobs {
			if seen[e] || e.claims || !e.movableFor(g) {
				continue
			}
			seen[e] = true
			total += e.loss(r.now)
		}
	}
	return total
}
