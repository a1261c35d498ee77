package dispatch

import (
	"context"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// minReloadInterval is the minimum time between two reads of the saved jobs that
// unknown jobs cause.
const minReloadInterval = 500 * time.Millisecond

// findRecord returns a job's record. While two entries both believed that they
// were the planner, the other one may have accepted jobs that only the store
// has; the saved jobs are therefore read again before a job is reported as
// unknown.
func (d *Dispatcher) findRecord(ctx context.Context, step string, job state.JobID) (*record, error) {
	if r, found := d.records.Get(job); found {
		return r, nil
	}
	if reason := d.reasonNotFound(); reason != state.UnknownJob {
		return nil, d.notFoundError(step, job, reason)
	}
	if err := d.ensureReloadedSince(ctx, d.Now()); err != nil {
		return nil, d.notFoundError(step, job, state.ReasonOf(err, state.StoreUnavailable))
	}
	if r, found := d.records.Get(job); found {
		return r, nil
	}
	return nil, d.notFoundError(step, job, state.UnknownJob)
}

func (d *Dispatcher) notFoundError(step string, job state.JobID, reason state.Reason) error {
	return stepError(step+" "+string(job), reason)
}

// ensureReloadedSince returns once a read of the saved jobs that began after the
// given time has ended; concurrent callers share one read.
func (d *Dispatcher) ensureReloadedSince(ctx context.Context, asked time.Time) error {
	select {
	case began := <-d.lastReload:
		defer func() { d.lastReload <- began }()
		if began.After(asked) {
			return nil
		}
		if !pause.For(ctx, minReloadInterval-d.Now().Sub(began)) {
			return ctx.Err()
		}
		began = d.Now()
		return d.reload(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}
