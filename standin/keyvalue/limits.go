package keyvalue

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state"
)

// Limits holds the platform's limits of the store. A test sets low those that it crosses.
type Limits struct {
	// KeyBytes and ValueBytes are the most bytes of a key and of a value, ChangeEntries the
	// most conditions, puts and deletes of a change together; larger ones are refused.
	KeyBytes      int
	ValueBytes    int
	ChangeEntries int
	// WritesPerSecond counts changes and grants, renewals and ends of leases;
	// ReadsPerSecond counts the other calls. Further calls are refused; 0 is no limit, as
	// many tests fill a store within an instant of virtual time.
	WritesPerSecond int
	ReadsPerSecond  int
	// History is how long changes are kept for watches.
	History time.Duration
	// MaxWait is the longest wait of a watch; longer ones are cut short.
	MaxWait time.Duration
}

// platformLimits are the limits of the platform itself, which also accepts 1,200 writes and
// 6,000 reads per second.
func platformLimits() Limits {
	return Limits{
		KeyBytes: 200, ValueBytes: 1 << 20, ChangeEntries: 32,
		History: 20 * time.Second, MaxWait: 30 * time.Second,
	}
}

// rate counts calls within one second.
type rate struct {
	began time.Time
	calls int
}

// exceeds counts a call and reports whether it is beyond the limit.
func (r *rate) exceeds(limit int, now time.Time) bool {
	if now.Sub(r.began) >= time.Second {
		r.began, r.calls = now, 0
	}
	r.calls++
	return limit > 0 && r.calls > limit
}

// checkRate refuses a call beyond the store's rates.
func (s *Store) checkRate(call string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted, limit := &s.writes, s.WritesPerSecond
	switch call {
	case "Get", "List", "Watch":
		counted, limit = &s.reads, s.ReadsPerSecond
	}
	if counted.exceeds(limit, time.Now()) {
		return state.NewStepError(call, netip.AddrPort{}, state.TooManyCalls, nil)
	}
	return nil
}

func (s *Store) checkLimits(change keyvalue.Change) error {
	if entries := len(change.Conditions) + len(change.Puts) + len(change.Deletes); entries > s.ChangeEntries {
		return errors.Errorf("a change of %d entries, %d are allowed", entries, s.ChangeEntries)
	}
	for _, put := range change.Puts {
		if len(put.Key) > s.KeyBytes {
			return errors.Errorf("a key of %d bytes, %d are allowed: %s", len(put.Key), s.KeyBytes, put.Key)
		}
		if len(put.Value) > s.ValueBytes {
			return errors.Errorf("a value of %d bytes at key %s, %d are allowed", len(put.Value), put.Key, s.ValueBytes)
		}
	}
	return nil
}

// trimHistory removes the changes that are older than History; the caller holds the lock.
func (s *Store) trimHistory() {
	oldest := time.Now().Add(-s.History)
	count := 0
	for count < len(s.history) && s.history[count].at.Before(oldest) {
		s.compacted = s.history[count].item.Revision
		count++
	}
	s.history = s.history[count:]
}
