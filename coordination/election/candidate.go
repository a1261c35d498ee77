package election

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
)

const (
	// Key is the store key whose creator is the planner.
	Key = "seat"
	// LeaseTTL bounds how long there is no planner after one has stopped without
	// releasing the key, and how long a deposed planner may still give orders.
	LeaseTTL = 2 * time.Second
	// renewInterval lets two renewals fail before the lease expires, each for
	// callTimeout and repeated after retryPause.
	renewInterval = 400 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// driftMargin is how far the store's clock may run ahead of this machine's
	// during one lease.
	driftMargin = LeaseTTL/20 + 50*time.Millisecond
	// watchWait is how long one watch call waits for a change of the key.
	watchWait = 1500 * time.Millisecond
	// retryPause is the wait after a failed call.
	retryPause = 100 * time.Millisecond
	// lateMargin is how late a timer may fire before the process counts as late,
	// so that an unanswered call says nothing about the store.
	lateMargin = 200 * time.Millisecond
)

// Candidate runs for planner and keeps its terms alive; it is safe for
// concurrent use.
type Candidate struct {
	Store *keyvalue.Store
	// Identity is the value written to Key; it must be unique to this process.
	Identity []byte
	// Cores is how many processor cores this process may use. Candidates with
	// fewer leave the planning to those with more.
	Cores float64
	// Now returns a monotonic time that includes suspension of the machine.
	Now func() time.Duration
	// AskStatus requests the Status of the planner with the identity; the planner
	// holds the request open until its status changes or the wait is over.
	AskStatus func(ctx context.Context, identity []byte, request StatusRequest) (TermStatus, error)
	// StartTerm starts the work of a term; EndTerm stops it and waits for it.
	StartTerm func(term keyvalue.Revision)
	EndTerm   func()
	Log       zerolog.Logger

	mu    sync.Mutex
	lease keyvalue.LeaseID
	term  keyvalue.Revision
	// began is when the term began, renewed when the latest successful renewal was
	// sent, and failedOnTime counts the renewals since then that failed although
	// this process was not late.
	began        time.Duration
	renewed      time.Duration
	failedOnTime int
	// resigned stops Run; givenUp is closed when the current term is given up.
	resigned bool
	givenUp  chan struct{}
	// planner is the item under Key when another candidate last held it, and
	// stoodBy is set once the key was free after that and left to others.
	planner keyvalue.Item
	stoodBy bool
	// lastDeposed is when this candidate last ended another's term; 0 is never.
	lastDeposed time.Duration
}

// Valid reports whether this candidate certainly still holds the term.
func (c *Candidate) Valid(term keyvalue.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.renewedWithin(term, LeaseTTL-driftMargin)
}

// renewedWithin reports whether the term is held and its latest successful
// renewal was sent less than age ago.
func (c *Candidate) renewedWithin(term keyvalue.Revision, age time.Duration) bool {
	return c.term == term && c.holdsTerm() && c.Now()-c.renewed < age
}

func (c *Candidate) holdsTerm() bool {
	if c.term == 0 {
		return false
	}
	select {
	case <-c.givenUp:
		return false
	default:
		return true
	}
}

// Lease returns the lease of the latest term that this candidate has held.
func (c *Candidate) Lease() keyvalue.LeaseID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// GiveUp ends the term if it is the current one.
func (c *Candidate) GiveUp(term keyvalue.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term && c.holdsTerm() {
		close(c.givenUp)
	}
}

// Resign stops the candidate for good: Run releases the lease and returns.
func (c *Candidate) Resign() {
	c.mu.Lock()
	c.resigned = true
	term := c.term
	c.mu.Unlock()
	c.GiveUp(term)
}

func (c *Candidate) hasResigned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resigned
}

// Run takes part in the election until the context ends or Resign is called.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil && !c.hasResigned() {
		acquired, err := c.acquire(ctx)
		if err != nil {
			if ctx.Err() == nil {
				c.Log.Warn().Str("event", "seatUnknown").Err(err).Send()
			}
			pause.For(ctx, retryPause)
			continue
		}
		if acquired {
			c.runTerm(ctx)
		}
	}
}

// acquire tries to become the planner if there is none, and otherwise waits
// until the current one may have gone.
func (c *Candidate) acquire(ctx context.Context) (bool, error) {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	item, found, asOf, err := c.Store.Get(calling, Key)
	cancel()
	if err != nil {
		return false, err
	}
	if found {
		c.setPlanner(item)
		return false, c.waitForRelease(ctx, item, asOf)
	}
	if c.standsBy() {
		pause.For(ctx, c.standbyDelay())
		return false, nil
	}
	sent := c.Now()
	calling, cancel = context.WithTimeout(ctx, callTimeout)
	lease, err := c.Store.Grant(calling, LeaseTTL)
	cancel()
	if err != nil {
		return false, err
	}
	term, err := c.createKey(ctx, lease)
	if err != nil || term == 0 {
		c.release(lease)
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.term, c.began, c.renewed, c.failedOnTime = lease, term, sent, sent, 0
	c.stoodBy = false
	c.givenUp = make(chan struct{})
	return true, nil
}

func (c *Candidate) setPlanner(item keyvalue.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner, c.stoodBy = item, false
}

// Planner returns the identity of the planner that was last seen, and whether
// this candidate is the planner itself.
func (c *Candidate) Planner() (identity []byte, self bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdsTerm() {
		return c.Identity, true
	}
	return c.planner.Value, false
}

// createKey writes Key under the lease and returns the new term, which is 0 if
// another candidate was faster. A write whose answer was lost cannot take effect
// once its lease is revoked.
func (c *Candidate) createKey(ctx context.Context, lease keyvalue.LeaseID) (keyvalue.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := c.Store.Commit(ctx, keyvalue.Change{
		Conditions: []keyvalue.Condition{{Key: Key}},
		Puts:       []keyvalue.Put{{Key: Key, Value: c.Identity, Lease: lease}},
	})
	var conflict *keyvalue.ConflictError
	if errors.As(err, &conflict) {
		return 0, nil
	}
	return revision, err
}

// waitForRelease monitors the planner and returns when Key may have been deleted.
func (c *Candidate) waitForRelease(ctx context.Context, held keyvalue.Item, after keyvalue.Revision) error {
	ctx, cancel := context.WithCancel(ctx)
	var monitor sync.WaitGroup
	defer monitor.Wait()
	defer cancel()
	monitor.Go(func() { c.monitorPlanner(ctx, held) })
	for ctx.Err() == nil && !c.hasResigned() {
		watching, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		items, next, err := c.Store.Watch(watching, Key, after, watchWait)
		cancel()
		if errors.Is(err, keyvalue.ErrHistoryLost) {
			pause.For(ctx, retryPause)
			return nil
		}
		if err != nil {
			return err
		}
		for _, item := range items {
			if item.Key == Key && item.Revision > held.Revision {
				return nil
			}
		}
		after = next
	}
	return nil
}

// runTerm acts as the planner until the term ends.
func (c *Candidate) runTerm(ctx context.Context) {
	c.mu.Lock()
	term, lease, givenUp := c.term, c.lease, c.givenUp
	c.mu.Unlock()
	c.Log.Info().Str("event", "termBegan").Int64("term", int64(term)).Send()
	c.StartTerm(term)
	cause := c.renewLease(ctx, term, lease, givenUp)
	c.GiveUp(term)
	c.EndTerm()
	c.Log.Info().Str("event", "termOver").Int64("term", int64(term)).Str("cause", cause).Send()
	c.release(lease)
}

// renewLease renews the lease until the term ends and returns the cause of the
// end. Failed renewals do not end the term, they only make it invalid meanwhile:
// if a later renewal succeeds, the lease never expired and nobody else became
// the planner.
func (c *Candidate) renewLease(ctx context.Context, term keyvalue.Revision, lease keyvalue.LeaseID, givenUp chan struct{}) string {
	wait := renewInterval
	for {
		waiting := c.Now()
		select {
		case <-ctx.Done():
			return "closed"
		case <-givenUp:
			return "givenUp"
		case <-time.After(wait):
		}
		sent := c.Now()
		calling, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.Store.KeepAlive(calling, lease)
		cancel()
		late := max(sent-waiting-wait, c.Now()-sent-callTimeout)
		wait = retryPause
		switch {
		case err == nil:
			wait = renewInterval
			c.recordRenewal(term, sent)
		case errors.Is(err, keyvalue.ErrLeaseEnded):
			return "leaseEnded"
		case ctx.Err() == nil:
			c.recordFailedRenewal(late)
			c.Log.Warn().Str("event", "seatRenewalFailed").Int64("term", int64(term)).
				Bool("sure", c.Valid(term)).Dur("late", max(late, 0)).Err(err).Send()
		}
	}
}

func (c *Candidate) recordRenewal(term keyvalue.Revision, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term {
		c.renewed, c.failedOnTime = max(c.renewed, sent), 0
	}
}

// recordFailedRenewal counts a failed renewal unless this process was too late
// itself to have read an answer.
func (c *Candidate) recordFailedRenewal(late time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if late < lateMargin {
		c.failedOnTime++
	}
}

// release revokes the lease, so that the next planner need not wait until it
// expires.
func (c *Candidate) release(lease keyvalue.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, keyvalue.ErrLeaseEnded) {
		c.Log.Warn().Str("event", "seatNotFreed").Err(err).Send()
	}
}
