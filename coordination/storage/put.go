package storage

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// Put replaces the value of previous, as it was read, if nobody has written
// the key since; a nil value deletes. It returns the entry as it is then.
//
// A lost race is a *state.WriteConflict. An answer that was lost is resolved by
// sending the same write again and, once that conflicts, looking for its write
// id; when this cannot be done in time the error is an ambiguous *state.StepError.
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
	return s.resolve(ctx, purpose, previous, write, err)
}

// resolve sends the write again until it took effect or has conflicted.
func (s *Storage) resolve(ctx context.Context, purpose Purpose, previous state.Entry, write state.Write, lost error) (state.Entry, error) {
	for attempt := 0; s.Pause(ctx, attempt); attempt++ {
		written, err := s.compareAndSwap(ctx, purpose, write)
		if err == nil {
			return written, nil
		}
		var conflict *state.WriteConflict
		if errors.As(err, &conflict) {
			return s.readBack(ctx, purpose, previous, write, conflict, lost)
		}
	}
	return state.Entry{}, lost
}

// readBack finds out whether the write is among those that the key has seen.
func (s *Storage) readBack(ctx context.Context, purpose Purpose, previous state.Entry, write state.Write, conflict *state.WriteConflict, lost error) (state.Entry, error) {
	for attempt := 0; ; attempt++ {
		current, err := s.Get(ctx, purpose, write.Key)
		// An older version than the conflict's is old data.
		if err == nil && current.Version >= conflict.Current {
			switch {
			case slices.Contains(current.Writes, write.Writes[0]):
				return current, nil
			case showsAllSince(current, previous):
				return state.Entry{}, conflict
			default:
				return state.Entry{}, lost
			}
		}
		if !s.Pause(ctx, attempt) {
			return state.Entry{}, lost
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

// showsAllSince reports whether the ids that current carries reach back to
// previous. A key that had no value counts from its creation: keys are only
// deleted by leases that last far longer than a write is resolved.
func showsAllSince(current, previous state.Entry) bool {
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
