package workload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// cancelDelay is the time between the due time of a wave and its cancellation.
const cancelDelay = 500 * time.Millisecond

// runCancelWave submits a group of long jobs and cancels them together. The completion
// time of each job counts from the time at which its cancellation was due.
func (r *Runner) runCancelWave(ctx context.Context, q request) {
	job := r.Plan.job(q)
	var all sync.WaitGroup
	for n := range r.Plan.WaveJobs {
		all.Go(func() { r.acceptAndCancel(ctx, q, job, n) })
	}
	all.Wait()
}

// acceptAndCancel runs one job of a wave through the entry that n selects.
func (r *Runner) acceptAndCancel(ctx context.Context, q request, job *state.Job, n int) {
	id, err := r.Accept(ctx, r.entry(q, n), job)
	if err != nil {
		r.countFailure(ctx, q, err)
		return
	}
	due := q.due + cancelDelay
	if !pause.For(ctx, -r.elapsedSince(due)) {
		r.results.countUnfinished(q.class)
		return
	}
	if err := r.Cancel(ctx, r.entry(q, n+1), id); err != nil {
		r.countFailure(ctx, q, err)
		return
	}
	progress, err := r.awaitOutcome(ctx, q, id)
	switch {
	case err != nil:
		r.countFailure(ctx, q, err)
	case progress.Outcome.Reason == state.Cancelled:
		r.results.countServed(q.class, due, r.elapsedSince(due), 0)
	case progress.Outcome.Ran == state.RanToCompletion && r.elapsedSince(due) < waveRunTime-cancelDelay:
		r.results.recordViolation(fmt.Sprintf("request %d: job %s of %v ran to completion although it was cancelled", q.number, id, waveRunTime))
	default:
		r.results.countRefused(q.class, progress.Outcome.Reason)
	}
}

// countFailure counts a job of a wave whose acceptance, cancellation or outcome could
// not be obtained.
func (r *Runner) countFailure(ctx context.Context, q request, err error) {
	switch {
	case ctx.Err() != nil:
		r.results.countUnfinished(q.class)
	case state.IsAmbiguous(err):
		r.results.countUnknown(q.class, state.ReasonOf(err, state.ConnectionLost))
	default:
		r.results.countRefused(q.class, state.ReasonOf(err, state.ConnectionLost))
	}
}
