package planning

import (
	"net/netip"
	"slices"
	"time"

	"comfreystream/state"
)

// CancelResult says what a cancelled job was.
type CancelResult uint8

// The results of a cancel.
const (
	// CancelUnknown means that the planner does not know the job.
	CancelUnknown CancelResult = iota
	// CancelQueued means that the job is gone and did not run in this attempt.
	CancelQueued
	// CancelRunning means that the caller must stop the job and then call Ended.
	CancelRunning
)

// Submit queues the job and returns "", or the reason why it can never start.
// A job that is known already is accepted without effect.
func (p *Planner) Submit(job state.Job) state.Reason { return p.SubmitAfter(job, 0) }

// SubmitAfter is Submit for a job that may have had attempts elsewhere: its
// attempts here have numbers above last.
func (p *Planner) SubmitAfter(job state.Job, last state.Attempt) state.Reason {
	q, known := p.queues.get(job.Organisation)
	if !known {
		return state.NoManifest
	}
	if q == nil {
		return state.UnknownOrganisation
	}
	if job.Members < 1 || job.Shape.CountIn(job.Shape) < 1 || p.sizes.neverFits(&job, p.availabilityZone) {
		return state.NeverFits
	}
	e := &entry{job: job, queue: q, estimate: p.estimate(&job), attempt: last}
	q.mu.Lock()
	defer q.mu.Unlock()
	if reason := q.refuse(&job); reason != "" {
		return reason
	}
	if !p.jobs.PutNew(job.ID, e) {
		return ""
	}
	q.insert(e)
	return ""
}

func (p *Planner) estimate(job *state.Job) time.Duration {
	return max(p.Estimate(job.Organisation, job.Kind, job.DeclaredRunTime), shortestEstimate)
}

// Cancel takes a queued job out, in constant time, or says that it runs.
func (p *Planner) Cancel(job state.JobID) CancelResult {
	e, found := p.jobs.Get(job)
	if !found {
		return CancelUnknown
	}
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	switch e.phase {
	case gone:
		return CancelUnknown
	case queued:
		p.drop(e)
		return CancelQueued
	default:
		e.cancelled = true
		return CancelRunning
	}
}

// Withdraw takes a queued job out and reports whether it was queued.
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
	p.drop(e)
	return true
}

// drop forgets a queued job; the caller has its queue's lock.
func (p *Planner) drop(e *entry) {
	e.queue.remove(e)
	e.phase = gone
	p.jobs.Delete(e.job.ID)
}

// Started says that every member of the attempt runs.
func (p *Planner) Started(job state.JobID, attempt state.Attempt) {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	e := p.find(job, attempt)
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

// Requeue says that no member of the attempt runs any more and puts the job
// back by its age, not to start before notBefore nor on the workers to avoid.
// A job that was cancelled meanwhile ends instead.
func (p *Planner) Requeue(job state.JobID, attempt state.Attempt, notBefore time.Time, avoid []netip.AddrPort) {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	e := p.find(job, attempt)
	if e == nil {
		return
	}
	p.release(e)
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	if e.cancelled {
		e.phase = gone
		p.jobs.Delete(job)
		return
	}
	e.notBefore = notBefore
	e.avoid = slices.Clone(avoid)
	e.queue.insert(e)
}

// Ended says that the attempt finished, failed for good or was cancelled, and
// that no member of it runs any more.
func (p *Planner) Ended(job state.JobID, attempt state.Attempt) {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	e := p.find(job, attempt)
	if e == nil {
		return
	}
	p.release(e)
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	e.phase = gone
	p.jobs.Delete(job)
}

// Restore takes over a running job that was found on workers.
func (p *Planner) Restore(job state.Job, attempt state.Attempt, placements []state.Placement, started time.Time) {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	e := &entry{job: job, queue: p.queues.obtain(job.Organisation), estimate: p.estimate(&job), phase: running}
	if !p.jobs.PutNew(job.ID, e) {
		e, _ = p.jobs.Get(job.ID)
		if e == nil || !p.leaveQueue(e, attempt) {
			return
		}
	}
	e.queue.resume(e, attempt)
	e.started = started
	e.tenure = e.ownTenure()
	for _, placement := range placements {
		if w := p.zone.workers[placement.Worker]; w != nil {
			e.holds = append(e.holds, hold{worker: w, members: placement.Members})
		}
	}
	p.account(e, 1)
	p.coverRestored(e)
	for _, h := range e.holds {
		p.unpinOverfull(h.worker)
	}
	p.unsettled = true
}

// leaveQueue takes a queued job out for a restored attempt and reports false
// if the job runs already.
func (p *Planner) leaveQueue(e *entry, attempt state.Attempt) bool {
	if e.claims {
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

// coverRestored counts a restored job on its organisation's guarantee if it is
// of that shape, and moves the guarantee's idle places to where the job runs.
func (p *Planner) coverRestored(e *entry) {
	for _, g := range p.guarantees {
		perUnit := e.job.Shape.CountIn(g.Shape)
		if g.organisation != e.job.Organisation || perUnit == 0 || len(e.holds) == 0 {
			continue
		}
		units := 0
		for _, h := range e.holds {
			units += unitsFor(h.members, perUnit)
		}
		if g.used+units > g.Members || !p.coversInPlace(g, e) {
			continue
		}
		p.account(e, -1)
		for i := range e.holds {
			e.holds[i].units = unitsFor(e.holds[i].members, perUnit)
		}
		e.guarantee, e.tenure = g, covered
		g.unpinIdle()
		for _, h := range e.holds {
			at := g.pins[h.worker]
			at.units += h.units
			g.setPin(h.worker, at)
		}
		p.account(e, 1)
		return
	}
}

// coversInPlace reports whether the guarantee's used places and the job's
// together keep the guarantee's adjacency.
func (p *Planner) coversInPlace(g *guarantee, e *entry) bool {
	var workers []*worker
	for w, at := range g.pins {
		if at.used > 0 {
			workers = append(workers, w)
		}
	}
	for _, h := range e.holds {
		workers = append(workers, h.worker)
	}
	return adjacent(workers, g.Adjacency, p.sizes.span(g.Shape, g.Members, g.Adjacency))
}

func (p *Planner) find(job state.JobID, attempt state.Attempt) *entry {
	e, found := p.jobs.Get(job)
	if !found || e.attempt != attempt {
		return nil
	}
	if phase := e.queue.phaseOf(e); phase == queued || phase == gone {
		return nil
	}
	return e
}

// release frees what the entry holds or claims.
func (p *Planner) release(e *entry) {
	p.account(e, -1)
	if e.tenure != borrowed {
		p.unsettled = true
	}
	if e.guarantee != nil {
		e.guarantee.trim()
	}
	e.holds = nil
	e.guarantee = nil
	e.claims = false
}

// account adds the entry's holds to workers, guarantee and organisation, or
// takes them away if sign is -1.
func (p *Planner) account(e *entry, sign int) {
	for _, h := range e.holds {
		h.worker.account(e, h.members, sign)
		if e.guarantee != nil && !h.worker.lost {
			at := e.guarantee.pins[h.worker]
			at.used += h.units * sign
			at.units = max(at.units, at.used)
			if !h.worker.open() {
				at.units = at.used
			}
			e.guarantee.setPin(h.worker, at)
		}
	}
	e.queue.use(e.job.Total().Times(sign), e.tenure != covered)
}

func unitsFor(members, perUnit int) int {
	return (members + perUnit - 1) / perUnit
}
