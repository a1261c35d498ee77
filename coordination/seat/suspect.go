package seat

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
)

// Standing is how an instance stands to a term.
type Standing string

// The standings.
const (
	// Leading: it plans, and its renewals reach the store.
	Leading Standing = "leading"
	// Cut: it has the seat, but its renewals fail.
	Cut Standing = "cut"
	// Away: it does not have the seat of that term.
	Away Standing = "away"
)

// ErrRefused says that nothing listens at the planner's address.
var ErrRefused = errors.New("the planner's address refuses connections")

const (
	// askWait is how long one question waits for a change.
	askWait = 1200 * time.Millisecond
	// askTimeout adds what a slow link may take.
	askTimeout = askWait + 800*time.Millisecond
	// cutAfter is the age of the newest renewal from which a planner says that
	// it is cut off: two renewals have failed.
	cutAfter = 2*renewInterval + 200*time.Millisecond
	// refusals in a row are needed, as one may be a restart of the network path.
	refusals = 3
	// refusalPause is the time between them.
	refusalPause = 60 * time.Millisecond
	// deposeInterval keeps an instance that only sees others cut off from
	// ending one term after another.
	deposeInterval = 10 * time.Second
)

// Stand answers another instance's question; it waits for a change.
func (c *Candidate) Stand(ctx context.Context, term keyvalue.Revision, wait time.Duration) Standing {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		standing := c.standing(term)
		if standing != Leading || ctx.Err() != nil {
			return standing
		}
		pause.For(ctx, renewInterval)
	}
}

func (c *Candidate) standing(term keyvalue.Revision) Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.term != term || !c.holds():
		return Away
	case c.validFor(term, cutAfter):
		return Leading
	default:
		return Cut
	}
}

// suspect asks the planner until the context ends, and ends its term when it
// says that it is cut off from the store or when its process is gone. That is
// safe even if it is wrong: what the planner still does rests on the record
// that the next one reads, and workers refuse its term.
func (c *Candidate) suspect(ctx context.Context, held keyvalue.Item) {
	refused := 0
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		standing, err := c.Ask(asking, held.Value, held.Revision, askWait)
		cancel()
		switch {
		case errors.Is(err, ErrRefused):
			refused++
			if refused >= refusals {
				c.depose(ctx, held, "refused")
				refused = 0
			}
			pause.For(ctx, refusalPause)
		case err != nil:
			refused = 0
			pause.For(ctx, retryPause)
		case standing != Leading:
			c.depose(ctx, held, string(standing))
			pause.For(ctx, renewInterval)
		default:
			refused = 0
		}
	}
}

// depose ends the lease of another's seat, with its key.
func (c *Candidate) depose(ctx context.Context, held keyvalue.Item, cause string) {
	c.mu.Lock()
	recently := c.deposed != 0 && c.Now()-c.deposed < deposeInterval
	c.mu.Unlock()
	if recently || held.Lease == 0 {
		return
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.Store.Revoke(calling, held.Lease)
	if err != nil && !errors.Is(err, keyvalue.ErrLeaseEnded) {
		return // this instance does not reach the store either
	}
	c.mu.Lock()
	c.deposed = c.Now()
	c.mu.Unlock()
	c.Log.Warn().Str("event", "plannerDeposed").Int64("term", int64(held.Revision)).Str("cause", cause).Send()
}
