package seat

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
	// Key is where the planner's seat lies in the store.
	Key = "seat"
	// LeaseTTL bounds the time without a planner after its silent death, and
	// how long a planner that was deposed may still give orders.
	LeaseTTL = 2 * time.Second
	// renewInterval leaves room for three lost renewals.
	renewInterval = 400 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// driftMargin is what the store's clock may run ahead of ours in a lease.
	driftMargin = LeaseTTL/20 + 50*time.Millisecond
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
	// Ask asks the planner that the identity names how it stands to the term,
	// and waits for a change; see Standing.
	Ask func(ctx context.Context, identity []byte, term keyvalue.Revision, wait time.Duration) (Standing, error)
	// Began starts the work of a term; Over ends it and waits.
	Began func(term keyvalue.Revision)
	Over  func()
	Log   zerolog.Logger

	mu    sync.Mutex
	lease keyvalue.LeaseID
	term  keyvalue.Revision
	// renewed is when the newest renewal that succeeded was sent.
	renewed time.Duration
	// resigned ends the candidacy; givenUp is closed with the present term.
	resigned bool
	givenUp  chan struct{}
	// planner is the seat as it was last seen with somebody else.
	planner keyvalue.Item
	// deposed is when this candidate last ended another's term.
	deposed time.Duration
}

// Valid reports whether the term surely goes on.
func (c *Candidate) Valid(term keyvalue.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.validFor(term, LeaseTTL-driftMargin)
}

// validFor reports whether the term is held and was renewed within the time.
func (c *Candidate) validFor(term keyvalue.Revision, age time.Duration) bool {
	return c.term == term && c.holds() && c.Now()-c.renewed < age
}

func (c *Candidate) holds() bool {
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

// GiveUp ends the present term, if it is this one.
func (c *Candidate) GiveUp(term keyvalue.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term && c.holds() {
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
			if ctx.Err() == nil {
				c.Log.Warn().Str("event", "seatUnknown").Err(err).Send()
			}
			pause.For(ctx, retryPause)
			continue
		}
		if taken {
			c.hold(ctx)
		}
	}
}

// take waits for the seat to be free and tries to get it.
func (c *Candidate) take(ctx context.Context) (bool, error) {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	item, found, asOf, err := c.Store.Get(calling, Key)
	cancel()
	if err != nil {
		return false, err
	}
	if found {
		c.see(item)
		return false, c.waitFree(ctx, item, asOf)
	}
	sent := c.Now()
	calling, cancel = context.WithTimeout(ctx, callTimeout)
	lease, err := c.Store.Grant(calling, LeaseTTL)
	cancel()
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
	c.lease, c.term, c.renewed = lease, term, sent
	c.givenUp = make(chan struct{})
	return true, nil
}

func (c *Candidate) see(item keyvalue.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner = item
}

// Planner returns the identity of the planner that was last seen, and whether
// this candidate is the planner itself.
func (c *Candidate) Planner() (identity []byte, self bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holds() {
		return c.Identity, true
	}
	return c.planner.Value, false
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

// waitFree returns when the seat may have become free.
func (c *Candidate) waitFree(ctx context.Context, held keyvalue.Item, after keyvalue.Revision) error {
	ctx, cancel := context.WithCancel(ctx)
	var suspecting sync.WaitGroup
	defer suspecting.Wait()
	defer cancel()
	suspecting.Go(func() { c.suspect(ctx, held) })
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

// keep renews the lease until the term ends, and says why it did. A term whose
// lease is not sure to hold only pauses: as long as nobody has taken the seat,
// a renewal that succeeds shows that it was held all the while.
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
		case ctx.Err() == nil:
			c.Log.Warn().Str("event", "seatRenewalFailed").Int64("term", int64(term)).
				Bool("sure", c.Valid(term)).Err(err).Send()
		}
	}
}

func (c *Candidate) extend(term keyvalue.Revision, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term {
		c.renewed = max(c.renewed, sent)
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
