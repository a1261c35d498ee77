package storage

import (
	"context"
	"math"

	"github.com/pkg/errors"

	"comfreystream/state"
)

const (
	// staleReadRetries is how often ReadAtLeast reads again after stale reads.
	staleReadRetries = 5
	// unreachableVersion is higher than the version of any key.
	unreachableVersion = math.MaxInt64
)

// Latest reads the current value of a key, even while the store serves stale reads:
// a conditional write on a version that no key reaches always conflicts, and the
// conflict contains the current version. It takes at least two calls.
func (s *Storage) Latest(ctx context.Context, purpose Purpose, key string) (state.Entry, error) {
	err := s.callWithRetry(ctx, "probe "+key, purpose, func(ctx context.Context) error {
		_, err := s.calls.CompareAndSwap(ctx, state.Write{Key: key, Old: unreachableVersion, Value: []byte{}})
		return err
	})
	var conflict *state.WriteConflict
	if !errors.As(err, &conflict) {
		return state.Entry{}, err
	}
	return s.ReadAtLeast(ctx, purpose, key, conflict.Current)
}

// ReadAtLeast reads a key whose version is known to be at least least. It reads again
// after a stale read, up to staleReadRetries times, and then fails.
func (s *Storage) ReadAtLeast(ctx context.Context, purpose Purpose, key string, least state.Version) (state.Entry, error) {
	for attempt := 0; ; attempt++ {
		entry, err := s.Get(ctx, purpose, key)
		if err != nil || entry.Version >= least {
			return entry, err
		}
		if attempt == staleReadRetries || !s.Backoff(ctx, attempt) {
			return state.Entry{}, state.NewStepError("read "+key, s.Peer, state.StoreUnavailable, &StaleReadError{Returned: entry.Version, Known: least})
		}
	}
}
