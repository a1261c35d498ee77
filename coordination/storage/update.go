package storage

import (
	"context"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// maxWriteRetries is how often Update repeats a write after conflicts.
const maxWriteRetries = 8

// UpdateFunc returns the next value of an entry; if write is false, the entry stays
// as it is.
type UpdateFunc func(current state.Entry) (value []byte, write bool, err error)

// Update writes what change returns for the entry, repeats this after each conflict,
// and returns the entry as it is then. It starts from known if that has a version,
// which saves a call, and reads the key otherwise and after each conflict. It
// returns an error of change unwrapped.
func (s *Storage) Update(ctx context.Context, purpose Purpose, known state.Entry, lease state.StoreLease, change UpdateFunc) (state.Entry, error) {
	current, fresh := known, known.Version != 0
	least := known.Version
	for retry := 0; ; retry++ {
		if !fresh {
			read, err := s.ReadAtLeast(ctx, purpose, known.Key, least)
			if err != nil {
				return known, err
			}
			current = read
		}
		value, write, err := change(current)
		if err != nil || !write {
			return current, err
		}
		written, err := s.Put(ctx, purpose, current, value, lease)
		var conflict *state.WriteConflict
		if !errors.As(err, &conflict) {
			return written, err
		}
		fresh, least = false, conflict.Current
		if retry == maxWriteRetries || retry > 0 && !s.Backoff(ctx, retry) {
			return current, state.NewStepError("write "+known.Key, s.Peer, state.StoreUnavailable, conflict)
		}
	}
}
