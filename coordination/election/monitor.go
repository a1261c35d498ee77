package election

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
)

// TermStatus says whether an instance holds a term of the planner.
type TermStatus string

// The values of TermStatus.
const (
	// Leading means that it holds the term and renews its lease.
	Leading TermStatus = "leading"
	// CutOff means that it holds the term, but its renewals fail.
	CutOff TermStatus = "cut"
	// NotLeading means that it does not hold the term.
	NotLeading TermStatus = "away"
)

// ErrRefused means that nothing listens on the planner's address.
var ErrRefused = errors.New("the planner's address refuses connections")

const (
	// statusWait is how long the planner may hold a status request open until
	// its status changes.
	statusWait = 1200 * time.Millisecond
	// statusTimeout adds an allowance for a slow network.
	statusTimeout = statusWait + 800*time.Millisecond
	// cutOffAfter is the age of the latest renewal at which a planner reports
	// that it is cut off: two renewals have failed by then.
	cutOffAfter = 2*renewInterval + 200*time.Millisecond
	// minRefusals in a row are needed, as a single one may come from a restart
	// of something on the network path.
	minRefusals = 3
	// refusalInterval is the time between those attempts.
	refusalInterval = 60 * time.Millisecond
	// deposeInterval keeps an instance to which every planner seems cut off from
	// ending one term after another.
	deposeInterval = 10 * time.Second
)

// Status answers another instance's status request. It returns once this
// candidate no longer leads the term, or after the wait.
func (c *Candidate) Status(ctx context.Context, term keyvalue.Revision, wait time.Duration) TermStatus {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		status := c.statusNow(term)
		if status != Leading || ctx.Err() != nil {
			return status
		}
		pause.For(ctx, renewInterval)
	}
}

func (c *Candidate) statusNow(term keyvalue.Revision) TermStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.term != term || !c.holdsTerm():
		return NotLeading
	case c.renewedWithin(term, cutOffAfter):
		return Leading
	default:
		return CutOff
	}
}

// monitorPlanner requests the planner's status until the context ends. It ends
// the planner's term when the planner reports that it is cut off from the store,
// or when its process is gone. A mistaken decision is safe: whatever the old
// planner still does is based on stored state that its successor reads, and
// workers refuse orders of the old term.
func (c *Candidate) monitorPlanner(ctx context.Context, held keyvalue.Item) {
	refused := 0
	for ctx.Err() == nil {
		requesting, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := c.AskStatus(requesting, held.Value, held.Revision, statusWait)
		cancel()
		switch {
		case errors.Is(err, ErrRefused):
			refused++
			if refused >= minRefusals {
				c.depose(ctx, held, "refused")
				refused = 0
			}
			pause.For(ctx, refusalInterval)
		case err != nil:
			refused = 0
			pause.For(ctx, retryPause)
		case status != Leading:
			c.depose(ctx, held, string(status))
			pause.For(ctx, renewInterval)
		default:
			refused = 0
		}
	}
}

// depose revokes the planner's lease, which also deletes its key.
func (c *Candidate) depose(ctx context.Context, held keyvalue.Item, cause string) {
	c.mu.Lock()
	recently := c.lastDeposed != 0 && c.Now()-c.lastDeposed < deposeInterval
	c.mu.Unlock()
	if recently || held.Lease == 0 {
		return
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.Store.Revoke(calling, held.Lease)
	if err != nil && !errors.Is(err, keyvalue.ErrLeaseEnded) {
		return // this instance cannot reach the store either
	}
	c.mu.Lock()
	c.lastDeposed = c.Now()
	c.mu.Unlock()
	c.Log.Warn().Str("event", "plannerDeposed").Int64("term", int64(held.Revision)).Str("cause", cause).Send()
}
