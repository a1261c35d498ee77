package storage

import (
	"context"

	"github.com/pkg/errors"

	"comfreystream/state"
)

const maxRaces = 8

// Change makes the next value of an entry; write false leaves it as it is.
type Change func(current state.Entry) (value []byte, write bool, err error)

// Update applies change to the entry until its write wins, and returns the
// entry as it is then. It starts from known if that has a version, which saves
// a call, and reads the key otherwise and after each lost race. An error of
// change is returned as it is.
func (s *Storage) Update(ctx context.Context, purpose Purpose, known state.Entry, lease state.StoreLease, change Change) (state.Entry, error) {
	current, fresh := known, known.Version != 0
	least := known.Version
	for race := 0; ; race++ {
		if !fresh {
			read, err := s.ReadFrom(ctx, purpose, known.Key, least)
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
		if race == maxRaces || race > 0 && !s.Pause(ctx, race) {
			return current, state.NewStepError("write "+known.Key, s.Peer, state.StoreUnavailable, conflict)
		}
	}
}
