package worker

import (
	"context"
	"net/netip"

	"comfreystream/protocol/message"
	"comfreystream/protocol/record"
	"comfreystream/state"
	"comfreystream/transport"
)

// Client asks workers; its methods fail with a *state.StepError that is
// ambiguous if the worker may have acted. It is safe for several goroutines.
type Client struct {
	Connections *transport.Client
}

// Attach asks for a new fencing token, which makes every older one stale.
func (c *Client) Attach(ctx context.Context, worker netip.AddrPort) (state.Token, error) {
	reply, err := message.Call[nothing, attachReply](ctx, c.Connections, worker, attachPath, nothing{})
	return reply.Token, err
}

// Hold asks for a lease.
func (c *Client) Hold(ctx context.Context, worker netip.AddrPort, request state.HoldRequest) (state.Lease, error) {
	job, err := record.EncodeJob(&request.Job)
	if err != nil {
		return state.Lease{}, state.NewStepError("hold", worker, state.BadRequest, err)
	}
	lease, err := message.Call[holdRequest, wireLease](ctx, c.Connections, worker, holdPath, holdRequest{
		Token: request.Token, Attempt: request.Attempt, Members: request.Members, TTL: request.TTL, Job: job,
	})
	return state.Lease(lease), err
}

// Start runs the members under the attempt's lease.
func (c *Client) Start(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) error {
	_, err := message.Call[attemptRequest, nothing](ctx, c.Connections, worker, startPath, attemptRequest{token, wireAttempt(attempt)})
	return err
}

// Stop voids the attempt and reports whether no member was ever started.
func (c *Client) Stop(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) (neverStarted bool, err error) {
	reply, err := message.Call[attemptRequest, stopReply](ctx, c.Connections, worker, stopPath, attemptRequest{token, wireAttempt(attempt)})
	return reply.NeverStarted, err
}

// Checkpoint saves the members' state and holds them there until they are stopped.
func (c *Client) Checkpoint(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) ([]byte, error) {
	reply, err := message.Call[attemptRequest, checkpointReply](ctx, c.Connections, worker, checkpointPath, attemptRequest{token, wireAttempt(attempt)})
	return reply.Saved, err
}

// Renew extends the confirmed leases and waits for changes of tasks.
func (c *Client) Renew(ctx context.Context, worker netip.AddrPort, request state.RenewRequest) (state.RenewReply, error) {
	wire, err := message.Call[renewRequest, renewReply](ctx, c.Connections, worker, renewPath, renewRequest{
		Token: request.Token, TTL: request.TTL, Since: request.Since, Wait: request.Wait,
		Confirm: toWireAttempts(request.Confirm), Forget: toWireAttempts(request.Forget),
	})
	if err != nil {
		return state.RenewReply{}, err
	}
	reply := state.RenewReply{Version: wire.Version, Worker: fromWireWorker(wire.Worker)}
	for i := range wire.Changed {
		t, err := fromWireTask(&wire.Changed[i])
		if err != nil {
			return reply, state.NewStepError("renew", worker, state.BadRequest, err)
		}
		reply.Changed = append(reply.Changed, t)
	}
	return reply, nil
}
