package workload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// waveHold is the time between a wave's submission and its cancellation.
const waveHold = 500 * time.Millisecond

// wave has a number of long jobs accepted and cancels them all at once; a
// job's time counts from the moment at which its cancellation was due.
func (r *Runner) wave(ctx context.Context, q request) {
	job := r.Plan.job(q)
	var all sync.WaitGroup
	for n := range r.Plan.WaveJobs {
		all.Go(func() { r.cancelled(ctx, q, job, n) })
	}
	all.Wait()
}

func (r *Runner) cancelled(ctx context.Context, q request, job *state.Job, n int) {
	id, err := r.Accept(ctx, r.entry(q, n), job)
	if err != nil {
		r.failed(ctx, q, err)
		return
	}
	due := q.due + waveHold
	if !pause.For(ctx, -r.since(due)) {
		r.results.noteUnfinished(q.class)
		return
	}
	if err := r.Cancel(ctx, r.entry(q, n+1), id); err != nil {
		r.failed(ctx, q, err)
		return
	}
	progress, err := r.await(ctx, q, id)
	switch {
	case err != nil:
		r.failed(ctx, q, err)
	case progress.Outcome.Reason == state.Cancelled:
		r.results.noteServed(q.class, due, r.since(due), 0)
	case progress.Outcome.Ran == state.RanWhole && r.since(due) < waveRunTime-waveHold:
		r.results.noteWrong(fmt.Sprintf("request %d: job %s of %v ran whole although it was cancelled", q.number, id, waveRunTime))
	default:
		r.results.noteRefused(q.class, progress.Outcome.Reason)
	}
}

// failed counts a job of a wave that has no outcome.
func (r *Runner) failed(ctx context.Context, q request, err error) {
	switch {
	case ctx.Err() != nil:
		r.results.noteUnfinished(q.class)
	case state.IsAmbiguous(err):
		r.results.noteUnknown(q.class, state.ReasonOf(err, state.ConnectionLost))
	default:
		r.results.noteRefused(q.class, state.ReasonOf(err, state.ConnectionLost))
	}
}
