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

// PlannerService holds the handlers that an entry serves to others when one
// planner plans for all entries; every field must be set.
type PlannerService struct {
	// TermStatus returns whether the entry is the planner of the term; it may wait for
	// the result to change.
	TermStatus func(ctx context.Context, request election.StatusRequest) election.TermStatus
	// NotifyAccepted and NotifyCancelled notify the planner of a job or a
	// cancellation that was just written to the store.
	NotifyAccepted  func(id workflow.ID, record []byte) error
	NotifyCancelled func(id workflow.ID)
	// Store serves entries that cannot reach the store themselves.
	Store *keyvalue.Store
}

// Handler returns the HTTP handler for all paths that begin with PathPrefix.
func (s *PlannerService) Handler() fasthttp.RequestHandler {
	mux := http.NewServeMux()
	handle(mux, stepStand, func(ctx context.Context, r termStatusRequest) (termStatusResponse, error) {
		return termStatusResponse{s.TermStatus(ctx, election.StatusRequest(r))}, nil
	})
	handle(mux, stepAccepted, func(_ context.Context, r jobNotification) (emptyMessage, error) {
		return emptyMessage{}, s.NotifyAccepted(r.Job, r.Record)
	})
	handle(mux, stepCancelled, func(_ context.Context, r jobNotification) (emptyMessage, error) {
		s.NotifyCancelled(r.Job)
		return emptyMessage{}, nil
	})
	handleStore(mux, s.Store)
	return transport.AdaptHandler(mux)
}

// PlannerClient calls the PlannerService of another entry; it is safe for
// concurrent use.
type PlannerClient struct {
	termStatus procedure[termStatusRequest, termStatusResponse]
	accepted   procedure[jobNotification, emptyMessage]
	cancelled  procedure[jobNotification, emptyMessage]
}

// NewPlannerClient returns a PlannerClient that sends its calls over the transport client.
func NewPlannerClient(client *transport.Client) *PlannerClient {
	h := transport.HTTPClient{Client: client}
	return &PlannerClient{
		termStatus: newProcedure[termStatusRequest, termStatusResponse](h, stepStand),
		accepted:   newProcedure[jobNotification, emptyMessage](h, stepAccepted),
		cancelled:  newProcedure[jobNotification, emptyMessage](h, stepCancelled),
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

// NotifyAccepted notifies the planner of an accepted job whose record is in the store.
func (c *PlannerClient) NotifyAccepted(ctx context.Context, peer netip.AddrPort, id workflow.ID, record []byte) error {
	_, err := c.accepted.call(ctx, peer, jobNotification{Job: id, Record: record})
	return err
}

// NotifyCancelled notifies the planner of a cancellation that is in the store.
func (c *PlannerClient) NotifyCancelled(ctx context.Context, peer netip.AddrPort, id workflow.ID) error {
	_, err := c.cancelled.call(ctx, peer, jobNotification{Job: id})
	return err
}
