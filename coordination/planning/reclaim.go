package planning

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state"
)

const (
	// reclaimWithin is how soon reclaimed work must have stopped; what is left of
	// the 1.5 s for urgent work is for the start itself.
	reclaimWithin = time.Second
	// checkpointCost is the run time lost by saving and loading a checkpoint.
	checkpointCost = 5 * time.Second
)

// assign takes the places for the job. If all of them are free it starts;
// otherwise it claims them and others make way.
func (p *Planner) assign(r *round, e *entry, right tenure, g *guarantee, shares []share, reason state.Reason) bool {
	e.tenure, e.guarantee = right, g
	perUnit := 0
	if g != nil {
		perUnit = e.job.Shape.CountIn(g.Shape)
	}
	e.holds = make([]hold, len(shares))
	e.claims = false
	for i, part := range shares {
		e.holds[i] = hold{worker: part.worker, members: part.members}
		if g != nil {
			e.holds[i].units = unitsFor(part.members, perUnit)
		}
		if !e.job.Shape.Times(part.members).FitsIn(part.worker.free()) {
			e.claims = true
		}
	}
	p.reserved = slices.DeleteFunc(p.reserved, func(s *reservation) bool { return s.entry == e })
	if !e.claims {
		return p.start(r, e)
	}
	e.started = r.now
	p.account(e, 1)
	p.pending = append(p.pending, e)
	e.queue.wait(e, WaitingForReclaim)
	r.Next = earlier(r.Next, r.now.Add(pendingPatience))
	for _, h := range e.holds {
		p.makeWay(r, e, h.worker, reason)
	}
	return true
}

func (p *Planner) start(r *round, e *entry) bool {
	if !e.queue.take(e) {
		e.holds, e.guarantee = nil, nil
		return false
	}
	e.started = r.now
	p.account(e, 1)
	r.Starts = append(r.Starts, Start{
		Job:        &e.job,
		Attempt:    e.attempt,
		Placements: e.placements(),
		Borrowed:   e.tenure == borrowed,
	})
	return true
}

// startPending starts the jobs for which all others have made way, and frees
// the claims of those that were cancelled or waited too long.
func (p *Planner) startPending(r *round) {
	for _, e := range slices.Clone(p.pending) {
		if !e.claims {
			continue
		}
		late := r.now.Sub(e.started) >= pendingPatience
		if e.queue.phaseOf(e) != queued || late || !e.placesOpen() {
			p.dropPending(e)
			continue
		}
		if !e.placesFree() {
			r.Next = earlier(r.Next, e.started.Add(pendingPatience))
			continue
		}
		holds, g := e.holds, e.guarantee
		p.dropPending(e)
		e.holds, e.guarantee = holds, g
		p.start(r, e)
	}
}

// dropPending gives up the job's claims; it is queued as before.
func (p *Planner) dropPending(e *entry) {
	p.release(e)
	p.pending = slices.DeleteFunc(p.pending, func(other *entry) bool { return other == e })
}

func (e *entry) placesOpen() bool {
	return !slices.ContainsFunc(e.holds, func(h hold) bool { return !h.worker.open() })
}

func (e *entry) placesFree() bool {
	return !slices.ContainsFunc(e.holds, func(h hold) bool {
		return !e.job.Shape.Times(h.members).FitsIn(h.worker.Capacity.Minus(h.worker.held))
	})
}

// makeWay stops work on the worker, that with the least loss first, until
// everything claimed there has room. Claims of borrowed work are dropped first.
func (p *Planner) makeWay(r *round, e *entry, w *worker, reason state.Reason) {
	leaving := state.Resources{}
	var victims []*entry
	for other, members := range w.jobs {
		switch {
		case other == e || other.tenure != borrowed:
		case reason == state.RackMoved && !other.movableFor(e) && other.queue.phaseOf(other) != stopping:
		case e.tenure != covered && other.job.Urgency == state.Urgent:
		case other.claims:
			if e.tenure == covered {
				victims = append(victims, other)
			}
		case other.queue.phaseOf(other) == stopping:
			leaving = leaving.Plus(other.job.Shape.Times(members))
		default:
			victims = append(victims, other)
		}
	}
	slices.SortFunc(victims, func(a, b *entry) int {
		return cmp.Or(
			compareBool(b.claims, a.claims),
			cmp.Compare(a.job.Urgency/state.Urgent, b.job.Urgency/state.Urgent),
			cmp.Compare(a.loss(r.now), b.loss(r.now)),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	for _, victim := range victims {
		short := state.Resources{}.Minus(w.free().Plus(leaving))
		if short.FitsIn(state.Resources{}) {
			return
		}
		amount := victim.job.Shape.Times(w.jobs[victim])
		if smaller(amount, short).FitsIn(state.Resources{}) {
			continue
		}
		if victim.claims {
			p.dropPending(victim)
			continue
		}
		leaving = leaving.Plus(amount)
		p.stop(r, victim, e, reason)
	}
}

func (p *Planner) stop(r *round, victim, beneficiary *entry, reason state.Reason) {
	victim.queue.stop(victim)
	if reason == state.RackMoved {
		victim.moves++
	}
	r.Reclaims = append(r.Reclaims, Reclaim{
		Job:        victim.job.ID,
		Attempt:    victim.attempt,
		Reason:     reason,
		For:        beneficiary.job.ID,
		Checkpoint: victim.job.Checkpointable,
		Deadline:   r.now.Add(reclaimWithin),
	})
}

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
