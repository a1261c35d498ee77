package dispatch

import (
	"context"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// findInterval is the least time between two reads of the saved jobs on
// account of unknown ones.
const findInterval = 500 * time.Millisecond

// find returns a job's record. A job that another planner of the zone accepted
// while both believed that they were it is in the store alone, so the saved jobs
// are read again before a job is called unknown.
func (d *Dispatcher) find(ctx context.Context, step string, job state.JobID) (*record, error) {
	if r, found := d.records.Get(job); found {
		return r, nil
	}
	if reason := d.unknown(); reason != state.UnknownJob {
		return nil, d.notFound(step, job, reason)
	}
	if err := d.reloadSince(ctx, d.Now()); err != nil {
		return nil, d.notFound(step, job, state.ReasonOf(err, state.StoreUnavailable))
	}
	if r, found := d.records.Get(job); found {
		return r, nil
	}
	return nil, d.notFound(step, job, state.UnknownJob)
}

func (d *Dispatcher) notFound(step string, job state.JobID, reason state.Reason) error {
	return stepError(step+" "+string(job), reason)
}

// reloadSince returns once the saved jobs were read in a read that began after
// the time given; many callers share one read.
func (d *Dispatcher) reloadSince(ctx context.Context, asked time.Time) error {
	select {
	case began := <-d.reloaded:
		defer func() { d.reloaded <- began }()
		if began.After(asked) {
			return nil
		}
		if !pause.For(ctx, findInterval-d.Now().Sub(began)) {
			return ctx.Err()
		}
		began = d.Now()
		return d.reload(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}
