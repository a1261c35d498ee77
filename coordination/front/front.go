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
	// awaitWait is how long one question for an outcome may stay open; a
	// connection that has gone silent is found within it.
	awaitWait = 4 * time.Second
	// callTimeout is what a call may take beyond its wait.
	callTimeout = 2 * time.Second
	// retryPause is the pause before the next call after one that failed.
	retryPause = 150 * time.Millisecond
	// homelessLimit is how long a request may be without any planner that takes it.
	homelessLimit = 10 * time.Second
	// uncertainLimit is how long a job that some planner may have taken in is
	// asked for before its outcome is called unknown.
	uncertainLimit = time.Minute
)

// Front serves callers at one entry; it keeps nothing of its own and is safe
// for several goroutines.
type Front struct {
	Now func() time.Time
	// Planner returns the entry that plans for the zone, by this entry's view.
	Planner func(availabilityZone string) (planner netip.AddrPort, found bool)
	// Zones lists the zones to try for a job, the best first.
	Zones func(job *state.Job) []string
	// Submit, Accept, Await and Cancel reach the planner, which may be this entry.
	Submit func(ctx context.Context, planner netip.AddrPort, job state.Job, again bool) error
	Accept func(ctx context.Context, planner netip.AddrPort, job state.Job) error
	Await  func(ctx context.Context, planner netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error)
	Cancel func(ctx context.Context, planner netip.AddrPort, job state.JobID) error
	// Count counts each retry and refusal by reason.
	Count func(reason state.Reason)
}

// Run has the job run in one of its zones and returns its outcome. When ctx
// ends first, the progress says that the job goes on, and under which identity.
func (f *Front) Run(ctx context.Context, job state.Job) state.Progress {
	last := refused(job.ID, state.UnknownZone)
	for _, zone := range f.zonesOf(&job) {
		job.ID = newID(zone)
		last = f.runIn(ctx, zone, job)
		if !last.Done || !elsewhere(last.Outcome) {
			return last
		}
		f.Count(last.Outcome.Reason)
	}
	return last
}

// RunAsync has the job accepted for good; its outcome is asked for later.
func (f *Front) RunAsync(ctx context.Context, job state.Job) (state.JobID, error) {
	err := error(state.NewStepError("accept", netip.AddrPort{}, state.UnknownZone, nil))
	for _, zone := range f.zonesOf(&job) {
		job.ID = newID(zone)
		err = f.withPlanner(ctx, job.ID, func(ctx context.Context, planner netip.AddrPort) error {
			return f.Accept(ctx, planner, job)
		})
		if err == nil || state.IsAmbiguous(err) || !movesOn(state.ReasonOf(err, state.HomeUnreachable)) {
			break
		}
	}
	return job.ID, err
}

// Outcome waits up to wait for the outcome of a job submitted through any entry.
func (f *Front) Outcome(ctx context.Context, job state.JobID, wait time.Duration) (progress state.Progress, err error) {
	err = f.withPlanner(ctx, job, func(ctx context.Context, planner netip.AddrPort) (err error) {
		progress, err = f.Await(ctx, planner, job, min(wait, awaitWait))
		return err
	})
	return withJob(progress, job), err
}

// Stop cancels a job submitted through any entry.
func (f *Front) Stop(ctx context.Context, job state.JobID) error {
	return f.withPlanner(ctx, job, func(ctx context.Context, planner netip.AddrPort) error {
		return f.Cancel(ctx, planner, job)
	})
}

func (f *Front) zonesOf(job *state.Job) []string {
	if zone := job.ID.AvailabilityZone(); zone != "" {
		return []string{zone}
	}
	return f.Zones(job)
}

// newID returns a fresh identity in the zone.
func newID(availabilityZone string) state.JobID {
	return state.NewJobID(availabilityZone, fmt.Sprintf("%016x", rand.Uint64()))
}

// elsewhere reports whether another zone may run a job that this one did not.
func elsewhere(outcome state.Outcome) bool {
	return outcome.Ran == state.NotRun && movesOn(outcome.Reason)
}

func movesOn(reason state.Reason) bool {
	switch reason {
	case state.NeverFits, state.HomeUnreachable, state.NoManifest, state.QueueFull:
		return true
	default:
		return false
	}
}

func refused(job state.JobID, reason state.Reason) state.Progress {
	return state.Progress{Done: true, Phase: state.JobDone, Outcome: state.Refusal(job, reason)}
}
