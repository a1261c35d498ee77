package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// Operation is one of the store's calls.
type Operation uint8

// The store's calls.
const (
	Get Operation = iota
	CompareAndSwap
	Watch
	Grant
	KeepAlive
)

// Faults says how one call goes wrong; the zero value is a call that goes well.
type Faults struct {
	// Down fails the call without an effect.
	Down bool
	// Refuse answers that the call was not carried out.
	Refuse bool
	// Slow delays the effect and the answer; a caller who gives up meanwhile
	// does not undo the effect.
	Slow time.Duration
	// LoseAnswer fails the call after its effect.
	LoseAnswer bool
	// OldData answers reads from the time of the last Freeze.
	OldData bool
}

// Inject sets what decides on the faults of each call, by operation and key; nil ends them.
func (s *Store) Inject(decide func(operation Operation, key string) Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide = decide
}

// Freeze keeps the present data for calls that answer old data.
func (s *Store) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = make(map[string]record, len(s.records))
	for key, r := range s.records {
		s.frozen[key] = r
	}
	s.frozenAt = s.version
}

// answer is what a call returns; each call fills its own fields.
type answer struct {
	entries []state.Entry
	version state.Version
	lease   state.StoreLease
	err     error
}

// carryOut counts a call and performs effect under its faults.
func (s *Store) carryOut(ctx context.Context, operation Operation, key string, effect func(Faults) answer) answer {
	faults := s.begin(operation, key)
	switch {
	case faults.Down:
		return answer{err: errors.New("the store is down")}
	case faults.Refuse:
		return answer{err: refusal(state.StoreUnavailable, "refused")}
	}
	a := s.delayed(ctx, faults, effect)
	if a.err == nil && faults.LoseAnswer {
		return answer{err: errors.New("the answer was lost")}
	}
	return a
}

func (s *Store) begin(operation Operation, key string) Faults {
	s.mu.Lock()
	s.calls[operation]++
	decide := s.decide
	s.mu.Unlock()
	if decide == nil {
		return Faults{}
	}
	return decide(operation, key)
}

func (s *Store) delayed(ctx context.Context, faults Faults, effect func(Faults) answer) answer {
	if faults.Slow == 0 {
		return effect(faults)
	}
	done := make(chan answer, 1)
	s.late.Go(func() {
		timer := time.NewTimer(faults.Slow)
		defer timer.Stop()
		select {
		case <-timer.C:
			done <- effect(faults)
		case <-s.closed:
			done <- answer{err: errors.New("the store is closed")}
		}
	})
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return answer{err: ctx.Err()}
	}
}
