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
	// Late means that it holds the term, but is too slow itself to tell whether its
	// renewals reach the store.
	Late TermStatus = "late"
	// NotLeading means that it does not hold the term.
	NotLeading TermStatus = "away"
)

// StatusRequest asks an instance for its status in a term.
type StatusRequest struct {
	Term keyvalue.Revision
	// Wait is how long the planner may hold the request open until its status
	// changes.
	Wait time.Duration
	// Cores is how many processor cores the asking candidate may use.
	Cores float64
}

// ErrRefused means that nothing listens on the planner's address.
var ErrRefused = errors.New("the planner's address refuses connections")

const (
	// statusWait is how long the planner may hold a status request open until
	// its status changes. A process that dies resets the connection, so that a
	// longer wait delays nothing.
	statusWait = 4 * time.Second
	// statusTimeout adds an allowance for a slow network.
	statusTimeout = statusWait + 800*time.Millisecond
	// cutOffAfter is the age of the latest renewal from which a planner may be cut
	// off: a call has run out of time by then.
	cutOffAfter = renewInterval + callTimeout
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
// candidate no longer leads the term, or after the wait. A planner with far fewer
// cores than the asking candidate ends its term, so that the other can plan.
func (c *Candidate) Status(ctx context.Context, request StatusRequest) TermStatus {
	ctx, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	for {
		if c.shouldYield(request) {
			c.Log.Info().Str("event", "termYielded").Int64("term", int64(request.Term)).
				Float64("cores", c.Cores).Float64("askerCores", request.Cores).Send()
			c.GiveUp(request.Term)
		}
		status, recheck, changed := c.statusNow(request.Term)
		if status == CutOff || status == NotLeading || ctx.Err() != nil {
			return status
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(recheck):
		}
	}
}

// statusNow returns the status in the term, when it may be another unless a renewal
// succeeds, and a channel that is closed when the term is given up.
func (c *Candidate) statusNow(term keyvalue.Revision) (status TermStatus, recheck time.Duration, givenUp <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.term != term || !c.holdsTerm():
		return NotLeading, 0, nil
	case c.renewedWithin(term, cutOffAfter):
		return Leading, c.renewed + cutOffAfter - c.Now(), c.givenUp
	case c.failedOnTime > 0:
		return CutOff, 0, nil
	default:
		return Late, retryPause, c.givenUp
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
		status, err := c.AskStatus(requesting, held.Value, StatusRequest{held.Revision, statusWait, c.Cores})
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
		case status == NotLeading || status == CutOff && c.confirmCutOff(ctx, held):
			c.depose(ctx, held, string(status))
			pause.For(ctx, renewInterval)
		case status == CutOff:
			pause.For(ctx, retryPause)
		default:
			refused = 0
		}
	}
}

// confirmCutOff reports whether the planner is still cut off after it had time for
// another renewal while this candidate reaches the store. The store may have been
// away for both.
func (c *Candidate) confirmCutOff(ctx context.Context, held keyvalue.Item) bool {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	_, _, _, err := c.Store.Get(calling, Key)
	cancel()
	if err != nil || !pause.For(ctx, callTimeout+retryPause) {
		return false
	}
	calling, cancel = context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.AskStatus(calling, held.Value, StatusRequest{held.Revision, 0, c.Cores})
	return err == nil && status == CutOff
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
