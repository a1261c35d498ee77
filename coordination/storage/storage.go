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
	callTimeout = time.Second
	// resolveTimeout bounds the search for the result of an ambiguous write.
	resolveTimeout = 3 * time.Second
	// breakerOpenTime is how long an open breaker stops calls before it tries one.
	breakerOpenTime = time.Second
	// breakerFailures is the number of consecutive failures that open a breaker.
	breakerFailures       = 5
	defaultCallsPerSecond = 100
	maxCallAttempts       = 3
	writeIDLength         = 12
)

// Calls holds the raw calls to the store; each is sent once. A call that did not
// reach the store, or that the store refused, returns an unambiguous
// *state.StepError; a conditional write on an outdated version returns a
// *state.WriteConflict.
type Calls struct {
	// Get returns an entry of version 0 for a key without a value.
	Get            func(ctx context.Context, key string) (state.Entry, error)
	CompareAndSwap func(ctx context.Context, write state.Write) (state.Version, error)
	// Watch returns the entries under prefix written after that version, waiting up
	// to wait for the first, and the version up to which the result is complete.
	Watch     func(ctx context.Context, prefix string, after state.Version, wait time.Duration) ([]state.Entry, state.Version, error)
	Grant     func(ctx context.Context, ttl time.Duration) (state.StoreLease, error)
	KeepAlive func(ctx context.Context, lease state.StoreLease) error
}

// Storage is a client of the store; it is safe for concurrent use.
type Storage struct {
	// Peer is the store's address, for errors.
	Peer netip.AddrPort
	// Count is called for each call, including those not sent; it may be nil.
	Count func(purpose Purpose, result Result)
	// NewWriteID returns a unique ID for a write.
	NewWriteID func() state.WriteID
	// Random returns a number in [0, 1) for the jitter of Backoff.
	Random func() float64

	calls   Calls
	limiter *rate.Limiter
	breaker *gobreaker.CircuitBreaker[struct{}]
	// watches is a breaker for watches only: a half-open breaker lets one call through,
	// and a watch that waits would hold up all others.
	watches *gobreaker.CircuitBreaker[struct{}]
	sent    [purposeCount]atomic.Uint64
}

// New returns a Storage that sends at most callsPerSecond calls, or 100 if that is 0.
func New(calls Calls, callsPerSecond float64) *Storage {
	if callsPerSecond == 0 {
		callsPerSecond = defaultCallsPerSecond
	}
	return &Storage{
		NewWriteID: newWriteID,
		Random:     randomFraction,
		calls:      calls,
		limiter:    rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond))),
		breaker:    newBreaker("store"),
		watches:    newBreaker("watch"),
	}
}

// Sent returns the number of calls sent to the store for the purpose.
func (s *Storage) Sent(purpose Purpose) uint64 {
	return s.sent[purpose].Load()
}

// Available reports whether calls are sent, which the open breaker prevents.
func (s *Storage) Available() bool {
	return s.breaker.State() != gobreaker.StateOpen
}

// Get reads a key; a key without a value has version 0.
func (s *Storage) Get(ctx context.Context, purpose Purpose, key string) (entry state.Entry, err error) {
	err = s.callWithRetry(ctx, "read "+key, purpose, func(ctx context.Context) (err error) {
		entry, err = s.calls.Get(ctx, key)
		return err
	})
	return entry, err
}

// List returns all entries under prefix, and the version up to which they are complete.
func (s *Storage) List(ctx context.Context, purpose Purpose, prefix string) (entries []state.Entry, latest state.Version, err error) {
	err = s.callWithRetry(ctx, "list "+prefix, purpose, func(ctx context.Context) (err error) {
		entries, latest, err = s.calls.Watch(ctx, prefix, 0, 0)
		return err
	})
	return entries, latest, err
}

// Watch returns the entries under prefix written after that version, waiting up to
// wait for the first, and the version up to which they are complete.
func (s *Storage) Watch(ctx context.Context, prefix string, after state.Version, wait time.Duration) (entries []state.Entry, latest state.Version, err error) {
	err = s.call(ctx, s.watches, "watch "+prefix, ForWatch, wait+callTimeout, func(ctx context.Context) (err error) {
		entries, latest, err = s.calls.Watch(ctx, prefix, after, wait)
		return err
	})
	return entries, latest, err
}

// Grant takes a lease; values written under it are deleted ttl after the grant or the
// last KeepAlive.
func (s *Storage) Grant(ctx context.Context, ttl time.Duration) (lease state.StoreLease, err error) {
	err = s.callWithRetry(ctx, "grant lease", ForLease, func(ctx context.Context) (err error) {
		lease, err = s.calls.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepAlive restarts the ttl of a lease.
func (s *Storage) KeepAlive(ctx context.Context, lease state.StoreLease) error {
	return s.callWithRetry(ctx, "keep lease alive", ForLease, func(ctx context.Context) error {
		return s.calls.KeepAlive(ctx, lease)
	})
}

func newWriteID() state.WriteID {
	return state.WriteID(rand.Text()[:writeIDLength])
}
