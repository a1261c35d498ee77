package storage

import (
	"context"
	"crypto/rand"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"comfreystream/state"
)

const (
	callTimeout       = time.Second
	resolveTimeout    = 3 * time.Second
	breakerOpen       = time.Second
	breakerFailures   = 5
	defaultCallBudget = 100
	readAttempts      = 3
	writeIDLength     = 12
)

// Calls are the store's own calls, each sent once. A call that the store did
// not see or refused returns a *state.StepError that is not ambiguous; a lost
// write is a *state.WriteConflict.
type Calls struct {
	// Get returns an entry of version 0 for a key without a value.
	Get            func(ctx context.Context, key string) (state.Entry, error)
	CompareAndSwap func(ctx context.Context, write state.Write) (state.Version, error)
	// Watch returns the keys under prefix written after that version, waiting up
	// to wait for the first, and the version up to which it looked.
	Watch     func(ctx context.Context, prefix string, after state.Version, wait time.Duration) ([]state.Entry, state.Version, error)
	Grant     func(ctx context.Context, ttl time.Duration) (state.StoreLease, error)
	KeepAlive func(ctx context.Context, lease state.StoreLease) error
}

// Storage is the store as the decisions see it; it is safe for several goroutines.
type Storage struct {
	// Peer is the store's address, for errors.
	Peer netip.AddrPort
	// Count is told of each call and each refusal to call; nil counts nothing.
	Count func(purpose Purpose, result Result)
	// NewWriteID names a write; it must never repeat.
	NewWriteID func() state.WriteID
	// Random returns a number from 0 to 1 for jitter.
	Random func() float64

	calls   Calls
	limiter *rate.Limiter
	breaker *gobreaker.CircuitBreaker[struct{}]
	// watches has a breaker of its own: a probe that waits must not hold up the others.
	watches *gobreaker.CircuitBreaker[struct{}]
	sent    [purposeCount]atomic.Uint64
}

// New returns a Storage that sends at most callsPerSecond, or 100 if it is 0.
func New(calls Calls, callsPerSecond float64) *Storage {
	if callsPerSecond == 0 {
		callsPerSecond = defaultCallBudget
	}
	return &Storage{
		NewWriteID: newWriteID,
		Random:     randomPart,
		calls:      calls,
		limiter:    rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond))),
		breaker:    newBreaker("store"),
		watches:    newBreaker("watch"),
	}
}

// Sent returns how many calls went to the store for the purpose.
func (s *Storage) Sent(purpose Purpose) uint64 {
	return s.sent[purpose].Load()
}

// Available reports whether calls are being sent, that is, whether the breaker is not open.
func (s *Storage) Available() bool {
	return s.breaker.State() != gobreaker.StateOpen
}

// Get reads a key; a key without a value has version 0.
func (s *Storage) Get(ctx context.Context, purpose Purpose, key string) (entry state.Entry, err error) {
	err = s.repeat(ctx, "read "+key, purpose, func(ctx context.Context) (err error) {
		entry, err = s.calls.Get(ctx, key)
		return err
	})
	return entry, err
}

// List reads all keys under prefix, and the version up to which it looked.
func (s *Storage) List(ctx context.Context, purpose Purpose, prefix string) (entries []state.Entry, latest state.Version, err error) {
	err = s.repeat(ctx, "list "+prefix, purpose, func(ctx context.Context) (err error) {
		entries, latest, err = s.calls.Watch(ctx, prefix, 0, 0)
		return err
	})
	return entries, latest, err
}

// Watch waits up to wait for keys under prefix to be written after that version.
func (s *Storage) Watch(ctx context.Context, prefix string, after state.Version, wait time.Duration) (entries []state.Entry, latest state.Version, err error) {
	err = s.call(ctx, s.watches, "watch "+prefix, ForWatch, wait+callTimeout, func(ctx context.Context) (err error) {
		entries, latest, err = s.calls.Watch(ctx, prefix, after, wait)
		return err
	})
	return entries, latest, err
}

// Grant takes a lease; values written under it go ttl after the last KeepAlive.
func (s *Storage) Grant(ctx context.Context, ttl time.Duration) (lease state.StoreLease, err error) {
	err = s.repeat(ctx, "grant lease", ForLease, func(ctx context.Context) (err error) {
		lease, err = s.calls.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepAlive extends a lease by its ttl.
func (s *Storage) KeepAlive(ctx context.Context, lease state.StoreLease) error {
	return s.repeat(ctx, "keep lease alive", ForLease, func(ctx context.Context) error {
		return s.calls.KeepAlive(ctx, lease)
	})
}

func newWriteID() state.WriteID {
	return state.WriteID(rand.Text()[:writeIDLength])
}
