package peer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"comfreystream/state"
)

const (
	stepSubmit = "submit"
	stepAccept = "accept"
	stepAwait  = "await"
	stepCancel = "cancel"
)

type jobRequest struct {
	Job   wireJob `cbor:"1,keyasint"`
	Again bool    `cbor:"2,keyasint,omitempty"`
}

type idRequest struct {
	Job  state.JobID   `cbor:"1,keyasint"`
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
}

type jobCalls struct {
	submit procedure[jobRequest, none]
	accept procedure[jobRequest, none]
	await  procedure[idRequest, wireProgress]
	cancel procedure[idRequest, none]
}

func (s *Service) handleJobs(mux *http.ServeMux) {
	handle(mux, stepSubmit, func(ctx context.Context, r jobRequest) (none, error) {
		return none{}, s.Submit(ctx, r.Job.job(), r.Again)
	})
	handle(mux, stepAccept, func(ctx context.Context, r jobRequest) (none, error) {
		return none{}, s.Accept(ctx, r.Job.job())
	})
	handle(mux, stepAwait, func(ctx context.Context, r idRequest) (wireProgress, error) {
		progress, err := s.Await(ctx, r.Job, r.Wait)
		return toWireProgress(progress), err
	})
	handle(mux, stepCancel, func(ctx context.Context, r idRequest) (none, error) {
		return none{}, s.Cancel(ctx, r.Job)
	})
}

// Submit has the peer, the zone's planner, take the job in; again is set if
// another planner may have taken it in before.
func (c *Client) Submit(ctx context.Context, peer netip.AddrPort, job state.Job, again bool) error {
	_, err := c.jobs.submit.ask(ctx, peer, jobRequest{Job: toWireJob(&job), Again: again})
	return err
}

// Accept has the peer, the zone's planner, take the job on for good.
func (c *Client) Accept(ctx context.Context, peer netip.AddrPort, job state.Job) error {
	_, err := c.jobs.accept.ask(ctx, peer, jobRequest{Job: toWireJob(&job)})
	return err
}

// Cancel has the peer stop the job.
func (c *Client) Cancel(ctx context.Context, peer netip.AddrPort, job state.JobID) error {
	_, err := c.jobs.cancel.ask(ctx, peer, idRequest{Job: job})
	return err
}
