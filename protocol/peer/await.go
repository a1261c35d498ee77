package peer

import (
	"comfreystream/state"
	"context"
	"net/netip"
	"time"
)

const (
	// maxHeldWaits bounds the calls to one peer that wait there for a job's
	// end, since each holds a connection; with this bound, sixteen fronts stay
	// within a planner's default of 4096 connections.
	maxHeldWaits = 256
	// askInterval is how often a call above the bound asks instead.
	askInterval = 2 * time.Second
)

// heldWaits counts, by peer, the calls that wait there.
type heldWaits struct {
	counts *state.Table[netip.AddrPort, int]
}

func newHeldWaits() heldWaits {
	return heldWaits{counts: state.NewTable[netip.AddrPort, int]()}
}

// take reports whether one more call may wait at the peer.
func (h heldWaits) take(peer netip.AddrPort) (taken bool) {
	h.counts.Update(peer, func(count int, _ bool) (int, bool) {
		taken = count < maxHeldWaits
		if taken {
			count++
		}
		return count, true
	})
	return taken
}

func (h heldWaits) release(peer netip.AddrPort) {
	h.counts.Update(peer, func(count int, _ bool) (int, bool) { return count - 1, count > 1 })
}

// Await returns how far the job is; the peer waits up to the duration for its
// end. With too many such calls at the peer, this one waits here and then asks
// once, so that its answer may come that much later.
func (c *Client) Await(ctx context.Context, peer netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error) {
	if c.waits.take(peer) {
		defer c.waits.release(peer)
		return c.askProgress(ctx, peer, job, wait)
	}
	timer := time.NewTimer(min(wait, askInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
		return c.askProgress(ctx, peer, job, 0)
	case <-ctx.Done():
		return state.Progress{}, state.NewStepError(stepAwait, peer, state.ConnectionLost, ctx.Err())
	}
}

func (c *Client) askProgress(ctx context.Context, peer netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error) {
	progress, err := c.jobs.await.ask(ctx, peer, idRequest{Job: job, Wait: wait})
	return progress.progress(), err
}
