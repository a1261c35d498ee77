package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"comfreystream/state"
)

const (
	// awaitWait is how long one Await call waits for an outcome; it also bounds how
	// long a dead connection goes unnoticed.
	awaitWait = 4 * time.Second
	// callTimeout is how long a call may take in addition to its wait.
	callTimeout = 2 * time.Second
	// retryPause is the wait after a failed call.
	retryPause = 150 * time.Millisecond
	// noPlannerLimit is how long a request is retried while no planner accepts it.
	noPlannerLimit = 10 * time.Second
	// unknownLimit is how long a job that a planner may have accepted can go without
	// an answer from any planner before its outcome is reported as unknown.
	unknownLimit = time.Minute
)

// Front serves the callers of one entry. It has no state of its own and is safe for
// concurrent use.
type Front struct {
	Now func() time.Time
	// Planner returns the entry that this one knows as the planner of the zone.
	Planner func(availabilityZone string) (planner netip.AddrPort, found bool)
	// Zones returns the zones to try for a job, best first.
	Zones func(job *state.Job) []string
	// Submit, Accept, Await and Cancel call the planner, which may be this entry. In
	// Submit, again says that a planner may have accepted the job before.
	Submit func(ctx context.Context, planner netip.AddrPort, job state.Job, again bool) error
	Accept func(ctx context.Context, planner netip.AddrPort, job state.Job) error
	Await  func(ctx context.Context, planner netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error)
	Cancel func(ctx context.Context, planner netip.AddrPort, job state.JobID) error
	// Count is called with the reason of each retry and refusal.
	Count func(reason state.Reason)
}

// Run runs the job in one of its zones and returns its outcome. If ctx ends first,
// the job continues, and the progress returned holds its ID and is not done.
func (f *Front) Run(ctx context.Context, job state.Job) state.Progress {
	last := refusal(job.ID, state.UnknownZone)
	for _, zone := range f.zonesOf(&job) {
		job.ID = newJobID(zone)
		last = f.runInZone(ctx, zone, job)
		if !last.Done || !canTryNextZone(last.Outcome) {
			return last
		}
		f.Count(last.Outcome.Reason)
	}
	return last
}

// RunAsync returns once a planner has durably accepted the job; its outcome can be
// requested later.
func (f *Front) RunAsync(ctx context.Context, job state.Job) (state.JobID, error) {
	err := error(state.NewStepError("accept", netip.AddrPort{}, state.UnknownZone, nil))
	for _, zone := range f.zonesOf(&job) {
		job.ID = newJobID(zone)
		err = f.callPlanner(ctx, job.ID, func(ctx context.Context, planner netip.AddrPort) error {
			return f.Accept(ctx, planner, job)
		})
		if err == nil || state.IsAmbiguous(err) || !dependsOnZone(state.ReasonOf(err, state.HomeUnreachable)) {
			break
		}
	}
	return job.ID, err
}

// Outcome returns the progress of a job submitted through any entry, after waiting
// up to wait, but at most awaitWait, for its outcome.
func (f *Front) Outcome(ctx context.Context, job state.JobID, wait time.Duration) (progress state.Progress, err error) {
	err = f.callPlanner(ctx, job, func(ctx context.Context, planner netip.AddrPort) (err error) {
		progress, err = f.Await(ctx, planner, job, min(wait, awaitWait))
		return err
	})
	return withJob(progress, job), err
}

// Stop cancels a job submitted through any entry.
func (f *Front) Stop(ctx context.Context, job state.JobID) error {
	return f.callPlanner(ctx, job, func(ctx context.Context, planner netip.AddrPort) error {
		return f.Cancel(ctx, planner, job)
	})
}

// zonesOf returns the zones to try for the job: that in its ID, if there is one.
func (f *Front) zonesOf(job *state.Job) []string {
	if zone := job.ID.AvailabilityZone(); zone != "" {
		return []string{zone}
	}
	return f.Zones(job)
}

// newJobID returns a random job ID in the zone.
func newJobID(availabilityZone string) state.JobID {
	return state.NewJobID(availabilityZone, fmt.Sprintf("%016x", rand.Uint64()))
}

// canTryNextZone reports whether another zone may run a job with this outcome.
func canTryNextZone(outcome state.Outcome) bool {
	return outcome.Ran == state.NotRun && dependsOnZone(outcome.Reason)
}

// dependsOnZone reports whether another zone may accept a job that one zone has
// refused for the reason.
func dependsOnZone(reason state.Reason) bool {
	switch reason {
	case state.NeverFits, state.HomeUnreachable, state.NoManifest, state.QueueFull:
		return true
	default:
		return false
	}
}

// refusal returns the final progress of a job that was refused.
func refusal(job state.JobID, reason state.Reason) state.Progress {
	return state.Progress{Done: true, Phase: state.JobDone, Outcome: state.Refusal(job, reason)}
}
