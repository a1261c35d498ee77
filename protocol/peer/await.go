package peer

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/state"
)

const (
	// maxBlockingWaits bounds the calls that block at one peer until a job
	// ends, since each occupies a connection. With this bound, eight entries
	// stay within a planner's default of 4096 connections.
	maxBlockingWaits = 512
	// pollSpacing is the mean time between the polls that reach one peer from
	// the calls above the bound; each of them polls once per interval.
	pollSpacing     = time.Millisecond
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = 2 * time.Second
)

// waitLimiter counts the waiting calls by peer.
type waitLimiter struct {
	counts *state.Table[netip.AddrPort, waitCount]
}

type waitCount struct{ blocking, polling int }

func newWaitLimiter() waitLimiter {
	return waitLimiter{counts: state.NewTable[netip.AddrPort, waitCount]()}
}

// acquire reports whether one more call may block at the peer; if not, the
// call may poll after pollDelay.
func (w waitLimiter) acquire(peer netip.AddrPort) (blocking bool, pollDelay time.Duration) {
	w.counts.Update(peer, func(count waitCount, _ bool) (waitCount, bool) {
		blocking = count.blocking < maxBlockingWaits
		if blocking {
			count.blocking++
			return count, true
		}
		count.polling++
		pollDelay = min(max(time.Duration(count.polling)*pollSpacing, minPollInterval), maxPollInterval)
		return count, true
	})
	return blocking, pollDelay
}

func (w waitLimiter) release(peer netip.AddrPort, blocking bool) {
	w.counts.Update(peer, func(count waitCount, _ bool) (waitCount, bool) {
		if blocking {
			count.blocking--
		} else {
			count.polling--
		}
		return count, count != waitCount{}
	})
}

// Await returns the job's progress; the peer waits up to wait for the job to
// end. While too many calls block at the peer, this one waits locally and then
// polls once, so it may learn of the end up to one poll interval later.
func (c *Client) Await(ctx context.Context, peer netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error) {
	blocking, pollDelay := c.waits.acquire(peer)
	defer c.waits.release(peer, blocking)
	if blocking {
		return c.fetchProgress(ctx, peer, job, wait)
	}
	timer := time.NewTimer(min(wait, pollDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return c.fetchProgress(ctx, peer, job, 0)
	case <-ctx.Done():
		return state.Progress{}, state.NewStepError(stepAwait, peer, state.ConnectionLost, ctx.Err())
	}
}

func (c *Client) fetchProgress(ctx context.Context, peer netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error) {
	progress, err := c.jobs.await.call(ctx, peer, jobIDRequest{Job: job, Wait: wait})
	return progress.progress(), err
}
