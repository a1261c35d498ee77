package instance

import (
	"context"
	"time"

	"comfreystream/coordination/rollout"
	"comfreystream/protocol/caller"
	"comfreystream/protocol/peer"
	"comfreystream/state"
)

// peerService returns the functions that this entry offers to other entries.
func (i *Instance) peerService() *peer.Service {
	return &peer.Service{
		Submit: i.submitHere,
		Accept: i.acceptHere,
		Await:  i.awaitHere,
		Cancel: i.cancelHere,
		Hold: func(ctx context.Context, h peer.HoldRequest) ([]state.Lease, error) {
			return i.keeper.Hold(ctx, h.Rack, &h.Job, h.Attempt, h.Placements, h.TTL)
		},
		Start: i.keeper.Start,
		Stop: func(ctx context.Context, s peer.StopRequest) (bool, error) {
			return i.keeper.Stop(ctx, s.Rack, s.Attempt, s.Workers)
		},
		Checkpoint: i.keeper.Checkpoint,
		Report:     i.receiveReport,
		Announce: func(context.Context) error {
			i.keeper.ReportInFull()
			return nil
		},
		PushManifest: func(_ context.Context, update rollout.Update) (rollout.ManifestID, error) {
			return i.rollout.Receive(update)
		},
		FetchManifest: i.fetchHere,
	}
}

func (i *Instance) fetchHere(_ context.Context, current rollout.ManifestID) (rollout.Update, error) {
	update, found := i.rollout.Since(current)
	if !found {
		return rollout.Update{}, state.NewStepError("fetch manifest", i.Address(), state.NoManifest, nil)
	}
	return update, nil
}

// callerService returns the functions that this entry offers to callers and operators.
func (i *Instance) callerService() *caller.Service {
	return &caller.Service{
		Submit:   i.submit,
		Accept:   i.accept,
		Await:    i.front.Outcome,
		Cancel:   i.front.Stop,
		Apply:    i.apply,
		Manifest: i.manifestFile,
		Members:  i.members.Live,
		Overview: i.overview,
		Drain: func() error {
			i.Drain()
			return nil
		},
		Ready:   i.ready,
		Metrics: i.metrics.Page,
		Now:     time.Now,
		Count:   i.metrics.CountErrorResponse,
	}
}

// submit runs a job for a caller that waits for the outcome; the wait ends
// early if a drain reaches its limit.
func (i *Instance) submit(ctx context.Context, job state.Job) state.Progress {
	if i.leaving.Load() {
		return state.Progress{Done: true, Phase: state.JobDone, Outcome: state.Refusal(job.ID, state.Draining)}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(i.draining, cancel)
	defer stop()
	return i.front.Run(ctx, job)
}

func (i *Instance) accept(ctx context.Context, job state.Job) (state.JobID, error) {
	if i.leaving.Load() {
		return "", state.NewStepError("accept", i.Address(), state.Draining, nil)
	}
	return i.front.RunAsync(ctx, job)
}

// ready returns nil while the entry can serve callers.
func (i *Instance) ready() error {
	if i.leaving.Load() {
		return state.NewStepError("ready", i.Address(), state.Draining, nil)
	}
	if i.rollout.Current() == nil {
		return state.NewStepError("ready", i.Address(), state.NoManifest, nil)
	}
	if _, found := i.plannerOf(i.settings.AvailabilityZone); !found {
		return state.NewStepError("ready", i.Address(), state.HomeUnreachable, nil)
	}
	return nil
}
