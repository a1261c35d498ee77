package storage

import (
	"comfreystream/state"
	"context"
)

const readsOfOldData = 5

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
