package planning

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state"
)

// reservation keeps workers for a gang that has found no room, so that a stream of smaller
// jobs cannot starve it. Urgent jobs and jobs that the gang may move can still run on them.
type reservation struct {
	entry   *jobEntry
	workers map[*worker]bool
	// readyAt is when the workers should have room for the gang, as of checkedAt.
	readyAt   time.Time
	checkedAt time.Time
}

const (
	// reservationCheckInterval is how often the choice of workers is reviewed.
	reservationCheckInterval = 2 * time.Second
	// guaranteeMoveInterval is the minimum time between two attempts to move guarantees for
	// a gang.
	guaranteeMoveInterval = 30 * time.Second
	// maxMovesPerJob bounds how often one job is stopped for larger gangs.
	maxMovesPerJob = 20
	// maxReservations bounds the reservations that exist at once.
	maxReservations = 1
	// minMoveSizeRatio is how many times the accelerators of a job a gang must have to move
	// it.
	minMoveSizeRatio = 2
)

// reservationHorizons are how far ahead a reservation looks for room, shortest first.
var reservationHorizons = []time.Duration{
	0, 10 * time.Second, time.Minute, 5 * time.Minute, 20 * time.Minute,
	time.Hour, 4 * time.Hour, 24 * time.Hour, 30 * 24 * time.Hour,
}

func (p *Planner) hasReservation(e *jobEntry) bool {
	return slices.ContainsFunc(p.reservations, func(s *reservation) bool { return s.entry == e })
}

// mayUseReserved reports whether reservations for other gangs leave the worker open to the
// job.
func (p *Planner) mayUseReserved(e *jobEntry, w *worker) bool {
	if e.job.Urgency == state.Urgent {
		return true
	}
	for _, s := range p.reservations {
		if s.workers[w] && s.entry != e && !e.movableFor(s.entry) {
			return false
		}
	}
	return true
}

// dropStaleReservations drops reservations whose gangs are no longer queued or have claimed
// resources.
func (p *Planner) dropStaleReservations() {
	p.reservations = slices.DeleteFunc(p.reservations, func(s *reservation) bool {
		return s.entry.awaitsReclaim || s.entry.queue.phaseOf(s.entry) != queued
	})
}

// updateReservations reserves workers for the oldest blocked gangs, reviews the present
// reservations, and places their gangs where moving other jobs pays off.
func (p *Planner) updateReservations(r *round) {
	slices.SortStableFunc(r.blockedGangs, func(a, b *jobEntry) int {
		return cmp.Compare(r.now.Sub(b.job.Submitted), r.now.Sub(a.job.Submitted))
	})
	for _, e := range r.blockedGangs {
		if len(p.reservations) >= maxReservations {
			break
		}
		if !p.hasReservation(e) {
			p.reservations = append(p.reservations, &reservation{entry: e})
		}
	}
	for _, s := range slices.Clone(p.reservations) {
		if s.workers == nil || !r.now.Before(s.checkedAt.Add(reservationCheckInterval)) {
			p.chooseReservedWorkers(r, s)
		}
		if s.workers != nil {
			p.claimReserved(r, s)
		}
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(s *reservation) bool { return s.workers == nil })
	if len(p.reservations) > 0 {
		r.Next = earlier(r.Next, r.now.Add(reservationCheckInterval))
	}
}

// chooseReservedWorkers reserves the workers that have room for the gang the soonest. If
// there are none for a non-preemptible gang, it tries to move idle guarantees out of the
// way.
func (p *Planner) chooseReservedWorkers(r *round, reserved *reservation) {
	p.chooseSoonestWorkers(r, reserved)
	e := reserved.entry
	if reserved.workers != nil || e.defaultEntitlement() != nonPreemptible {
		return
	}
	if next := p.lastGuaranteeMove.Add(guaranteeMoveInterval); r.now.Before(next) {
		r.Next = earlier(r.Next, next)
		return
	}
	p.lastGuaranteeMove = r.now
	if p.moveGuaranteesFor(e) {
		p.chooseSoonestWorkers(r, reserved)
	}
}

// chooseSoonestWorkers reserves the workers of the shortest horizon that has room for the
// gang; the present ones stay unless others are ready sooner.
func (p *Planner) chooseSoonestWorkers(r *round, reserved *reservation) {
	reserved.checkedAt = r.now
	e := reserved.entry
	if !p.stillFeasible(r, reserved) {
		reserved.workers = nil
	}
	for _, horizon := range reservationHorizons {
		readyAt := r.now.Add(horizon)
		if reserved.workers != nil && !readyAt.Before(reserved.readyAt) {
			return
		}
		assignments := findLayout(p.zone.racks, p.layoutRequestFor(e), func(w *worker) int {
			if !w.acceptsWork() || e.avoids(w) || p.reservedForOther(reserved, w) {
				return 0
			}
			return e.job.Shape.CountIn(w.roomAt(r.now, readyAt, e))
		})
		if assignments == nil {
			continue
		}
		reserved.readyAt = readyAt
		reserved.workers = make(map[*worker]bool, len(assignments))
		for _, a := range assignments {
			reserved.workers[a.worker] = true
		}
		return
	}
}

// stillFeasible reports whether the gang will fit on its reserved workers once all jobs
// there have ended; guarantees may have been moved there since.
func (p *Planner) stillFeasible(r *round, reserved *reservation) bool {
	e := reserved.entry
	last := r.now.Add(reservationHorizons[len(reservationHorizons)-1])
	return findLayout(p.zone.racks, p.layoutRequestFor(e), func(w *worker) int {
		if !reserved.workers[w] || !w.acceptsWork() || e.avoids(w) {
			return 0
		}
		return e.job.Shape.CountIn(w.roomAt(r.now, last, e))
	}) != nil
}

func (p *Planner) reservedForOther(reserved *reservation, w *worker) bool {
	return slices.ContainsFunc(p.reservations, func(s *reservation) bool { return s != reserved && s.workers[w] })
}

// roomAt returns the resources that the gang could have at the given time if every job that
// it may move is moved.
func (w *worker) roomAt(now, at time.Time, e *jobEntry) state.Resources {
	free := w.free()
	unreserved := w.unreserved()
	for other, members := range w.membersByJob {
		if other.awaitsReclaim || (!other.movableFor(e) && other.expectedEnd(now).After(at)) {
			continue
		}
		amount := other.job.Shape.Times(members)
		free = free.Plus(amount)
		if other.entitlement == nonPreemptible {
			unreserved = unreserved.Plus(amount)
		}
	}
	if e.defaultEntitlement() == nonPreemptible {
		return minResources(free, unreserved)
	}
	return free
}

// claimReserved assigns the gang its reserved workers by moving other jobs, provided that
// their lost accelerator time is at most the accelerator time that the gang has waited.
func (p *Planner) claimReserved(r *round, reserved *reservation) {
	e := reserved.entry
	if e.overQuota() {
		return
	}
	if e.defaultEntitlement() == nonPreemptible && !r.nonPreemptibleAllowed {
		return
	}
	assignments := findLayout(p.zone.racks, p.layoutRequestFor(e), func(w *worker) int {
		if !reserved.workers[w] {
			return 0
		}
		return e.job.Shape.CountIn(p.usableRoom(e, w, w.roomAt(r.now, r.now, e)))
	})
	if assignments == nil {
		return
	}
	if p.preemptionLossOn(r, e, assignments) > e.waitedAcceleratorTime(r.now) {
		return
	}
	p.assign(r, e, e.defaultEntitlement(), nil, assignments, state.RackMoved)
}

// movableFor reports whether the job may be stopped to make room for the gang. It must be
// much smaller and its moves are limited, so that gangs do not displace each other in turn.
func (e *jobEntry) movableFor(gang *jobEntry) bool {
	return e.preemptible() && e.job.Checkpointable && e.moveCount < maxMovesPerJob &&
		e.job.Total().Accelerators*minMoveSizeRatio <= gang.job.Total().Accelerators
}

// preemptionLossOn returns the accelerator time lost if every job that the gang may move is
// moved off the assigned workers.
func (p *Planner) preemptionLossOn(r *round, gang *jobEntry, assignments []assignment) (total time.Duration) {
	seen := make(map[*jobEntry]bool)
	for _, a := range assignments {
		for e := range a.worker.membersByJob {
			if seen[e] || e.awaitsReclaim || !e.movableFor(gang) {
				continue
			}
			seen[e] = true
			total += e.preemptionLoss(r.now)
		}
	}
	return total
}
