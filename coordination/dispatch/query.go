package dispatch

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/coordination/planning"
	"comfreystream/state"
)

// Await waits up to wait for the job's outcome. It fails with unknownJob for a
// job that this planner does not know, and with homeMoved when it gives the zone up.
func (d *Dispatcher) Await(ctx context.Context, job state.JobID, wait time.Duration) (state.Progress, error) {
	r, err := d.find(ctx, "await", job)
	if err != nil {
		return state.Progress{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	case <-ctx.Done():
	case <-d.ctx.Done():
		if progress := d.fetch(r); progress.Done {
			return progress, nil
		}
		return state.Progress{}, d.moved("await " + string(job))
	}
	return d.fetch(r), nil
}

// Cancel ends a job: one that is queued has not run; one that runs is stopped first.
func (d *Dispatcher) Cancel(ctx context.Context, job state.JobID) error {
	r, err := d.find(ctx, "cancel", job)
	if err != nil {
		return err
	}
	attempt, first := r.markCancelled()
	if !first {
		return nil
	}
	d.cancelQueued(r)
	d.spawn(func() { d.stopAttempt(r, attempt, state.Cancelled, nil) })
	return nil
}

// Jobs counts the jobs by phase.
func (d *Dispatcher) Jobs() (byPhase map[state.JobPhase]int) {
	byPhase = make(map[state.JobPhase]int)
	for _, r := range d.records.Values() {
		byPhase[r.progress().Phase]++
	}
	return byPhase
}

// cancelQueued ends the job if the planner still had it queued.
func (d *Dispatcher) cancelQueued(r *record) {
	if d.Planner.Cancel(r.job.ID) != planning.CancelQueued {
		return
	}
	d.Signal()
	d.finish(r, r.refusal(state.Cancelled))
}

// unknown is why a job is not known: after a change of planner it may yet be
// found on workers or in the store.
func (d *Dispatcher) unknown() state.Reason {
	select {
	case <-d.loaded:
		return state.UnknownJob
	default:
		return state.HomeMoved
	}
}

func (d *Dispatcher) moved(step string) error {
	return stepError(step, state.HomeMoved)
}

func (r *record) markCancelled() (attempt state.Attempt, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = !r.cancelled
	r.cancelled = true
	return r.attempt, first
}

func (r *record) isCancelled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled
}

func (r *record) progress() state.Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return state.Progress{Done: !r.ended.IsZero(), Phase: r.lifecycle.Phase(), Outcome: r.outcome}
}

// Members lists the workers of the rack on which the attempt was placed; it is
// empty for an attempt that this planner did not place, which may be on any.
func (d *Dispatcher) Members(attempt state.JobAttempt, rack string) (workers []netip.AddrPort) {
	r, found := d.records.Get(attempt.Job)
	if !found {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempt != attempt.Attempt {
		return nil
	}
	for _, p := range r.placements {
		if p.Rack == rack {
			workers = append(workers, p.Worker)
		}
	}
	return workers
}
