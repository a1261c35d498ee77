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
	initialRetryDelay = 100 * time.Millisecond
	awaitTimeout      = 5 * time.Second
)

// submit submits the request's job, retries if necessary, and checks the outcome.
func (r *Runner) submit(ctx context.Context, q request) {
	job := r.Plan.job(q)
	outcome, err := r.submitWithRetries(ctx, q, job)
	switch {
	case err != nil && ctx.Err() != nil:
		r.results.countUnfinished(q.class)
	case err != nil:
		r.results.countUnknown(q.class, state.ReasonOf(err, state.ConnectionLost))
	default:
		r.checkOutcome(ctx, q, job, outcome)
	}
}

// checkOutcome counts an outcome and records it if it violates a guarantee.
func (r *Runner) checkOutcome(ctx context.Context, q request, job *state.Job, o state.Outcome) {
	switch {
	case o.Ran == state.OutcomeUnknown:
		r.results.countUnknown(q.class, o.Reason)
		return
	case o.Ran == state.NotRun:
		r.results.countRefused(q.class, o.Reason)
		if q.class == NeverRuns && o.Reason == state.NeverFits {
			r.results.countServed(q.class, q.due, r.elapsedSince(q.due), 0)
		}
		return
	case q.class == NeverRuns:
		r.results.recordViolation(fmt.Sprintf("request %d: job %s ran, although it fits on no worker", q.number, o.Job))
		return
	case !r.Plan.isOwnAnswer(q, job, o.Answer):
		r.results.recordViolation(fmt.Sprintf("request %d: job %s: the answer %.60q belongs to another request or is incomplete", q.number, o.Job, o.Answer))
		return
	}
	r.results.countServed(q.class, q.due, r.elapsedSince(q.due), job.DeclaredRunTime)
	if q.class == NonIdempotent {
		r.resubmit(ctx, q, job)
	}
}

// resubmit submits a non-idempotent job again after it ran; it must not run a second
// time.
func (r *Runner) resubmit(ctx context.Context, q request, job *state.Job) {
	progress, err := r.Submit(ctx, r.entry(q, 1), job)
	if err != nil {
		return
	}
	o := progress.Outcome
	if progress.Done && o.Ran == state.RanToCompletion {
		r.results.recordViolation(fmt.Sprintf("request %d: key %s ran a second time as job %s", q.number, job.Key, o.Job))
		return
	}
	r.results.countRefused(q.class, o.Reason)
}

// submitWithRetries submits the job and waits for its outcome. It submits the job again
// if that is safe and it may run later.
func (r *Runner) submitWithRetries(ctx context.Context, q request, job *state.Job) (state.Outcome, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	for try := 0; ; try++ {
		progress, err := r.Submit(ctx, r.entry(q, try), job)
		if err == nil && !progress.Done {
			progress, err = r.awaitOutcome(ctx, q, progress.Outcome.Job)
		}
		reason, again := retryable(job, progress.Outcome, err)
		if !again || try >= r.Plan.Retries {
			return progress.Outcome, err
		}
		r.results.countRetried(q.class, reason)
		if !pause.For(ctx, delays.NextBackOff()) {
			return progress.Outcome, ctx.Err()
		}
	}
}

// retryable reports whether to submit the job again, and why the last submission
// failed. It is safe if the job did not run or is idempotent.
func retryable(job *state.Job, o state.Outcome, err error) (reason state.Reason, again bool) {
	if err != nil {
		reason = state.ReasonOf(err, state.ConnectionLost)
		return reason, job.Idempotent || !state.IsAmbiguous(err)
	}
	return o.Reason, o.Ran == state.NotRun && o.Retry
}

// awaitOutcome polls the entries until the job is done.
func (r *Runner) awaitOutcome(ctx context.Context, q request, id state.JobID) (state.Progress, error) {
	for try := 0; ; try++ {
		progress, err := r.Await(ctx, r.entry(q, try), id, awaitTimeout)
		if progress.Done || ctx.Err() != nil {
			return progress, err
		}
		if err != nil && try >= r.Plan.Retries {
			return progress, err
		}
		if err != nil && !pause.For(ctx, initialRetryDelay) {
			return progress, err
		}
	}
}
