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

type holdRequest struct {
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
	hold       procedure[holdRequest, leasesMessage]
	start      procedure[leasesMessage, none]
	stop       procedure[attemptRequest, stopResponse]
	checkpoint procedure[attemptRequest, checkpointResponse]
	report     procedure[wireRackReport, wireReportReply]
	announce   procedure[none, none]
}

func (s *Service) handleRacks(mux *http.ServeMux) {
	handle(mux, stepHold, func(ctx context.Context, r holdRequest) (leasesMessage, error) {
		leases, err := s.Hold(ctx, Hold{
			Rack: r.Rack, Job: r.Job.job(), Attempt: r.Attempt,
			Placements: convert(r.Placements, wirePlacement.placement), TTL: r.TTL,
		})
		return leasesMessage{Leases: convert(leases, clock{time.Now()}.toLease)}, err
	})
	handle(mux, stepStart, func(ctx context.Context, r leasesMessage) (none, error) {
		return none{}, s.Start(ctx, r.Rack, convert(r.Leases, clock{time.Now()}.lease))
	})
	handle(mux, stepStop, func(ctx context.Context, r attemptRequest) (stopResponse, error) {
		neverStarted, err := s.Stop(ctx, Stop{Rack: r.Rack, Attempt: r.Attempt.attempt(), Workers: r.Workers})
		return stopResponse{NeverStarted: neverStarted}, err
	})
	handle(mux, stepCheckpoint, func(ctx context.Context, r attemptRequest) (checkpointResponse, error) {
		saved, err := s.Checkpoint(ctx, r.Rack, r.Attempt.attempt())
		return checkpointResponse{Saved: saved}, err
	})
	handle(mux, stepAnnounce, func(ctx context.Context, _ none) (none, error) {
		return none{}, s.Announce(ctx)
	})
	handle(mux, stepReport, func(ctx context.Context, r wireRackReport) (wireReportReply, error) {
		reply, err := s.Report(ctx, clock{time.Now()}.rackReport(r))
		return toWireReply(reply), err
	})
}

// Hold takes leases from the rack's home; they count as expiring no later
// than they do, since their time left counts from before the call.
func (c *Client) Hold(ctx context.Context, peer netip.AddrPort, hold Hold) ([]state.Lease, error) {
	called := clock{time.Now()}
	response, err := c.racks.hold.ask(ctx, peer, holdRequest{
		Rack: hold.Rack, Job: toWireJob(&hold.Job), Attempt: hold.Attempt,
		Placements: convert(hold.Placements, toWirePlacement), TTL: hold.TTL,
	})
	return convert(response.Leases, called.lease), err
}

// Start has the rack's home start the members under the leases.
func (c *Client) Start(ctx context.Context, peer netip.AddrPort, rack string, leases []state.Lease) error {
	_, err := c.racks.start.ask(ctx, peer, leasesMessage{Rack: rack, Leases: convert(leases, clock{time.Now()}.toLease)})
	return err
}

// Stop has the rack's home void the attempt.
func (c *Client) Stop(ctx context.Context, peer netip.AddrPort, stop Stop) (neverStarted bool, err error) {
	response, err := c.racks.stop.ask(ctx, peer, attemptRequest{
		Rack: stop.Rack, Attempt: wireAttempt(stop.Attempt), Workers: stop.Workers,
	})
	return response.NeverStarted, err
}

// Checkpoint has the rack's home save the attempt's tasks and returns what was saved.
func (c *Client) Checkpoint(ctx context.Context, peer netip.AddrPort, rack string, attempt state.JobAttempt) ([][]byte, error) {
	response, err := c.racks.checkpoint.ask(ctx, peer, attemptRequest{Rack: rack, Attempt: wireAttempt(attempt)})
	return response.Saved, err
}

// Report tells the zone's planner about a rack.
func (c *Client) Report(ctx context.Context, peer netip.AddrPort, report state.RackReport) (state.ReportReply, error) {
	reply, err := c.racks.report.ask(ctx, peer, clock{time.Now()}.toRackReport(report))
	return reply.reply(), err
}

// Announce asks the peer to report its racks in full to a planner that has begun.
func (c *Client) Announce(ctx context.Context, peer netip.AddrPort) error {
	_, err := c.racks.announce.ask(ctx, peer, none{})
	return err
}
