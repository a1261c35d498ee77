package planning

import (
	"comfreystream/state"
	"time"
)

// reservation keeps workers for the gang that has waited the most, so that
// smaller work cannot starve it; others may use them until it is ready.
type reservation struct {
	entry   *entry
	workers map[*worker]bool
	ready   time.Time
}

func (s *reservation) includes(w *worker) bool { return s.workers[w] }

const (
	// firmMargin is by how much the run time of work that must not be stopped
	// may be underestimated before it would delay a reservation.
	firmMargin = 2
	// reservationCheck is how soon a reservation that is due is looked at again.
	reservationCheck = 2 * time.Second
	// shiftInterval is how long after one try to move guarantees the next may come.
	shiftInterval = 30 * time.Second
)

// horizons are the waits that a reservation tries, shortest first.
var horizons = []time.Duration{
	0, 10 * time.Second, time.Minute, 5 * time.Minute, 20 * time.Minute,
	time.Hour, 4 * time.Hour, 24 * time.Hour, 30 * 24 * time.Hour,
}

func (p *Planner) holdsReservation(e *entry) bool {
	return p.reserved != nil && p.reserved.entry == e
}

// mayUse reports whether the job may run on a worker that is kept for another.
func (p *Planner) mayUse(r *round, e *entry, w *worker) bool {
	if p.reserved == nil || p.reserved.entry == e || !p.reserved.includes(w) || e.job.Urgency == state.Urgent {
		return true
	}
	left := p.reserved.ready.Sub(r.now)
	if e.ownTenure() == firm {
		return firmMargin*e.estimate <= left
	}
	return e.estimate <= left
}

// checkReservation gives up a reservation whose gang has left the queue.
func (p *Planner) checkReservation() {
	if p.reserved == nil {
		return
	}
	e := p.reserved.entry
	if e.claims || e.queue.phaseOf(e) != queued {
		p.reserved = nil
	}
}

// reserve makes or renews the reservation for the blocked gang, and clears its
// places of work that can be stopped when that pays.
func (p *Planner) reserve(r *round) {
	if p.reserved == nil && r.blocked != nil {
		p.reserved = &reservation{entry: r.blocked}
	}
	if p.reserved == nil {
		return
	}
	e := p.reserved.entry
	if p.reserved.workers == nil || !r.now.Before(p.reserved.ready) {
		p.chooseWorkers(r, p.reserved)
	}
	if p.reserved.workers == nil {
		p.reserved = nil
		return
	}
	if r.now.Before(p.reserved.ready) {
		r.Next = earlier(r.Next, p.reserved.ready)
		return
	}
	r.Next = earlier(r.Next, r.now.Add(reservationCheck))
	p.clear(r, e)
}

// chooseWorkers finds the places that are clear the soonest, moving idle
// guarantees out of the way if there are none otherwise.
func (p *Planner) chooseWorkers(r *round, reserved *reservation) {
	p.chooseClearest(r, reserved)
	e := reserved.entry
	if reserved.workers != nil || e.ownTenure() != firm || r.now.Sub(p.shifted) < shiftInterval {
		return
	}
	p.shifted = r.now
	if p.shiftGuarantees(e) {
		p.chooseClearest(r, reserved)
	}
}

func (p *Planner) chooseClearest(r *round, reserved *reservation) {
	reserved.workers = nil
	e := reserved.entry
	for _, horizon := range horizons {
		by := r.now.Add(horizon)
		shares := findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
			if !w.open() || e.avoids(w) {
				return 0
			}
			return e.job.Shape.CountIn(w.roomBy(r.now, by, e.ownTenure()))
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

// roomBy returns what will be free at a time if all work that can be stopped is.
func (w *worker) roomBy(now, by time.Time, right tenure) state.Resources {
	free := w.free().Plus(w.stoppable)
	unpinned := w.unpinned()
	if by.After(now) {
		for e, members := range w.jobs {
			if e.stoppable() || e.claims || e.expectedEnd(now).After(by) {
				continue
			}
			amount := e.job.Shape.Times(members)
			free = free.Plus(amount)
			if e.tenure == firm {
				unpinned = unpinned.Plus(amount)
			}
		}
	}
	if right == firm {
		return smaller(free, unpinned)
	}
	return free
}

// clear moves stoppable work off the reserved places if the accelerator time
// that it loses is less than what the gang has waited for.
func (p *Planner) clear(r *round, e *entry) {
	if e.overQuota() {
		return
	}
	if e.ownTenure() == firm && !r.firmAllowed {
		return
	}
	shares := findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
		if !p.reserved.includes(w) {
			return 0
		}
		return e.job.Shape.CountIn(p.room(r, e, w, w.free().Plus(w.stoppable)))
	})
	if shares == nil {
		return
	}
	waited := r.now.Sub(e.job.Submitted) * time.Duration(max(1, e.job.Total().Accelerators))
	if p.lossOn(r, shares) > waited {
		return
	}
	p.assign(r, e, e.ownTenure(), nil, shares, state.RackMoved)
}

// lossOn returns the accelerator time lost if all stoppable work on the places is stopped.
func (p *Planner) lossOn(r *round, shares []share) (total time.Duration) {
	seen := make(map[*entry]bool)
	for _, part := range shares {
		for e := range part.worker.jobs {
			if seen[e] || e.claims || !e.stoppable() {
				continue
			}
			seen[e] = true
			total += e.loss(r.now)
		}
	}
	return total
}
