package worker

import (
	"context"
	"net/netip"

	"comfreystream/protocol/message"
	"comfreystream/protocol/record"
	"comfreystream/state"
	"comfreystream/transport"
)

// Client calls workers; it is safe for concurrent use. Its methods fail with a
// *state.StepError that is ambiguous if the worker may have executed the call.
type Client struct {
	Connections *transport.Client
}

// Attach returns a new fencing token; the worker refuses all older ones from then on.
func (c *Client) Attach(ctx context.Context, worker netip.AddrPort) (state.Token, error) {
	response, err := message.Call[emptyMessage, attachResponse](ctx, c.Connections, worker, attachPath, emptyMessage{})
	return response.Token, err
}

// Hold requests a lease on resources for some members of a gang.
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

// Start starts the attempt's members on the worker under its lease.
func (c *Client) Start(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) error {
	_, err := message.Call[attemptRequest, emptyMessage](ctx, c.Connections, worker, startPath, attemptRequest{token, wireAttempt(attempt)})
	return err
}

// Stop stops the attempt, which cannot start on the worker afterwards, and reports
// whether no member was ever started there.
func (c *Client) Stop(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) (neverStarted bool, err error) {
	response, err := message.Call[attemptRequest, stopResponse](ctx, c.Connections, worker, stopPath, attemptRequest{token, wireAttempt(attempt)})
	return response.NeverStarted, err
}

// Checkpoint saves the members' state and returns it; the members are suspended
// until they are stopped or their lease expires.
func (c *Client) Checkpoint(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) ([]byte, error) {
	response, err := message.Call[attemptRequest, checkpointResponse](ctx, c.Connections, worker, checkpointPath, attemptRequest{token, wireAttempt(attempt)})
	return response.Saved, err
}

// Renew extends the confirmed leases and waits for changes of the worker's tasks.
func (c *Client) Renew(ctx context.Context, worker netip.AddrPort, request state.RenewRequest) (state.RenewReply, error) {
	response, err := message.Call[renewRequest, renewResponse](ctx, c.Connections, worker, renewPath, renewRequest{
		Token: request.Token, TTL: request.TTL, Since: request.Since, Wait: request.Wait,
		Confirm: toWireAttempts(request.Confirm), Forget: toWireAttempts(request.Forget),
	})
	if err != nil {
		return state.RenewReply{}, err
	}
	reply := state.RenewReply{Version: response.Version, Worker: fromWireWorker(response.Worker)}
	for i := range response.Changed {
		t, err := fromWireTask(&response.Changed[i])
		if err != nil {
			return reply, state.NewStepError("renew", worker, state.BadRequest, err)
		}
		reply.Changed = append(reply.Changed, t)
	}
	return reply, nil
}
