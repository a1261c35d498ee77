package storage

import (
	"context"
	"math"

	"github.com/pkg/errors"

	"comfreystream/state"
)

const (
	readsOfOldData = 5
	// neverVersion is a version that no key reaches.
	neverVersion = math.MaxInt64
)

// Latest reads a key as it is now, also while the store answers reads with old
// data: a write that cannot win, since it names a version that no key reaches,
// makes the store name the present one. It takes two calls.
func (s *Storage) Latest(ctx context.Context, purpose Purpose, key string) (state.Entry, error) {
	err := s.repeat(ctx, "probe "+key, purpose, func(ctx context.Context) error {
		_, err := s.calls.CompareAndSwap(ctx, state.Write{Key: key, Old: neverVersion, Value: []byte{}})
		return err
	})
	var conflict *state.WriteConflict
	if !errors.As(err, &conflict) {
		return state.Entry{}, err
	}
	return s.ReadFrom(ctx, purpose, key, conflict.Current)
}

// ReadFrom reads a key that is known to have reached that version, and again
// while the store answers older data; after several such answers it fails.
func (s *Storage) ReadFrom(ctx context.Context, purpose Purpose, key string, least state.Version) (state.Entry, error) {
	for attempt := 0; ; attempt++ {
		entry, err := s.Get(ctx, purpose, key)
		if err != nil || entry.Version >= least {
			return entry, err
		}
		if attempt == readsOfOldData || !s.Pause(ctx, attempt) {
			return state.Entry{}, state.NewStepError("read "+key, s.Peer, state.StoreUnavailable, &OldData{Answered: entry.Version, Known: least})
		}
	}
}
