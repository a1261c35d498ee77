package planning

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// CancelResult is what Cancel found of the job.
type CancelResult uint8

// The results of a cancel.
const (
	// CancelUnknown means that the planner does not know the job.
	CancelUnknown CancelResult = iota
	// CancelQueued means that the job was queued and has been removed; the current attempt
	// never started.
	CancelQueued
	// CancelRunning means that the job has been started: the caller must stop it and then
	// call Ended.
	CancelRunning
)

// Submit queues the job and returns "", or the reason why it can never start. Submitting a
// known job again has no effect and returns "".
func (p *Planner) Submit(job state.Job) state.Reason { return p.SubmitAfterAttempt(job, 0) }

// SubmitAfterAttempt is Submit for a job that another planner may have attempted: the
// attempts made here are numbered from last+1.
func (p *Planner) SubmitAfterAttempt(job state.Job, last state.Attempt) state.Reason {
	q, known := p.queues.get(job.Organisation)
	if !known {
		return state.NoManifest
	}
	if q == nil {
		return state.UnknownOrganisation
	}
	if job.Members < 1 || job.Shape.CountIn(job.Shape) < 1 || p.feasibility.neverFits(&job, p.availabilityZone) {
		return state.NeverFits
	}
	e := &jobEntry{job: job, queue: q, estimatedRunTime: p.estimateRunTime(&job), attempt: last}
	q.mu.Lock()
	defer q.mu.Unlock()
	if reason := q.refusalReason(&job); reason != "" {
		return reason
	}
	if !p.jobs.PutNew(job.ID, e) {
		return ""
	}
	q.insert(e)
	return ""
}

func (p *Planner) estimateRunTime(job *state.Job) time.Duration {
	return max(p.Estimate(job.Organisation, job.Kind, job.DeclaredRunTime), minEstimate)
}

// Cancel removes a queued job, in constant time, or marks a started one as cancelled.
func (p *Planner) Cancel(job state.JobID) CancelResult {
	e, found := p.jobs.Get(job)
	if !found {
		return CancelUnknown
	}
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	switch e.phase {
	case ended:
		return CancelUnknown
	case queued:
		p.removeQueued(e)
		return CancelQueued
	default:
		e.cancelled = true
		return CancelRunning
	}
}

// Withdraw removes a queued job and reports whether it was queued.
func (p *Planner) Withdraw(job state.JobID) bool {
	e, found := p.jobs.Get(job)
	if !found {
		return false
	}
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	if e.phase != queued {
		return false
	}
	p.removeQueued(e)
	return true
}

// removeQueued removes a queued job; the caller holds its queue's lock.
func (p *Planner) removeQueued(e *jobEntry) {
	e.queue.remove(e)
	e.phase = ended
	p.jobs.Delete(e.job.ID)
}

// Started records that every member of the attempt runs.
func (p *Planner) Started(job state.JobID, attempt state.Attempt) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	e := p.findActive(job, attempt)
	if e == nil {
		return
	}
	e.started = p.Now()
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	if e.phase == starting {
		e.phase = running
	}
}

// Requeue records that no member of the attempt runs any more and queues the job again by
// its submission time, to start no earlier than notBefore and at first not on the workers
// to avoid. A job that was cancelled in the meantime ends instead.
func (p *Planner) Requeue(job state.JobID, attempt state.Attempt, notBefore time.Time, avoid []netip.AddrPort) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	e := p.findActive(job, attempt)
	if e == nil {
		return
	}
	p.releaseHolds(e)
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	if e.cancelled {
		e.phase = ended
		p.jobs.Delete(job)
		return
	}
	e.notBefore = notBefore
	e.avoidedWorkers = slices.Clone(avoid)
	e.queue.insert(e)
}

// Ended records that the attempt finished, failed for good or was cancelled, and that none
// of its members runs any more.
func (p *Planner) Ended(job state.JobID, attempt state.Attempt) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	e := p.findActive(job, attempt)
	if e == nil {
		return
	}
	p.releaseHolds(e)
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	e.phase = ended
	p.jobs.Delete(job)
}

// Restore adds a job that was found running on workers, for instance after a change of
// planner.
func (p *Planner) Restore(job state.Job, attempt state.Attempt, placements []state.Placement, started time.Time) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	e := &jobEntry{job: job, queue: p.queues.getOrCreate(job.Organisation), estimatedRunTime: p.estimateRunTime(&job), phase: running}
	if !p.jobs.PutNew(job.ID, e) {
		e, _ = p.jobs.Get(job.ID)
		if e == nil || !p.takeFromQueue(e, attempt) {
			return
		}
	}
	e.queue.markRestored(e, attempt)
	e.started = started
	e.entitlement = e.defaultEntitlement()
	for _, placement := range placements {
		if w := p.zone.workers[placement.Worker]; w != nil {
			e.holds = append(e.holds, hold{worker: w, members: placement.Members})
		}
	}
	p.addUsage(e, 1)
	p.attachRestored(e)
	for _, h := range e.holds {
		p.releaseUnavailablePins(h.worker)
	}
	p.guaranteesStale = true
}

// takeFromQueue removes a queued job for a restored attempt. It reports false if the job
// has already been started or had a later attempt.
func (p *Planner) takeFromQueue(e *jobEntry, attempt state.Attempt) bool {
	if e.awaitsReclaim {
		p.dropPending(e)
	}
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	if e.phase != queued || attempt < e.attempt {
		return false
	}
	e.queue.remove(e)
	return true
}

// attachRestored puts a restored job on a guarantee of its organisation that its members
// fit into, and moves the idle pins of that guarantee to the job's workers.
func (p *Planner) attachRestored(e *jobEntry) {
	for _, g := range p.guarantees {
		membersPerUnit := e.job.Shape.CountIn(g.Shape)
		if g.organisation != e.job.Organisation || membersPerUnit == 0 || len(e.holds) == 0 {
			continue
		}
		units := 0
		for _, h := range e.holds {
			units += unitsFor(h.members, membersPerUnit)
		}
		if g.usedUnits+units > g.Members || !p.adjacentToUsedPins(g, e) {
			continue
		}
		p.addUsage(e, -1)
		for i := range e.holds {
			e.holds[i].units = unitsFor(e.holds[i].members, membersPerUnit)
		}
		e.guarantee, e.entitlement = g, guaranteed
		g.unpinIdle()
		for _, h := range e.holds {
			current := g.pins[h.worker]
			current.units += h.units
			g.setPin(h.worker, current)
		}
		p.addUsage(e, 1)
		return
	}
}

// adjacentToUsedPins reports whether the guarantee's used pins and the job's workers
// together satisfy the guarantee's adjacency rule.
func (p *Planner) adjacentToUsedPins(g *guarantee, e *jobEntry) bool {
	var workers []*worker
	for w, current := range g.pins {
		if current.used > 0 {
			workers = append(workers, w)
		}
	}
	for _, h := range e.holds {
		workers = append(workers, h.worker)
	}
	return satisfiesAdjacency(workers, g.Adjacency, p.feasibility.maxRacks(g.Shape, g.Members, g.Adjacency))
}

// findActive returns the job if the attempt is its current one and has been started,
// otherwise nil.
func (p *Planner) findActive(job state.JobID, attempt state.Attempt) *jobEntry {
	e, found := p.jobs.Get(job)
	if !found || e.attempt != attempt {
		return nil
	}
	if phase := e.queue.phaseOf(e); phase == queued || phase == ended {
		return nil
	}
	return e
}

// releaseHolds frees the resources that the job holds or claims.
func (p *Planner) releaseHolds(e *jobEntry) {
	p.addUsage(e, -1)
	if e.entitlement != borrowed {
		p.guaranteesStale = true
	}
	if e.guarantee != nil {
		e.guarantee.trimExcess()
	}
	e.holds = nil
	e.guarantee = nil
	e.awaitsReclaim = false
}

// addUsage adds the job's holds to the usage of its workers, guarantee and organisation, or
// subtracts them if sign is -1.
func (p *Planner) addUsage(e *jobEntry, sign int) {
	for _, h := range e.holds {
		h.worker.addUsage(e, h.members, sign)
		if e.guarantee != nil && !h.worker.lost {
			current := e.guarantee.pins[h.worker]
			current.used += h.units * sign
			current.units = max(current.units, current.used)
			if !h.worker.acceptsWork() {
				current.units = current.used
			}
			e.guarantee.setPin(h.worker, current)
		}
	}
	e.queue.addUsage(e.job.Total().Times(sign), e.entitlement != guaranteed)
}

// unitsFor returns the units that the members take, rounded up.
func unitsFor(members, membersPerUnit int) int {
	return (members + membersPerUnit - 1) / membersPerUnit
}
