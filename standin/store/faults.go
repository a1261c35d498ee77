package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// Operation identifies an operation of the store.
type Operation uint8

// The operations of the store.
const (
	Get Operation = iota
	CompareAndSwap
	Watch
	Grant
	KeepAlive
)

// Faults selects the faults of one call; the zero value has none.
type Faults struct {
	// Down fails the call without executing it.
	Down bool
	// Refuse rejects the call with an error saying that it had no effect.
	Refuse bool
	// Slow delays the effect and the reply. A caller that stops waiting does not
	// prevent the effect.
	Slow time.Duration
	// LoseAnswer fails the call after it took effect.
	LoseAnswer bool
	// StaleReads serves reads from the data of the last SnapshotStaleData.
	StaleReads bool
}

// Inject sets the function that chooses the faults of each call by operation and
// key; nil stops injecting faults.
func (s *Store) Inject(chooseFaults func(operation Operation, key string) Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFaults = chooseFaults
}

// SnapshotStaleData saves a copy of the current data for reads with the fault StaleReads.
func (s *Store) SnapshotStaleData() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleRecords = make(map[string]record, len(s.records))
	for key, r := range s.records {
		s.staleRecords[key] = r
	}
	s.staleVersion = s.version
}

// result holds what an operation returns; each operation sets the fields it needs.
type result struct {
	entries []state.Entry
	version state.Version
	lease   state.StoreLease
	err     error
}

// execute counts a call and runs effect subject to the faults chosen for the call.
func (s *Store) execute(ctx context.Context, operation Operation, key string, effect func(Faults) result) result {
	faults := s.recordCall(operation, key)
	switch {
	case faults.Down:
		return result{err: errors.New("the store is down")}
	case faults.Refuse:
		return result{err: refusalError(state.StoreUnavailable, "refused")}
	}
	a := s.executeDelayed(ctx, faults, effect)
	if a.err == nil && faults.LoseAnswer {
		return result{err: errors.New("the reply was lost")}
	}
	return a
}

// recordCall counts a call and returns the faults chosen for it.
func (s *Store) recordCall(operation Operation, key string) Faults {
	s.mu.Lock()
	s.calls[operation]++
	chooseFaults := s.chooseFaults
	s.mu.Unlock()
	if chooseFaults == nil {
		return Faults{}
	}
	return chooseFaults(operation, key)
}

func (s *Store) executeDelayed(ctx context.Context, faults Faults, effect func(Faults) result) result {
	if faults.Slow == 0 {
		return effect(faults)
	}
	done := make(chan result, 1)
	s.delayedCalls.Go(func() {
		timer := time.NewTimer(faults.Slow)
		defer timer.Stop()
		select {
		case <-timer.C:
			done <- effect(faults)
		case <-s.closed:
			done <- result{err: errors.New("the store is closed")}
		}
	})
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return result{err: ctx.Err()}
	}
}
