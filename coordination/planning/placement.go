package planning

import (
	"time"

	"comfreystream/state"
)

// place starts the job, or reclaims the room for it, and reports whether the job took
// resources.
func (p *Planner) place(r *round, e *jobEntry) bool {
	if p.Evacuated() {
		e.queue.setWaitReason(e, WaitingForZone)
		return false
	}
	if e.overQuota() {
		e.queue.setWaitReason(e, WaitingForQuota)
		return false
	}
	if e.job.Urgency == state.Urgent {
		if p.placeUrgent(r, e) {
			return true
		}
	} else if p.placeOrdinary(r, e) {
		return true
	}
	e.queue.setWaitReason(e, WaitingForRoom)
	if e.job.Members > 1 {
		r.blockedGangs = append(r.blockedGangs, e)
	}
	return false
}

// waitedAcceleratorTime returns the time since submission multiplied by the job's
// accelerators.
func (e *jobEntry) waitedAcceleratorTime(now time.Time) time.Duration {
	return now.Sub(e.job.Submitted) * time.Duration(max(1, e.job.Total().Accelerators))
}

// placeUrgent prefers the guarantee, even if jobs must be reclaimed there, those of the
// same organisation included.
func (p *Planner) placeUrgent(r *round, e *jobEntry) bool {
	if p.placeOnGuarantee(r, e, freeOnly) || p.placeOnGuaranteeByReclaim(r, e) || p.placeOnFreeRoom(r, e) {
		return true
	}
	if p.freeGuaranteeFor(e) && p.placeOnGuaranteeByReclaim(r, e) {
		return true
	}
	if p.relocateGuaranteeFor(e) && p.placeOnGuaranteeByReclaim(r, e) {
		return true
	}
	return p.placeByReclaim(r, e, freeAndCheckpointable) || p.placeByReclaim(r, e, freeAndPreemptible)
}

// placeOrdinary places a job that is not urgent. A non-preemptible one tries the room
// outside of the guarantee first, since urgent jobs may need the guarantee.
func (p *Planner) placeOrdinary(r *round, e *jobEntry) bool {
	if e.defaultEntitlement() == nonPreemptible && p.placeOnFreeRoom(r, e) {
		return true
	}
	return p.placeOnGuarantee(r, e, freeOnly) || p.placeOnFreeRoom(r, e) || p.placeOnGuaranteeByReclaim(r, e)
}

// placeOnGuaranteeByReclaim reclaims lent units of the guarantee, from checkpointable jobs
// alone if that is enough.
func (p *Planner) placeOnGuaranteeByReclaim(r *round, e *jobEntry) bool {
	return p.placeOnGuarantee(r, e, freeAndCheckpointable) || p.placeOnGuarantee(r, e, freeAndPreemptible)
}

// roomSource is the room that a placement may count on.
type roomSource uint8

const (
	// freeOnly is room that no job holds or claims.
	freeOnly roomSource = iota
	// freeAndCheckpointable adds the room of preemptible jobs that can checkpoint.
	freeAndCheckpointable
	// freeAndPreemptible adds the room of all jobs that the placement may reclaim.
	freeAndPreemptible
)

// placeOnGuarantee places the job on a guarantee of its organisation.
func (p *Planner) placeOnGuarantee(r *round, e *jobEntry, from roomSource) bool {
	for _, g := range p.guarantees {
		if g.organisation != e.job.Organisation {
			continue
		}
		membersPerUnit := e.job.Shape.CountIn(g.Shape)
		if membersPerUnit == 0 || (g.pinnedUnits-g.usedUnits)*membersPerUnit < e.job.Members {
			continue
		}
		count := func(w *worker) int {
			idleUnits := g.idleUnits(w)
			if idleUnits == 0 || !w.acceptsWork() || e.avoids(w) {
				return 0
			}
			room := w.free()
			switch from {
			case freeAndCheckpointable:
				room = room.Plus(w.checkpointable)
			case freeAndPreemptible:
				return idleUnits * membersPerUnit
			}
			return min(idleUnits*membersPerUnit, e.job.Shape.CountIn(room))
		}
		assignments := findLayout(p.zone.racks, p.layoutRequestFor(e), count)
		if assignments == nil {
			continue
		}
		return p.assign(r, e, guaranteed, g, assignments, state.Reclaimed)
	}
	return false
}

// placeOnFreeRoom places the job without reclaiming anything. A borrowed job that cannot
// checkpoint prefers room outside of the guarantees, where it is less likely to lose its
// work to a reclaim.
func (p *Planner) placeOnFreeRoom(r *round, e *jobEntry) bool {
	entitlement := e.defaultEntitlement()
	if entitlement == nonPreemptible && !r.nonPreemptibleAllowed {
		return false
	}
	key := requestKey{shape: e.job.Shape, adjacency: e.job.Adjacency, entitlement: entitlement}
	for _, s := range p.reservations {
		if e.movableFor(s.entry) {
			key.usableReservations++
		}
	}
	cacheable := len(e.avoidedWorkers) == 0 && !p.hasReservation(e)
	if fewest, found := r.fewestFailed[key]; found && cacheable && e.job.Members >= fewest {
		return false
	}
	var assignments []assignment
	if entitlement == borrowed && !e.job.Checkpointable {
		assignments = findLayout(p.zone.racks, p.layoutRequestFor(e), func(w *worker) int {
			return e.job.Shape.CountIn(minResources(p.usableRoom(e, w, w.free()), w.unreserved().Minus(w.borrowedWithoutCheckpoint)))
		})
	}
	if assignments == nil {
		assignments = findLayout(p.zone.racks, p.layoutRequestFor(e), func(w *worker) int {
			return e.job.Shape.CountIn(p.usableRoom(e, w, w.free()))
		})
	}
	if assignments == nil {
		if cacheable && e.job.Adjacency != state.AdjacentRacks {
			r.fewestFailed[key] = e.job.Members
		}
		return false
	}
	return p.assign(r, e, entitlement, nil, assignments, "")
}

// placeByReclaim places an urgent job outside of guarantees by reclaiming preemptible jobs.
func (p *Planner) placeByReclaim(r *round, e *jobEntry, from roomSource) bool {
	entitlement := e.defaultEntitlement()
	if entitlement == nonPreemptible && !r.nonPreemptibleAllowed {
		return false
	}
	assignments := findLayout(p.zone.racks, p.layoutRequestFor(e), func(w *worker) int {
		room := w.free().Plus(w.preemptible)
		if from == freeAndCheckpointable {
			room = w.free().Plus(w.checkpointable)
		}
		return e.job.Shape.CountIn(p.usableRoom(e, w, room))
	})
	if assignments == nil {
		return false
	}
	return p.assign(r, e, entitlement, nil, assignments, state.Reclaimed)
}

// usableRoom returns how much of the free resources on the worker the job may take.
func (p *Planner) usableRoom(e *jobEntry, w *worker, free state.Resources) state.Resources {
	if !w.acceptsWork() || e.avoids(w) || !p.mayUseReserved(e, w) {
		return state.Resources{}
	}
	if e.defaultEntitlement() == nonPreemptible {
		return minResources(free, w.unreserved())
	}
	return free
}

func (p *Planner) layoutRequestFor(e *jobEntry) layoutRequest {
	request := layoutRequest{members: e.job.Members, adjacency: e.job.Adjacency, immovable: !e.job.Checkpointable}
	if request.members > 1 && request.adjacency == state.AdjacentRacks {
		request.maxRacks = p.feasibility.maxRacks(e.job.Shape, e.job.Members, e.job.Adjacency)
	}
	request.fillFragments = p.manifest.Weights.Fragmentation > p.manifest.Weights.CompletionTime
	return request
}

// defaultEntitlement returns the entitlement of the job outside of a guarantee.
func (e *jobEntry) defaultEntitlement() entitlement {
	if e.job.MayBorrow() {
		return borrowed
	}
	return nonPreemptible
}
