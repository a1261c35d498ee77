package seat

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
)

const (
	// Key is where the planner's seat lies in the store.
	Key = "seat"
	// leaseTTL bounds the time without a planner after its silent death.
	leaseTTL = 2 * time.Second
	// renewInterval leaves room for three lost renewals.
	renewInterval = 400 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// driftMargin is what the store's clock may run ahead of ours in a lease.
	driftMargin = leaseTTL/20 + 50*time.Millisecond
	// watchWait is how long one watch on another's seat waits.
	watchWait = 1500 * time.Millisecond
	// retryPause is the time between failed calls.
	retryPause = 100 * time.Millisecond
)

// Candidate tries to get the seat and keeps it; it is safe for several goroutines.
type Candidate struct {
	Store *keyvalue.Store
	// Identity is what the seat's key holds; no other process may use it.
	Identity []byte
	// Now counts time also while the machine is suspended.
	Now func() time.Duration
	// Began starts the work of a term; Over ends it and waits.
	Began func(term keyvalue.Revision)
	Over  func()
	Log   zerolog.Logger

	mu    sync.Mutex
	lease keyvalue.LeaseID
	term  keyvalue.Revision
	until time.Duration
	// resigned ends the candidacy; given up ends only the present term.
	resigned bool
	givenUp  chan struct{}
}

// Valid reports whether the term surely goes on.
func (c *Candidate) Valid(term keyvalue.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term == term && term != 0 && c.Now() < c.until
}

// GiveUp ends the present term, if it is this one.
func (c *Candidate) GiveUp(term keyvalue.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term || c.givenUp == nil {
		return
	}
	c.until = 0
	select {
	case <-c.givenUp:
	default:
		close(c.givenUp)
	}
}

// Resign ends the candidacy for good; Run then frees the seat and returns.
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

// Run is a candidate until the context ends or Resign is called.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil && !c.hasResigned() {
		taken, err := c.take(ctx)
		if err != nil {
			c.Log.Warn().Str("event", "seatUnknown").Err(err).Send()
			pause(ctx, retryPause)
			continue
		}
		if taken {
			c.hold(ctx)
		}
	}
}

// take waits for the seat to be free and tries to get it.
func (c *Candidate) take(ctx context.Context) (bool, error) {
	item, found, err := c.read(ctx)
	if err != nil {
		return false, err
	}
	if found {
		return false, c.waitFree(ctx, item)
	}
	sent := c.Now()
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := c.Store.Grant(calling, leaseTTL)
	if err != nil {
		return false, err
	}
	term, err := c.create(ctx, lease)
	if err != nil || term == 0 {
		c.free(lease)
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.term, c.until = lease, term, sent+leaseTTL-driftMargin
	c.givenUp = make(chan struct{})
	return true, nil
}

// create writes the seat's key; term 0 says that another was faster. A write
// without an answer can take no effect once its lease is revoked.
func (c *Candidate) create(ctx context.Context, lease keyvalue.LeaseID) (keyvalue.Revision, error) {
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

func (c *Candidate) read(ctx context.Context) (keyvalue.Item, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Store.Get(ctx, Key)
}

// waitFree returns when the seat may have become free.
func (c *Candidate) waitFree(ctx context.Context, held keyvalue.Item) error {
	after := held.Revision
	for ctx.Err() == nil && !c.hasResigned() {
		watching, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		items, next, err := c.Store.Watch(watching, Key, after, watchWait)
		cancel()
		if errors.Is(err, keyvalue.ErrHistoryLost) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, item := range items {
			if item.Key == Key && item.Deleted {
				return nil
			}
		}
		after = next
	}
	return nil
}

// hold works as the planner until the term ends.
func (c *Candidate) hold(ctx context.Context) {
	c.mu.Lock()
	term, lease, givenUp := c.term, c.lease, c.givenUp
	c.mu.Unlock()
	c.Log.Info().Str("event", "termBegan").Int64("term", int64(term)).Send()
	c.Began(term)
	cause := c.keep(ctx, term, lease, givenUp)
	c.GiveUp(term)
	c.Over()
	c.Log.Info().Str("event", "termOver").Int64("term", int64(term)).Str("cause", cause).Send()
	c.free(lease)
}

// keep renews the lease until the term ends, and says why it did.
func (c *Candidate) keep(ctx context.Context, term keyvalue.Revision, lease keyvalue.LeaseID, givenUp chan struct{}) string {
	for {
		select {
		case <-ctx.Done():
			return "closed"
		case <-givenUp:
			return "givenUp"
		case <-time.After(renewInterval):
		}
		sent := c.Now()
		calling, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.Store.KeepAlive(calling, lease)
		cancel()
		switch {
		case err == nil:
			c.extend(term, sent)
		case errors.Is(err, keyvalue.ErrLeaseEnded):
			return "leaseEnded"
		default:
			c.Log.Warn().Str("event", "seatRenewalFailed").Int64("term", int64(term)).Err(err).Send()
		}
		if !c.Valid(term) {
			return "leaseUnsure"
		}
	}
}

// extend moves the end of the term, unless it has been passed already.
func (c *Candidate) extend(term keyvalue.Revision, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term && c.Now() < c.until {
		c.until = sent + leaseTTL - driftMargin
	}
}

// free revokes the lease, so that the next planner need not wait for its end.
func (c *Candidate) free(lease keyvalue.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, keyvalue.ErrLeaseEnded) {
		c.Log.Warn().Str("event", "seatNotFreed").Err(err).Send()
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
