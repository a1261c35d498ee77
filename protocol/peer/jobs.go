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
	Job         wireJob `cbor:"1,keyasint"`
	Resubmitted bool    `cbor:"2,keyasint,omitempty"`
}

type jobIDRequest struct {
	Job  state.JobID   `cbor:"1,keyasint"`
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
}

type jobCalls struct {
	submit procedure[jobRequest, emptyMessage]
	accept procedure[jobRequest, emptyMessage]
	await  procedure[jobIDRequest, wireProgress]
	cancel procedure[jobIDRequest, emptyMessage]
}

func (s *Service) handleJobs(mux *http.ServeMux) {
	handle(mux, stepSubmit, func(ctx context.Context, r jobRequest) (emptyMessage, error) {
		return emptyMessage{}, s.Submit(ctx, r.Job.job(), r.Resubmitted)
	})
	handle(mux, stepAccept, func(ctx context.Context, r jobRequest) (emptyMessage, error) {
		return emptyMessage{}, s.Accept(ctx, r.Job.job())
	})
	handle(mux, stepAwait, func(ctx context.Context, r jobIDRequest) (wireProgress, error) {
		progress, err := s.Await(ctx, r.Job, r.Wait)
		return toWireProgress(progress), err
	})
	handle(mux, stepCancel, func(ctx context.Context, r jobIDRequest) (emptyMessage, error) {
		return emptyMessage{}, s.Cancel(ctx, r.Job)
	})
}

// Submit hands the job to the peer, the zone's planner, while the caller waits;
// resubmitted is set if a planner may already have received the job.
func (c *Client) Submit(ctx context.Context, peer netip.AddrPort, job state.Job, resubmitted bool) error {
	_, err := c.jobs.submit.call(ctx, peer, jobRequest{Job: toWireJob(&job), Resubmitted: resubmitted})
	return err
}

// Accept has the peer, the zone's planner, save the job and run it; the caller
// does not wait for its outcome.
func (c *Client) Accept(ctx context.Context, peer netip.AddrPort, job state.Job) error {
	_, err := c.jobs.accept.call(ctx, peer, jobRequest{Job: toWireJob(&job)})
	return err
}

// Cancel has the peer, the zone's planner, cancel the job.
func (c *Client) Cancel(ctx context.Context, peer netip.AddrPort, job state.JobID) error {
	_, err := c.jobs.cancel.call(ctx, peer, jobIDRequest{Job: job})
	return err
}
