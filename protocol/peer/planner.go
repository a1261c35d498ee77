package peer

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/coordination/election"
	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
	"comfreystream/transport"
)

const (
	stepStand     = "stand"
	stepAccepted  = "accepted"
	stepCancelled = "cancelled"
	stepRefused   = "refused"
)

type termStatusRequest struct {
	Term  keyvalue.Revision `cbor:"1,keyasint"`
	Wait  time.Duration     `cbor:"2,keyasint"`
	Cores float64           `cbor:"3,keyasint,omitempty"`
}

type termStatusResponse struct {
	Status election.TermStatus `cbor:"1,keyasint"`
}

// jobNotification names an accepted or cancelled job; Record is set for an
// accepted one.
type jobNotification struct {
	Job    workflow.ID `cbor:"1,keyasint"`
	Record []byte      `cbor:"2,keyasint,omitempty"`
}

// acceptedResponse says whether new jobs wait so long that some are to be refused.
type acceptedResponse struct {
	Waiting bool `cbor:"1,keyasint,omitempty"`
}

type refusedResponse struct {
	Waited time.Duration `cbor:"1,keyasint"`
}

// PlannerService holds the handlers that an entry serves to others when one
// planner plans for all entries; every field must be set.
type PlannerService struct {
	// TermStatus returns whether the entry is the planner of the term; it may wait for
	// the result to change.
	TermStatus func(ctx context.Context, request election.StatusRequest) election.TermStatus
	// NotifyAccepted and NotifyCancelled notify the planner of a job or a
	// cancellation that was just written to the store. NotifyAccepted returns whether new
	// jobs wait so long that some are to be refused.
	NotifyAccepted  func(id workflow.ID, record []byte) (waiting bool, err error)
	NotifyCancelled func(id workflow.ID)
	// NotifyRefused notes that a job was refused, and returns how long ago it first was.
	NotifyRefused func(id workflow.ID) (time.Duration, error)
	// Store serves entries that cannot reach the store themselves.
	Store *keyvalue.Store
}

// Handler returns the HTTP handler for all paths that begin with PathPrefix.
func (s *PlannerService) Handler() fasthttp.RequestHandler {
	mux := http.NewServeMux()
	handle(mux, stepStand, func(ctx context.Context, r termStatusRequest) (termStatusResponse, error) {
		return termStatusResponse{s.TermStatus(ctx, election.StatusRequest(r))}, nil
	}, forPlanner)
	handle(mux, stepAccepted, func(_ context.Context, r jobNotification) (acceptedResponse, error) {
		waiting, err := s.NotifyAccepted(r.Job, r.Record)
		return acceptedResponse{waiting}, err
	}, forPlanner)
	handle(mux, stepCancelled, func(_ context.Context, r jobNotification) (emptyMessage, error) {
		s.NotifyCancelled(r.Job)
		return emptyMessage{}, nil
	}, forPlanner)
	handle(mux, stepRefused, func(_ context.Context, r jobNotification) (refusedResponse, error) {
		waited, err := s.NotifyRefused(r.Job)
		return refusedResponse{waited}, err
	}, forPlanner)
	handleStore(mux, s.Store)
	return boundDecompression(transport.AdaptHandler(mux))
}

// PlannerClient calls the PlannerService of another entry; it is safe for
// concurrent use.
type PlannerClient struct {
	termStatus procedure[termStatusRequest, termStatusResponse]
	accepted   procedure[jobNotification, acceptedResponse]
	cancelled  procedure[jobNotification, emptyMessage]
	refused    procedure[jobNotification, refusedResponse]
}

// NewPlannerClient returns a PlannerClient that sends its calls over the transport client.
func NewPlannerClient(client *transport.Client) *PlannerClient {
	h := transport.HTTPClient{Client: client}
	return &PlannerClient{
		termStatus: newProcedure[termStatusRequest, termStatusResponse](h, stepStand),
		accepted:   newProcedure[jobNotification, acceptedResponse](h, stepAccepted),
		cancelled:  newProcedure[jobNotification, emptyMessage](h, stepCancelled),
		refused:    newProcedure[jobNotification, refusedResponse](h, stepRefused),
	}
}

// TermStatus asks whether the peer is the planner of the term. The error wraps
// election.ErrRefused if nothing listens at the peer's address.
func (c *PlannerClient) TermStatus(ctx context.Context, peer netip.AddrPort, request election.StatusRequest) (election.TermStatus, error) {
	response, err := c.termStatus.call(ctx, peer, termStatusRequest(request))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "", errors.Wrapf(election.ErrRefused, "stand: %s", peer)
	}
	return response.Status, err
}

// NotifyAccepted notifies the planner of an accepted job whose record is in the store. It
// returns whether new jobs wait so long that some are to be refused.
func (c *PlannerClient) NotifyAccepted(ctx context.Context, peer netip.AddrPort, id workflow.ID, record []byte) (waiting bool, err error) {
	response, err := c.accepted.call(ctx, peer, jobNotification{Job: id, Record: record})
	return response.Waiting, err
}

// NotifyRefused tells the planner that a job was refused, and returns how long ago it was
// first refused by any entry.
func (c *PlannerClient) NotifyRefused(ctx context.Context, peer netip.AddrPort, id workflow.ID) (time.Duration, error) {
	response, err := c.refused.call(ctx, peer, jobNotification{Job: id})
	return response.Waited, err
}

// NotifyCancelled notifies the planner of a cancellation that is in the store.
func (c *PlannerClient) NotifyCancelled(ctx context.Context, peer netip.AddrPort, id workflow.ID) error {
	_, err := c.cancelled.call(ctx, peer, jobNotification{Job: id})
	return err
}
