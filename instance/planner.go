package instance

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"comfreystream/coordination/admission"
	"comfreystream/coordination/claim"
	"comfreystream/coordination/dispatch"
	"comfreystream/coordination/estimate"
	"comfreystream/coordination/gang"
	"comfreystream/coordination/ledger"
	"comfreystream/coordination/planning"
	"comfreystream/coordination/quarantine"
	"comfreystream/coordination/retry"
	"comfreystream/protocol/peer"
	"comfreystream/protocol/record"
	"comfreystream/state"
)

// newDispatcher returns the dispatcher with which this entry plans for its zone.
func (i *Instance) newDispatcher() *dispatch.Dispatcher {
	zone := i.settings.AvailabilityZone
	planner := planning.New(zone)
	d := dispatch.New(planner)
	d.Event = i.jobEvent
	d.Count = i.metrics.CountRefusal
	d.ExpectedWorkers = i.expectedWorkers
	d.Checkpoint = i.checkpointRack
	d.Claims = claim.New(i.storage, record.ClaimCodec())
	d.Ledger = ledger.New(i.storage, record.SegmentCodec(), zone)
	d.Estimates = estimate.New()
	d.RetryBudgets = retry.New(retry.DefaultSettings(), time.Now, rand.Float64)
	d.Quarantine = quarantine.New(time.Now, func(worker netip.AddrPort, quarantined bool) {
		i.log.Warn().Str("event", "workerQuarantine").Stringer("worker", worker).Bool("quarantined", quarantined).Send()
		d.RequestPlan()
	})
	d.Admission = admission.New(admission.DefaultSettings(), time.Now, func(state.Reason) {})
	d.Gang = &gang.Starter{Now: time.Now, Hold: i.holdRack, Commit: d.Commit}
	d.Gang.Start = func(ctx context.Context, rack string, leases []state.Lease) error {
		if err := d.MayStart(); err != nil {
			return err
		}
		return i.startRack(ctx, rack, leases)
	}
	d.Gang.Stop = func(ctx context.Context, rack string, job state.JobID, attempt state.Attempt) (neverStarted bool, err error) {
		name := state.JobAttempt{Job: job, Attempt: attempt}
		return i.stopRack(ctx, rack, name, d.PlacedWorkers(name, rack))
	}
	planner.Estimate = d.Estimates.Estimate
	planner.Usable = d.Usable
	d.ApplyManifest(i.rollout.Newest())
	return d
}

func (i *Instance) expectedWorkers() (addresses []netip.AddrPort) {
	for _, w := range i.list.workersIn(i.settings.AvailabilityZone) {
		addresses = append(addresses, w.Address)
	}
	return addresses
}

func (i *Instance) jobEvent(event string, job state.JobID, reason state.Reason) {
	line := i.log.Info().Str("event", event).Str("job", string(job))
	if reason != "" {
		line = line.Str("reason", string(reason))
	}
	line.Send()
}

// The functions below call the home of a rack, which is this entry or another one of the zone.

func (i *Instance) holdRack(ctx context.Context, rack string, request gang.HoldRequest) ([]state.Lease, error) {
	home, err := i.homeOf(rack)
	if err != nil {
		return nil, err
	}
	if home == i.Address() {
		return i.keeper.Hold(ctx, rack, request.Job, request.Attempt, request.Placements, request.TTL)
	}
	return i.peers.Hold(ctx, home, peer.HoldRequest{
		Rack: rack, Job: *request.Job, Attempt: request.Attempt, Placements: request.Placements, TTL: request.TTL,
	})
}

func (i *Instance) startRack(ctx context.Context, rack string, leases []state.Lease) error {
	home, err := i.homeOf(rack)
	if err != nil {
		return err
	}
	if home == i.Address() {
		return i.keeper.Start(ctx, rack, leases)
	}
	return i.peers.Start(ctx, home, rack, leases)
}

func (i *Instance) stopRack(ctx context.Context, rack string, attempt state.JobAttempt, workers []netip.AddrPort) (neverStarted bool, err error) {
	home, err := i.homeOf(rack)
	if err != nil {
		return false, err
	}
	if home == i.Address() {
		return i.keeper.Stop(ctx, rack, attempt, workers)
	}
	return i.peers.Stop(ctx, home, peer.StopRequest{Rack: rack, Attempt: attempt, Workers: workers})
}

func (i *Instance) checkpointRack(ctx context.Context, rack string, attempt state.JobAttempt) ([][]byte, error) {
	home, err := i.homeOf(rack)
	if err != nil {
		return nil, err
	}
	if home == i.Address() {
		return i.keeper.Checkpoint(ctx, rack, attempt)
	}
	return i.peers.Checkpoint(ctx, home, rack, attempt)
}
