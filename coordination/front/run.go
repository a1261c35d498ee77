package front

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// submission is the state of one job's run in a zone, across changes of its planner.
type submission struct {
	job state.Job
	// acceptedBy is the planner that has accepted the job.
	acceptedBy netip.AddrPort
	// maybeAccepted is set once any planner may have accepted the job.
	maybeAccepted bool
	// lastAnswer is when a planner last answered, at first the start of the run.
	lastAnswer time.Time
}

// runInZone submits the job to the zone's planner and waits for the outcome. After a
// change of planner it submits the job again with the same ID: the new planner finds
// it running on the workers or queues it.
func (f *Front) runInZone(ctx context.Context, zone string, job state.Job) state.Progress {
	s := &submission{job: job, lastAnswer: f.Now()}
	for {
		progress, err := f.submitAndAwait(ctx, zone, s)
		if err == nil && (progress.Done || ctx.Err() != nil) {
			return withJob(progress, job.ID)
		}
		if err == nil {
			s.lastAnswer = f.Now()
			continue
		}
		f.Count(state.ReasonOf(err, state.HomeUnreachable))
		if final, done := f.finalFailure(s, err); done {
			return final
		}
		if !pause.For(ctx, retryPause) {
			return withJob(state.Progress{}, job.ID)
		}
	}
}

// submitAndAwait submits the job if the current planner has not accepted it yet, and
// waits for its outcome in one call.
func (f *Front) submitAndAwait(ctx context.Context, zone string, s *submission) (state.Progress, error) {
	planner, found := f.Planner(zone)
	if !found {
		return state.Progress{}, state.NewStepError("find the planner of zone "+zone, planner, state.HomeUnreachable, nil)
	}
	if planner != s.acceptedBy {
		if err := f.submit(ctx, planner, s); err != nil {
			return state.Progress{}, err
		}
	}
	progress, err := f.await(ctx, planner, s)
	if err != nil && !state.IsAmbiguous(err) {
		s.acceptedBy = netip.AddrPort{}
	}
	return progress, err
}

func (f *Front) submit(ctx context.Context, planner netip.AddrPort, s *submission) error {
	ctx, cancel := context.WithTimeout(ctx, awaitWait+callTimeout)
	defer cancel()
	err := f.Submit(ctx, planner, s.job, s.maybeAccepted)
	if err == nil {
		s.acceptedBy = planner
	}
	s.maybeAccepted = s.maybeAccepted || err == nil || state.IsAmbiguous(err)
	return err
}

func (f *Front) await(ctx context.Context, planner netip.AddrPort, s *submission) (state.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitWait+callTimeout)
	defer cancel()
	return f.Await(ctx, planner, s.job.ID, awaitWait)
}

// finalFailure returns the final progress after an error, and whether the run is over:
// the queue is full, or no planner has answered for too long.
func (f *Front) finalFailure(s *submission, err error) (state.Progress, bool) {
	reason := state.ReasonOf(err, state.HomeUnreachable)
	if reason == state.QueueFull && !s.maybeAccepted {
		return refusal(s.job.ID, reason), true
	}
	unanswered := f.Now().Sub(s.lastAnswer)
	if !s.maybeAccepted && unanswered >= noPlannerLimit {
		return refusal(s.job.ID, state.HomeUnreachable), true
	}
	if unanswered < unknownLimit {
		return state.Progress{}, false
	}
	outcome := state.Outcome{Job: s.job.ID, Ran: state.OutcomeUnknown, Reason: state.HomeUnreachable}
	return state.Progress{Done: true, Phase: state.JobDone, Outcome: outcome}, true
}

// callPlanner calls the planner of the job's zone, and retries while there is none
// that can be reached.
func (f *Front) callPlanner(ctx context.Context, job state.JobID, call func(ctx context.Context, planner netip.AddrPort) error) error {
	began := f.Now()
	for {
		planner, found := f.Planner(job.AvailabilityZone())
		err := error(state.NewStepError("find the planner of job "+string(job), planner, state.HomeUnreachable, nil))
		if found {
			err = callOnce(ctx, planner, call)
		}
		if err == nil || !isPlannerUnavailable(err) || f.Now().Sub(began) > noPlannerLimit {
			return err
		}
		f.Count(state.ReasonOf(err, state.HomeUnreachable))
		if !pause.For(ctx, retryPause) {
			return err
		}
	}
}

func callOnce(ctx context.Context, planner netip.AddrPort, call func(ctx context.Context, planner netip.AddrPort) error) error {
	ctx, cancel := context.WithTimeout(ctx, awaitWait+callTimeout)
	defer cancel()
	return call(ctx, planner)
}

// isPlannerUnavailable reports whether the call failed because the planner has changed
// or cannot be reached, so that it may be retried.
func isPlannerUnavailable(err error) bool {
	switch state.ReasonOf(err, state.HomeUnreachable) {
	case state.HomeMoved, state.HomeUnreachable, state.ConnectionLost:
		return true
	default:
		return false
	}
}

func withJob(progress state.Progress, job state.JobID) state.Progress {
	progress.Outcome.Job = job
	return progress
}
