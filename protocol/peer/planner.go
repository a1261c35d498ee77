package peer

import (
	"context"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/seat"
	"comfreystream/state/workflow"
	"comfreystream/transport"
)

const (
	stepStand     = "stand"
	stepAccepted  = "accepted"
	stepCancelled = "cancelled"
)

type standRequest struct {
	Term keyvalue.Revision `cbor:"1,keyasint"`
	Wait time.Duration     `cbor:"2,keyasint"`
}

type standResponse struct {
	Standing seat.Standing `cbor:"1,keyasint"`
}

// intakeNews names a job; its record goes along if it was accepted.
type intakeNews struct {
	Job    workflow.ID `cbor:"1,keyasint"`
	Record []byte      `cbor:"2,keyasint,omitempty"`
}

// PlannerService is what an entry does for others as the planner of all;
// every field must be set.
type PlannerService struct {
	// Stand says how the entry stands to the term; it waits for a change.
	Stand func(ctx context.Context, term keyvalue.Revision, wait time.Duration) seat.Standing
	// Accepted and Cancelled tell what was just put on record.
	Accepted  func(id workflow.ID, record []byte) error
	Cancelled func(id workflow.ID)
	// Store is reached for entries that do not reach it themselves.
	Store *keyvalue.Store
}

// Handler returns the handler for all paths that begin with PathPrefix.
func (s *PlannerService) Handler() fasthttp.RequestHandler {
	mux := http.NewServeMux()
	handle(mux, stepStand, func(ctx context.Context, r standRequest) (standResponse, error) {
		return standResponse{s.Stand(ctx, r.Term, r.Wait)}, nil
	})
	handle(mux, stepAccepted, func(_ context.Context, r intakeNews) (none, error) {
		return none{}, s.Accepted(r.Job, r.Record)
	})
	handle(mux, stepCancelled, func(_ context.Context, r intakeNews) (none, error) {
		s.Cancelled(r.Job)
		return none{}, nil
	})
	handleStore(mux, s.Store)
	return transport.Adapt(mux)
}

// PlannerClient calls the planner; it is safe for several goroutines.
type PlannerClient struct {
	stand     procedure[standRequest, standResponse]
	accepted  procedure[intakeNews, none]
	cancelled procedure[intakeNews, none]
}

// NewPlannerClient returns a client that uses the connections of the transport's client.
func NewPlannerClient(client *transport.Client) *PlannerClient {
	h := transport.HTTPClient{Client: client}
	return &PlannerClient{
		stand:     newProcedure[standRequest, standResponse](h, stepStand),
		accepted:  newProcedure[intakeNews, none](h, stepAccepted),
		cancelled: newProcedure[intakeNews, none](h, stepCancelled),
	}
}

// Stand asks how the peer stands to the term; the error wraps
// seat.ErrRefused if nothing listens there.
func (c *PlannerClient) Stand(ctx context.Context, peer netip.AddrPort, term keyvalue.Revision, wait time.Duration) (seat.Standing, error) {
	answer, err := c.stand.ask(ctx, peer, standRequest{Term: term, Wait: wait})
	if errors.Is(err, syscall.ECONNREFUSED) {
		return "", errors.Wrapf(seat.ErrRefused, "stand: %s", peer)
	}
	return answer.Standing, err
}

// Accepted tells the planner of a job that is on record.
func (c *PlannerClient) Accepted(ctx context.Context, peer netip.AddrPort, id workflow.ID, record []byte) error {
	_, err := c.accepted.ask(ctx, peer, intakeNews{Job: id, Record: record})
	return err
}

// Cancelled tells the planner of a cancellation that is on record.
func (c *PlannerClient) Cancelled(ctx context.Context, peer netip.AddrPort, id workflow.ID) error {
	_, err := c.cancelled.ask(ctx, peer, intakeNews{Job: id})
	return err
}
