package workload

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

const (
	firstRetryPause = 100 * time.Millisecond
	awaitEach       = 5 * time.Second
)

// submit sends a job until it has an outcome, and checks the outcome.
func (r *Runner) submit(ctx context.Context, q request) {
	job := r.Plan.job(q)
	outcome, err := r.outcome(ctx, q, job)
	switch {
	case err != nil && ctx.Err() != nil:
		r.results.noteUnfinished(q.class)
	case err != nil:
		r.results.noteUnknown(q.class, state.ReasonOf(err, state.ConnectionLost))
	default:
		r.judge(ctx, q, job, outcome)
	}
}

// judge counts the outcome, and notes each that breaks a promise.
func (r *Runner) judge(ctx context.Context, q request, job *state.Job, o state.Outcome) {
	switch {
	case o.Ran == state.Unknown:
		r.results.noteUnknown(q.class, o.Reason)
		return
	case o.Ran == state.NotRun:
		r.results.noteRefused(q.class, o.Reason)
		if q.class == NeverRuns && o.Reason == state.NeverFits {
			r.results.noteServed(q.class, q.due, r.since(q.due), 0)
		}
		return
	case q.class == NeverRuns:
		r.results.noteWrong(fmt.Sprintf("request %d: job %s can never run, and ran", q.number, o.Job))
		return
	case !r.Plan.owns(q, job, o.Answer):
		r.results.noteWrong(fmt.Sprintf("request %d: job %s: answer %.60q is not its own", q.number, o.Job, o.Answer))
		return
	}
	r.results.noteServed(q.class, q.due, r.since(q.due), job.DeclaredRunTime)
	if q.class == NonIdempotent {
		r.repeat(ctx, q, job)
	}
}

// repeat sends a non-idempotent job that ran once more; it must not run again.
func (r *Runner) repeat(ctx context.Context, q request, job *state.Job) {
	progress, err := r.Submit(ctx, r.entry(q, 1), job)
	if err != nil {
		return
	}
	o := progress.Outcome
	if progress.Done && o.Ran == state.RanWhole {
		r.results.noteWrong(fmt.Sprintf("request %d: key %s ran a second time as job %s", q.number, job.Key, o.Job))
		return
	}
	r.results.noteRefused(q.class, o.Reason)
}

// outcome submits the job, again if it did not run and may run later, and
// waits until it is done.
func (r *Runner) outcome(ctx context.Context, q request, job *state.Job) (state.Outcome, error) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstRetryPause
	for try := 0; ; try++ {
		progress, err := r.Submit(ctx, r.entry(q, try), job)
		if err == nil && !progress.Done {
			progress, err = r.await(ctx, q, progress.Outcome.Job)
		}
		reason, again := retryable(job, progress.Outcome, err)
		if !again || try >= r.Plan.Retries {
			return progress.Outcome, err
		}
		r.results.noteRetried(q.class, reason)
		if !pause.For(ctx, waits.NextBackOff()) {
			return progress.Outcome, ctx.Err()
		}
	}
}

// retryable reports whether the same job may be sent again: it did not run, or
// running it twice does no harm.
func retryable(job *state.Job, o state.Outcome, err error) (reason state.Reason, again bool) {
	if err != nil {
		reason = state.ReasonOf(err, state.ConnectionLost)
		return reason, job.Idempotent || !state.IsAmbiguous(err)
	}
	return o.Reason, o.Ran == state.NotRun && o.Retry
}

// await asks for a job until it is done.
func (r *Runner) await(ctx context.Context, q request, id state.JobID) (state.Progress, error) {
	for try := 0; ; try++ {
		progress, err := r.Await(ctx, r.entry(q, try), id, awaitEach)
		if progress.Done || ctx.Err() != nil {
			return progress, err
		}
		if err != nil && try >= r.Plan.Retries {
			return progress, err
		}
		if err != nil && !pause.For(ctx, firstRetryPause) {
			return progress, err
		}
	}
}
