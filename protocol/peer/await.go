package peer

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/state"
)

const (
	// maxHeldWaits bounds the calls to one peer that wait there for a job's
	// end, since each holds a connection; with this bound, eight fronts stay
	// within a planner's default of 4096 connections.
	maxHeldWaits = 512
	// askSpacing is the mean time between the questions that the calls above
	// the bound put to one peer; each of them asks once an interval.
	askSpacing     = time.Millisecond
	minAskInterval = 50 * time.Millisecond
	maxAskInterval = 2 * time.Second
)

// waits counts, by peer, the calls that wait there and those that ask.
type waits struct {
	counts *state.Table[netip.AddrPort, waitCount]
}

type waitCount struct{ held, asking int }

func newWaits() waits {
	return waits{counts: state.NewTable[netip.AddrPort, waitCount]()}
}

// begin reports whether one more call may wait at the peer, or after how long
// it may ask.
func (w waits) begin(peer netip.AddrPort) (held bool, askAfter time.Duration) {
	w.counts.Update(peer, func(count waitCount, _ bool) (waitCount, bool) {
		held = count.held < maxHeldWaits
		if held {
			count.held++
			return count, true
		}
		count.asking++
		askAfter = min(max(time.Duration(count.asking)*askSpacing, minAskInterval), maxAskInterval)
		return count, true
	})
	return held, askAfter
}

func (w waits) end(peer netip.AddrPort, held bool) {
	w.counts.Update(peer, func(count waitCount, _ bool) (waitCount, bool) {
		if held {
			count.held--
		} else {
			count.asking--
		}
		return count, count != waitCount{}
	})
}

// Await returns how far the job is; the peer waits up to the duration for its
// end. With too many such calls at the peer, this one waits here and then asks
// once, so that its answer may come that much later.
func (c *Client) Await(ctx context.Context, peer netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error) {
	held, askAfter := c.waits.begin(peer)
	defer c.waits.end(peer, held)
	if held {
		return c.askProgress(ctx, peer, job, wait)
	}
	timer := time.NewTimer(min(wait, askAfter))
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
