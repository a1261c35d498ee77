package storage

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// Put replaces the value of previous, as it was read, if the key has not been
// written since, and returns the new entry; a nil value deletes the key.
//
// If the key has been written, the error is a *state.WriteConflict. After an
// ambiguous failure Put sends the same write again and, once that conflicts, looks
// for its write ID in the entry. If the result cannot be determined in time, the
// error is an ambiguous *state.StepError.
func (s *Storage) Put(ctx context.Context, purpose Purpose, previous state.Entry, value []byte, lease state.StoreLease) (state.Entry, error) {
	write := state.Write{
		Key:    previous.Key,
		Old:    previous.Version,
		Value:  value,
		Writes: append([]state.WriteID{s.NewWriteID()}, previous.Writes[:min(len(previous.Writes), state.WritesKept-1)]...),
		Lease:  lease,
	}
	written, err := s.compareAndSwap(ctx, purpose, write)
	if err == nil || !isStepError(err) || !state.IsAmbiguous(err) {
		return written, err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	return s.resolveAmbiguous(ctx, purpose, previous, write, err)
}

// resolveAmbiguous sends the write again until it takes effect or conflicts.
func (s *Storage) resolveAmbiguous(ctx context.Context, purpose Purpose, previous state.Entry, write state.Write, ambiguousErr error) (state.Entry, error) {
	for attempt := 0; s.Backoff(ctx, attempt); attempt++ {
		written, err := s.compareAndSwap(ctx, purpose, write)
		if err == nil {
			return written, nil
		}
		var conflict *state.WriteConflict
		if errors.As(err, &conflict) {
			return s.readBack(ctx, purpose, previous, write, conflict, ambiguousErr)
		}
	}
	return state.Entry{}, ambiguousErr
}

// readBack finds out whether the write is among the latest writes of the key.
func (s *Storage) readBack(ctx context.Context, purpose Purpose, previous state.Entry, write state.Write, conflict *state.WriteConflict, ambiguousErr error) (state.Entry, error) {
	for attempt := 0; ; attempt++ {
		current, err := s.Get(ctx, purpose, write.Key)
		// A version older than the conflict's is a stale read.
		if err == nil && current.Version >= conflict.Current {
			switch {
			case slices.Contains(current.Writes, write.Writes[0]):
				return current, nil
			case hasAllWritesSince(current, previous):
				return state.Entry{}, conflict
			default:
				return state.Entry{}, ambiguousErr
			}
		}
		if !s.Backoff(ctx, attempt) {
			return state.Entry{}, ambiguousErr
		}
	}
}

func (s *Storage) compareAndSwap(ctx context.Context, purpose Purpose, write state.Write) (state.Entry, error) {
	var version state.Version
	err := s.call(ctx, s.breaker, "write "+write.Key, purpose, callTimeout, func(ctx context.Context) (err error) {
		version, err = s.calls.CompareAndSwap(ctx, write)
		return err
	})
	if err != nil {
		return state.Entry{}, err
	}
	return state.Entry{Key: write.Key, Value: write.Value, Version: version, Writes: write.Writes}, nil
}

// hasAllWritesSince reports whether the write IDs in current reach back to previous.
// For a key that had no value they must reach back to its creation. Keys with more
// than one writer are deleted only by leases, which last far longer than an ambiguous
// write takes to resolve.
func hasAllWritesSince(current, previous state.Entry) bool {
	if current.Version == 0 {
		return false
	}
	if previous.Version == 0 {
		return len(current.Writes) < state.WritesKept
	}
	return len(previous.Writes) > 0 && slices.Contains(current.Writes, previous.Writes[0])
}

func isStepError(err error) bool {
	var step *state.StepError
	return errors.As(err, &step)
}
