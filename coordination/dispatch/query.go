package dispatch

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/coordination/planning"
	"comfreystream/state"
)

// Await waits up to wait for the job's outcome. It fails with unknownJob if this
// planner does not know the job, and with homeMoved if it gives up the planner
// role.
func (d *Dispatcher) Await(ctx context.Context, job state.JobID, wait time.Duration) (state.Progress, error) {
	r, err := d.findRecord(ctx, "await", job)
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
		if progress := d.deliverProgress(r); progress.Done {
			return progress, nil
		}
		return state.Progress{}, d.homeMovedError("await " + string(job))
	}
	return d.deliverProgress(r), nil
}

// Cancel ends a queued job as not run, and stops a running one first.
func (d *Dispatcher) Cancel(ctx context.Context, job state.JobID) error {
	r, err := d.findRecord(ctx, "cancel", job)
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

// CountJobs counts the jobs by phase.
func (d *Dispatcher) CountJobs() (byPhase map[state.JobPhase]int) {
	byPhase = make(map[state.JobPhase]int)
	for _, r := range d.records.Values() {
		byPhase[r.progress().Phase]++
	}
	return byPhase
}

// cancelQueued ends the job if the planner still has it in its queue.
func (d *Dispatcher) cancelQueued(r *record) {
	if d.Planner.Cancel(r.job.ID) != planning.CancelQueued {
		return
	}
	d.RequestPlan()
	d.finishJob(r, r.refusal(state.Cancelled))
}

// reasonNotFound returns homeMoved until the saved jobs have been read, since a
// new planner may yet find the job on workers or in the store, and unknownJob
// after that.
func (d *Dispatcher) reasonNotFound() state.Reason {
	select {
	case <-d.savedJobsLoaded:
		return state.UnknownJob
	default:
		return state.HomeMoved
	}
}

func (d *Dispatcher) homeMovedError(step string) error {
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

// PlacedWorkers lists the workers of the rack on which this planner placed the
// attempt. It is empty for any other attempt, whose members may be on any
// worker.
func (d *Dispatcher) PlacedWorkers(attempt state.JobAttempt, rack string) (workers []netip.AddrPort) {
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
