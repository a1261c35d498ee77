package planning

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state"
)

const (
	// reclaimDeadline is how soon reclaimed jobs must have stopped. Urgent jobs must start
	// within 1.5 s; the rest of that is for the start itself.
	reclaimDeadline = time.Second
	// checkpointCost is the run time lost by saving and loading a checkpoint.
	checkpointCost = 5 * time.Second
)

// assign gives the job its workers. If all the resources are free, the job starts;
// otherwise it claims them and reclaims the jobs that are in the way.
func (p *Planner) assign(r *round, e *jobEntry, entitlement entitlement, g *guarantee, assignments []assignment, reason state.Reason) bool {
	e.entitlement, e.guarantee = entitlement, g
	membersPerUnit := 0
	if g != nil {
		membersPerUnit = e.job.Shape.CountIn(g.Shape)
	}
	e.holds = make([]hold, len(assignments))
	e.awaitsReclaim = false
	for i, a := range assignments {
		e.holds[i] = hold{worker: a.worker, members: a.members}
		if g != nil {
			e.holds[i].units = unitsFor(a.members, membersPerUnit)
		}
		if !e.job.Shape.Times(a.members).FitsIn(a.worker.free()) {
			e.awaitsReclaim = true
		}
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(s *reservation) bool { return s.entry == e })
	if !e.awaitsReclaim {
		return p.startJob(r, e)
	}
	e.started = r.now
	p.addUsage(e, 1)
	p.pending = append(p.pending, e)
	e.queue.setWaitReason(e, WaitingForReclaim)
	r.Next = earlier(r.Next, r.now.Add(pendingTimeout))
	for _, h := range e.holds {
		p.reclaimOn(r, e, h.worker, reason)
	}
	return true
}

func (p *Planner) startJob(r *round, e *jobEntry) bool {
	if !e.queue.takeForStart(e) {
		e.holds, e.guarantee = nil, nil
		return false
	}
	e.started = r.now
	p.addUsage(e, 1)
	r.Starts = append(r.Starts, Start{
		Job:        &e.job,
		Attempt:    e.attempt,
		Placements: e.placements(),
		Borrowed:   e.entitlement == borrowed,
	})
	return true
}

// startPending starts the jobs whose claimed resources have been freed, and drops the
// claims of those that were cancelled, lost a worker or waited too long.
func (p *Planner) startPending(r *round) {
	for _, e := range slices.Clone(p.pending) {
		if !e.awaitsReclaim {
			continue
		}
		timedOut := r.now.Sub(e.started) >= pendingTimeout
		if e.queue.phaseOf(e) != queued || timedOut || !e.holdsAcceptWork() {
			p.dropPending(e)
			continue
		}
		if !e.holdsFit() {
			r.Next = earlier(r.Next, e.started.Add(pendingTimeout))
			continue
		}
		holds, g := e.holds, e.guarantee
		p.dropPending(e)
		e.holds, e.guarantee = holds, g
		p.startJob(r, e)
	}
}

// dropPending gives up the job's claims; the job remains queued.
func (p *Planner) dropPending(e *jobEntry) {
	p.releaseHolds(e)
	p.pending = slices.DeleteFunc(p.pending, func(other *jobEntry) bool { return other == e })
}

func (e *jobEntry) holdsAcceptWork() bool {
	return !slices.ContainsFunc(e.holds, func(h hold) bool { return !h.worker.acceptsWork() })
}

// holdsFit reports whether the claimed resources are free by now.
func (e *jobEntry) holdsFit() bool {
	return !slices.ContainsFunc(e.holds, func(h hold) bool {
		return !e.job.Shape.Times(h.members).FitsIn(h.worker.Capacity.Minus(h.worker.held))
	})
}

// reclaimOn reclaims jobs on the worker, those with the least loss first, until everything
// claimed there has room. Claims of borrowed jobs are dropped before running jobs are
// stopped.
func (p *Planner) reclaimOn(r *round, e *jobEntry, w *worker, reason state.Reason) {
	beingFreed := state.Resources{}
	var victims []*jobEntry
	for other, members := range w.membersByJob {
		switch {
		case other == e || other.entitlement != borrowed:
		case reason == state.RackMoved && !other.movableFor(e) && other.queue.phaseOf(other) != stopping:
		case e.entitlement != guaranteed && other.job.Urgency == state.Urgent:
		case other.awaitsReclaim:
			if e.entitlement == guaranteed {
				victims = append(victims, other)
			}
		case other.queue.phaseOf(other) == stopping:
			beingFreed = beingFreed.Plus(other.job.Shape.Times(members))
		default:
			victims = append(victims, other)
		}
	}
	slices.SortFunc(victims, func(a, b *jobEntry) int {
		return cmp.Or(
			compareBool(b.awaitsReclaim, a.awaitsReclaim),
			cmp.Compare(a.job.Urgency/state.Urgent, b.job.Urgency/state.Urgent),
			cmp.Compare(a.preemptionLoss(r.now), b.preemptionLoss(r.now)),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	for _, victim := range victims {
		shortfall := state.Resources{}.Minus(w.free().Plus(beingFreed))
		if shortfall.FitsIn(state.Resources{}) {
			return
		}
		amount := victim.job.Shape.Times(w.membersByJob[victim])
		if minResources(amount, shortfall).FitsIn(state.Resources{}) {
			continue
		}
		if victim.awaitsReclaim {
			p.dropPending(victim)
			continue
		}
		beingFreed = beingFreed.Plus(amount)
		p.reclaimJob(r, victim, e, reason)
	}
}

func (p *Planner) reclaimJob(r *round, victim, beneficiary *jobEntry, reason state.Reason) {
	victim.queue.markStopping(victim)
	if reason == state.RackMoved {
		victim.moveCount++
	}
	r.Reclaims = append(r.Reclaims, Reclaim{
		Job:        victim.job.ID,
		Attempt:    victim.attempt,
		Reason:     reason,
		For:        beneficiary.job.ID,
		Checkpoint: victim.job.Checkpointable,
		Deadline:   r.now.Add(reclaimDeadline),
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
