package worker

import (
	"context"

	"github.com/valyala/fasthttp"

	"comfreystream/protocol/message"
	"comfreystream/protocol/record"
	"comfreystream/state"
)

const maxBodyBytes = 4 << 20

// Service serves the worker's protocol, for stand-ins of workers; a field may be
// nil if its procedure is never called.
type Service struct {
	Attach     func(ctx context.Context) (state.Token, error)
	Hold       func(ctx context.Context, request state.HoldRequest) (state.Lease, error)
	Start      func(ctx context.Context, token state.Token, attempt state.JobAttempt) error
	Stop       func(ctx context.Context, token state.Token, attempt state.JobAttempt) (neverStarted bool, err error)
	Checkpoint func(ctx context.Context, token state.Token, attempt state.JobAttempt) ([]byte, error)
	Renew      func(ctx context.Context, request state.RenewRequest) (state.RenewReply, error)
}

// Handler returns the HTTP handler of a worker.
func (s *Service) Handler() fasthttp.RequestHandler {
	limits := message.Limits{BodyBytes: maxBodyBytes}
	return message.Routes([]message.Route{
		{Path: attachPath, Handle: message.Handle(limits, s.attach)},
		{Path: holdPath, Handle: message.Handle(limits, s.hold)},
		{Path: startPath, Handle: message.Handle(limits, s.start)},
		{Path: stopPath, Handle: message.Handle(limits, s.stop)},
		{Path: checkpointPath, Handle: message.Handle(limits, s.checkpoint)},
		{Path: renewPath, Handle: message.Handle(limits, s.renew)},
	})
}

func (s *Service) attach(ctx context.Context, _ emptyMessage) (attachResponse, error) {
	token, err := s.Attach(ctx)
	return attachResponse{token}, err
}

func (s *Service) hold(ctx context.Context, r holdRequest) (wireLease, error) {
	job, err := record.DecodeJob(r.Job)
	if err != nil {
		return wireLease{}, err
	}
	lease, err := s.Hold(ctx, state.HoldRequest{
		Token: r.Token, Job: job, Attempt: r.Attempt, Members: r.Members, TTL: r.TTL,
	})
	return wireLease(lease), err
}

func (s *Service) start(ctx context.Context, r attemptRequest) (emptyMessage, error) {
	return emptyMessage{}, s.Start(ctx, r.Token, state.JobAttempt(r.Attempt))
}

func (s *Service) stop(ctx context.Context, r attemptRequest) (stopResponse, error) {
	neverStarted, err := s.Stop(ctx, r.Token, state.JobAttempt(r.Attempt))
	return stopResponse{neverStarted}, err
}

func (s *Service) checkpoint(ctx context.Context, r attemptRequest) (checkpointResponse, error) {
	saved, err := s.Checkpoint(ctx, r.Token, state.JobAttempt(r.Attempt))
	return checkpointResponse{saved}, err
}

func (s *Service) renew(ctx context.Context, r renewRequest) (renewResponse, error) {
	reply, err := s.Renew(ctx, state.RenewRequest{
		Token: r.Token, TTL: r.TTL, Since: r.Since, Wait: r.Wait,
		Confirm: fromWireAttempts(r.Confirm), Forget: fromWireAttempts(r.Forget),
	})
	if err != nil {
		return renewResponse{}, err
	}
	response := renewResponse{Version: reply.Version, Worker: toWireWorker(reply.Worker)}
	for i := range reply.Changed {
		t, err := toWireTask(&reply.Changed[i])
		if err != nil {
			return renewResponse{}, err
		}
		response.Changed = append(response.Changed, t)
	}
	return response, nil
}
