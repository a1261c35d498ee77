package planning

import (
	"time"

	"comfreystream/state"
)

// baseline is the simple policy that the planner is compared with: first come first served,
// each job on the first workers that fit, without guarantees, urgency or reclaims. Its
// planner only accounts for the resources in use.
type baseline struct {
	planner *Planner
	queue   []*jobEntry
}

func newBaseline(s site, now func() time.Time) *baseline {
	b := &baseline{planner: New("z1")}
	b.planner.Now = now
	for i := range s.workers {
		b.planner.PutWorker(s.worker(i))
	}
	return b
}

func (b *baseline) submit(job state.Job) state.Reason {
	if b.planner.feasibility.maxRacks(job.Shape, job.Members, job.Adjacency) == 0 {
		return state.NeverFits
	}
	e := &jobEntry{job: job, queue: b.planner.queues.getOrCreate(job.Organisation), entitlement: nonPreemptible}
	b.planner.jobs.Put(job.ID, e)
	b.queue = append(b.queue, e)
	return ""
}

func (b *baseline) cancel(job state.JobID) CancelResult {
	for i, e := range b.queue {
		if e.job.ID == job {
			b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
			return CancelQueued
		}
	}
	return CancelUnknown
}

func (b *baseline) plan() (r Round) {
	for len(b.queue) > 0 {
		e := b.queue[0]
		assignments := b.firstFit(e)
		if assignments == nil {
			return r
		}
		b.queue = b.queue[1:]
		for _, a := range assignments {
			e.holds = append(e.holds, hold{worker: a.worker, members: a.members})
		}
		e.attempt = 1
		b.planner.addUsage(e, 1)
		r.Starts = append(r.Starts, Start{Job: &e.job, Attempt: 1, Placements: e.placements()})
	}
	return r
}

func (b *baseline) ended(job state.JobID, _ state.Attempt) {
	e, _ := b.planner.jobs.Delete(job)
	b.planner.addUsage(e, -1)
}

// firstFit returns the first workers on which the whole job fits under its adjacency rule,
// or nil.
func (b *baseline) firstFit(e *jobEntry) []assignment {
	racks := b.planner.zone.racks
	maxRacks := len(racks)
	switch e.job.Adjacency {
	case state.SameRack:
		maxRacks = 1
	case state.AdjacentRacks:
		maxRacks = b.planner.feasibility.maxRacks(e.job.Shape, e.job.Members, e.job.Adjacency)
	}
	for first := range racks {
		var assignments []assignment
		unplaced := e.job.Members
		for i := first; i < len(racks) && i < first+maxRacks && unplaced > 0; i++ {
			before := unplaced
			for _, w := range racks[i].workers {
				placed := min(unplaced, e.job.Shape.CountIn(w.free()))
				if placed > 0 {
					assignments = append(assignments, assignment{w, placed})
					unplaced -= placed
				}
			}
			if unplaced == before && e.job.Adjacency != state.AnyRack {
				break
			}
		}
		if unplaced == 0 {
			return assignments
		}
	}
	return nil
}
