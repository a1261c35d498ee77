package planning

import (
	"time"

	"comfreystream/state"
)

// baseline is the plain policy that the planner is measured against: first come
// first served, each job on the first workers that fit. It knows neither
// guarantees nor urgency, and stops nothing. Its planner only keeps the books.
type baseline struct {
	books *Planner
	queue []*entry
}

func newBaseline(s site, now func() time.Time) *baseline {
	b := &baseline{books: New("z1")}
	b.books.Now = now
	for i := range s.workers {
		b.books.PutWorker(s.worker(i))
	}
	return b
}

func (b *baseline) submit(job state.Job) state.Reason {
	if b.books.sizes.span(job.Shape, job.Members, job.Adjacency) == 0 {
		return state.NeverFits
	}
	e := &entry{job: job, queue: b.books.queues.obtain(job.Organisation), tenure: firm}
	b.books.jobs.Put(job.ID, e)
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
		shares := b.firstFit(e)
		if shares == nil {
			return r
		}
		b.queue = b.queue[1:]
		for _, part := range shares {
			e.holds = append(e.holds, hold{worker: part.worker, members: part.members})
		}
		e.attempt = 1
		b.books.account(e, 1)
		r.Starts = append(r.Starts, Start{Job: &e.job, Attempt: 1, Placements: e.placements()})
	}
	return r
}

func (b *baseline) ended(job state.JobID, _ state.Attempt) {
	e, _ := b.books.jobs.Delete(job)
	b.books.account(e, -1)
}

func (b *baseline) firstFit(e *entry) []share {
	racks := b.books.zone.racks
	span := len(racks)
	switch e.job.Adjacency {
	case state.SameRack:
		span = 1
	case state.AdjacentRacks:
		span = b.books.sizes.span(e.job.Shape, e.job.Members, e.job.Adjacency)
	}
	for first := range racks {
		var shares []share
		left := e.job.Members
		for i := first; i < len(racks) && i < first+span && left > 0; i++ {
			before := left
			for _, w := range racks[i].workers {
				here := min(left, e.job.Shape.CountIn(w.free()))
				if here > 0 {
					shares = append(shares, share{w, here})
					left -= here
				}
			}
			if left == before && e.job.Adjacency != state.AnyRack {
				break
			}
		}
		if left == 0 {
			return shares
		}
	}
	return nil
}
