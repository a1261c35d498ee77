package front

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// journey is one job's way through the planners of a zone.
type journey struct {
	job state.Job
	// submitted is the planner that has taken the job in.
	submitted netip.AddrPort
	// uncertain is set once any planner may have taken the job in.
	uncertain bool
	// homeless is since when no planner has answered.
	homeless time.Time
}

// runIn submits the job to the zone's planner and waits for the outcome. When
// the planner changes, the job is submitted again under the same identity: the
// next planner finds it on the workers or queues it.
func (f *Front) runIn(ctx context.Context, zone string, job state.Job) state.Progress {
	j := &journey{job: job, homeless: f.Now()}
	for {
		progress, err := f.step(ctx, zone, j)
		if err == nil && (progress.Done || ctx.Err() != nil) {
			return withJob(progress, job.ID)
		}
		if err == nil {
			j.homeless = f.Now()
			continue
		}
		f.Count(state.ReasonOf(err, state.HomeUnreachable))
		if outcome, over := f.giveUp(j, err); over {
			return outcome
		}
		if !pause.For(ctx, retryPause) {
			return withJob(state.Progress{}, job.ID)
		}
	}
}

// step makes one call to the planner of the moment.
func (f *Front) step(ctx context.Context, zone string, j *journey) (state.Progress, error) {
	planner, found := f.Planner(zone)
	if !found {
		return state.Progress{}, state.NewStepError("find planner of "+zone, planner, state.HomeUnreachable, nil)
	}
	if planner != j.submitted {
		if err := f.submit(ctx, planner, j); err != nil {
			return state.Progress{}, err
		}
	}
	progress, err := f.await(ctx, planner, j)
	if err != nil && !state.IsAmbiguous(err) {
		j.submitted = netip.AddrPort{}
	}
	return progress, err
}

func (f *Front) submit(ctx context.Context, planner netip.AddrPort, j *journey) error {
	ctx, cancel := context.WithTimeout(ctx, awaitWait+callTimeout)
	defer cancel()
	err := f.Submit(ctx, planner, j.job, j.uncertain)
	if err == nil {
		j.submitted = planner
	}
	j.uncertain = j.uncertain || err == nil || state.IsAmbiguous(err)
	return err
}

func (f *Front) await(ctx context.Context, planner netip.AddrPort, j *journey) (state.Progress, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitWait+callTimeout)
	defer cancel()
	return f.Await(ctx, planner, j.job.ID, awaitWait)
}

// giveUp ends a journey on which no planner has answered for too long.
func (f *Front) giveUp(j *journey, err error) (state.Progress, bool) {
	reason := state.ReasonOf(err, state.HomeUnreachable)
	if reason == state.QueueFull && !j.uncertain {
		return refused(j.job.ID, reason), true
	}
	homeless := f.Now().Sub(j.homeless)
	if !j.uncertain && homeless >= homelessLimit {
		return refused(j.job.ID, state.HomeUnreachable), true
	}
	if homeless < uncertainLimit {
		return state.Progress{}, false
	}
	outcome := state.Outcome{Job: j.job.ID, Ran: state.Unknown, Reason: state.HomeUnreachable}
	return state.Progress{Done: true, Phase: state.JobDone, Outcome: outcome}, true
}

// withPlanner calls the planner of the job's zone, again after a change of planner.
func (f *Front) withPlanner(ctx context.Context, job state.JobID, call func(ctx context.Context, planner netip.AddrPort) error) error {
	began := f.Now()
	for {
		planner, found := f.Planner(job.AvailabilityZone())
		err := error(state.NewStepError("find planner of "+string(job), planner, state.HomeUnreachable, nil))
		if found {
			err = callOnce(ctx, planner, call)
		}
		if err == nil || !isHomeless(err) || f.Now().Sub(began) > homelessLimit {
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

// isHomeless reports whether the call may be made again to the next planner.
func isHomeless(err error) bool {
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
