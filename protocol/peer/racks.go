package peer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"comfreystream/state"
)

const (
	stepHold       = "hold"
	stepStart      = "start"
	stepStop       = "stop"
	stepCheckpoint = "checkpoint"
	stepReport     = "report"
	stepAnnounce   = "announce"
)

type wireHoldRequest struct {
	Rack       string          `cbor:"1,keyasint"`
	Job        wireJob         `cbor:"2,keyasint"`
	Attempt    state.Attempt   `cbor:"3,keyasint"`
	Placements []wirePlacement `cbor:"4,keyasint,omitempty"`
	TTL        time.Duration   `cbor:"5,keyasint"`
}

type leasesMessage struct {
	Rack   string      `cbor:"1,keyasint,omitempty"`
	Leases []wireLease `cbor:"2,keyasint,omitempty"`
}

type attemptRequest struct {
	Rack    string           `cbor:"1,keyasint"`
	Attempt wireAttempt      `cbor:"2,keyasint"`
	Workers []netip.AddrPort `cbor:"3,keyasint,omitempty"`
}

type stopResponse struct {
	NeverStarted bool `cbor:"1,keyasint,omitempty"`
}

type checkpointResponse struct {
	Saved [][]byte `cbor:"1,keyasint,omitempty"`
}

type rackCalls struct {
	hold       procedure[wireHoldRequest, leasesMessage]
	start      procedure[leasesMessage, emptyMessage]
	stop       procedure[attemptRequest, stopResponse]
	checkpoint procedure[attemptRequest, checkpointResponse]
	report     procedure[wireRackReport, wireReportReply]
	announce   procedure[emptyMessage, emptyMessage]
}

func (s *Service) handleRacks(mux *http.ServeMux) {
	handle(mux, stepHold, func(ctx context.Context, r wireHoldRequest) (leasesMessage, error) {
		leases, err := s.Hold(ctx, HoldRequest{
			Rack: r.Rack, Job: r.Job.job(), Attempt: r.Attempt,
			Placements: convert(r.Placements, wirePlacement.placement), TTL: r.TTL,
		})
		return leasesMessage{Leases: convert(leases, referenceTime{time.Now()}.toLease)}, err
	})
	handle(mux, stepStart, func(ctx context.Context, r leasesMessage) (emptyMessage, error) {
		return emptyMessage{}, s.Start(ctx, r.Rack, convert(r.Leases, referenceTime{time.Now()}.lease))
	})
	handle(mux, stepStop, func(ctx context.Context, r attemptRequest) (stopResponse, error) {
		neverStarted, err := s.Stop(ctx, StopRequest{Rack: r.Rack, Attempt: r.Attempt.attempt(), Workers: r.Workers})
		return stopResponse{NeverStarted: neverStarted}, err
	})
	handle(mux, stepCheckpoint, func(ctx context.Context, r attemptRequest) (checkpointResponse, error) {
		saved, err := s.Checkpoint(ctx, r.Rack, r.Attempt.attempt())
		return checkpointResponse{Saved: saved}, err
	})
	handle(mux, stepAnnounce, func(ctx context.Context, _ emptyMessage) (emptyMessage, error) {
		return emptyMessage{}, s.Announce(ctx)
	})
	handle(mux, stepReport, func(ctx context.Context, r wireRackReport) (wireReportReply, error) {
		reply, err := s.Report(ctx, referenceTime{time.Now()}.rackReport(r))
		return toWireReply(reply), err
	})
}

// Hold asks the rack's home for leases. Their remaining time is counted from
// before the call, so that they never appear to expire later than they do.
func (c *Client) Hold(ctx context.Context, peer netip.AddrPort, hold HoldRequest) ([]state.Lease, error) {
	sentAt := referenceTime{time.Now()}
	response, err := c.racks.hold.call(ctx, peer, wireHoldRequest{
		Rack: hold.Rack, Job: toWireJob(&hold.Job), Attempt: hold.Attempt,
		Placements: convert(hold.Placements, toWirePlacement), TTL: hold.TTL,
	})
	return convert(response.Leases, sentAt.lease), err
}

// Start has the rack's home start the gang's members that the leases cover.
func (c *Client) Start(ctx context.Context, peer netip.AddrPort, rack string, leases []state.Lease) error {
	_, err := c.racks.start.call(ctx, peer, leasesMessage{Rack: rack, Leases: convert(leases, referenceTime{time.Now()}.toLease)})
	return err
}

// Stop has the rack's home stop the attempt and make sure that it cannot start
// later; neverStarted is set only if no member was ever started.
func (c *Client) Stop(ctx context.Context, peer netip.AddrPort, stop StopRequest) (neverStarted bool, err error) {
	response, err := c.racks.stop.call(ctx, peer, attemptRequest{
		Rack: stop.Rack, Attempt: wireAttempt(stop.Attempt), Workers: stop.Workers,
	})
	return response.NeverStarted, err
}

// Checkpoint has the rack's home take checkpoints of the attempt's tasks and
// returns them.
func (c *Client) Checkpoint(ctx context.Context, peer netip.AddrPort, rack string, attempt state.JobAttempt) ([][]byte, error) {
	response, err := c.racks.checkpoint.call(ctx, peer, attemptRequest{Rack: rack, Attempt: wireAttempt(attempt)})
	return response.Saved, err
}

// Report sends the state of a rack to the peer, the zone's planner.
func (c *Client) Report(ctx context.Context, peer netip.AddrPort, report state.RackReport) (state.ReportReply, error) {
	reply, err := c.racks.report.call(ctx, peer, referenceTime{time.Now()}.toRackReport(report))
	return reply.reply(), err
}

// Announce asks the peer to send full reports on its racks to the zone's new planner.
func (c *Client) Announce(ctx context.Context, peer netip.AddrPort) error {
	_, err := c.racks.announce.call(ctx, peer, emptyMessage{})
	return err
}
