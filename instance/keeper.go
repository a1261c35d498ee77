package instance

import (
	"context"

	"comfreystream/coordination/lease"
	"comfreystream/protocol/worker"
	"comfreystream/state"
)

// newKeeper returns the keeper, which manages the workers of the racks whose home is this entry.
func (i *Instance) newKeeper() *lease.Keeper {
	client := &worker.Client{Connections: i.connections}
	k := lease.New(i.Address())
	k.Count = i.metrics.CountRetry
	k.Report = i.reportRack
	k.Workers = lease.WorkerCalls{
		Attach:     client.Attach,
		Hold:       client.Hold,
		Start:      client.Start,
		Stop:       client.Stop,
		Checkpoint: client.Checkpoint,
		Renew:      client.Renew,
	}
	return k
}

// reportRack sends a rack's report to the zone's planner, which may be this entry.
func (i *Instance) reportRack(ctx context.Context, report state.RackReport) (state.ReportReply, error) {
	planner, found := i.plannerOf(report.Rack.AvailabilityZone)
	if !found {
		return state.ReportReply{}, state.NewStepError("find planner", planner, state.HomeUnreachable, nil)
	}
	if planner == i.Address() {
		return i.receiveReport(ctx, report)
	}
	return i.peers.Report(ctx, planner, report)
}

func (i *Instance) receiveReport(_ context.Context, report state.RackReport) (state.ReportReply, error) {
	d, err := i.plannerRole.Current()
	if err != nil {
		return state.ReportReply{}, err
	}
	return d.Report(report)
}
