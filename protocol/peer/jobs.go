package peer

import (
	"comfreystream/state"
	"context"
	"net/http"
	"net/netip"
	"time"
)

const (
	stepSubmit   = "submit"
	stepAccept   = "accept"
	stepProgress = "progress"
	stepCancel   = "cancel"
	stepAnswer   = "answer"
)

type jobRequest struct {
	Job wireJob `cbor:"1,keyasint"`
}

type idRequest struct {
	Job  state.JobID   `cbor:"1,keyasint"`
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
}

type jobCalls struct {
	submit   procedure[jobRequest, wireOutcome]
	accept   procedure[jobRequest, none]
	progress procedure[idRequest, wireProgress]
	cancel   procedure[idRequest, none]
	answer   procedure[idRequest, wireOutcome]
}

func (s *Service) handleJobs(mux *http.ServeMux) {
	handle(mux, stepSubmit, func(ctx context.Context, r jobRequest) (wireOutcome, error) {
		outcome, err := s.Submit(ctx, r.Job.job())
		return wireOutcome(outcome), err
	})
	handle(mux, stepAccept, func(ctx context.Context, r jobRequest) (none, error) {
		return none{}, s.Accept(ctx, r.Job.job())
	})
	handle(mux, stepProgress, func(ctx context.Context, r idRequest) (wireProgress, error) {
		progress, err := s.Progress(ctx, r.Job, r.Wait)
		return toWireProgress(progress), err
	})
	handle(mux, stepCancel, func(ctx context.Context, r idRequest) (none, error) {
		return none{}, s.Cancel(ctx, r.Job)
	})
	handle(mux, stepAnswer, func(ctx context.Context, r idRequest) (wireOutcome, error) {
		outcome, err := s.Answer(ctx, r.Job)
		return wireOutcome(outcome), err
	})
}

// Submit has the peer run the job and returns its final outcome.
func (c *Client) Submit(ctx context.Context, peer netip.AddrPort, job state.Job) (state.Outcome, error) {
	outcome, err := c.jobs.submit.ask(ctx, peer, jobRequest{Job: toWireJob(&job)})
	return state.Outcome(outcome), err
}

// Accept has the peer take the job on and returns without its outcome.
func (c *Client) Accept(ctx context.Context, peer netip.AddrPort, job state.Job) error {
	_, err := c.jobs.accept.ask(ctx, peer, jobRequest{Job: toWireJob(&job)})
	return err
}

// Progress returns how far the job is; the peer waits up to the duration for a change.
func (c *Client) Progress(ctx context.Context, peer netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error) {
	progress, err := c.jobs.progress.ask(ctx, peer, idRequest{Job: job, Wait: wait})
	return progress.progress(), err
}

// Cancel has the peer stop the job.
func (c *Client) Cancel(ctx context.Context, peer netip.AddrPort, job state.JobID) error {
	_, err := c.jobs.cancel.ask(ctx, peer, idRequest{Job: job})
	return err
}

// Answer returns the outcome of a job that is done.
func (c *Client) Answer(ctx context.Context, peer netip.AddrPort, job state.JobID) (state.Outcome, error) {
	outcome, err := c.jobs.answer.ask(ctx, peer, idRequest{Job: job})
	return state.Outcome(outcome), err
}
