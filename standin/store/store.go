package store

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

const maxValueBytes = 1 << 20

// Store holds keys with values and versions; it is safe for several goroutines.
type Store struct {
	mu       sync.Mutex
	records  map[string]record
	version  state.Version
	leases   map[state.StoreLease]lease
	changed  chan struct{}
	calls    [KeepAlive + 1]int
	decide   func(Operation, string) Faults
	frozen   map[string]record
	frozenAt state.Version

	late   sync.WaitGroup
	closed chan struct{}
}

type record struct {
	value   []byte
	version state.Version
	lease   state.StoreLease
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		records: make(map[string]record),
		leases:  make(map[state.StoreLease]lease),
		changed: make(chan struct{}),
		closed:  make(chan struct{}),
	}
}

// Close ends the calls that wait and returns once they have ended.
func (s *Store) Close() {
	close(s.closed)
	s.late.Wait()
}

// Calls returns how often the operation was called, failures included.
func (s *Store) Calls(operation Operation) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// Raw returns the store's calls, with values as they are kept.
func (s *Store) Raw() storage.Calls {
	return storage.Calls{Get: s.Get, CompareAndSwap: s.CompareAndSwap, Watch: s.Watch, Grant: s.Grant, KeepAlive: s.KeepAlive}
}

// Get returns the value under key; version 0 says that there is none.
func (s *Store) Get(ctx context.Context, key string) (state.Entry, error) {
	a := s.carryOut(ctx, Get, key, func(faults Faults) answer {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		records, _ := s.view(faults)
		return answer{entries: []state.Entry{toEntry(key, records[key])}}
	})
	if a.err != nil {
		return state.Entry{}, a.err
	}
	return a.entries[0], nil
}

// CompareAndSwap replaces the value under a key whose version is still write.Old.
func (s *Store) CompareAndSwap(ctx context.Context, write state.Write) (state.Version, error) {
	a := s.carryOut(ctx, CompareAndSwap, write.Key, func(Faults) answer {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		version, err := s.swap(write)
		return answer{version: version, err: err}
	})
	return a.version, a.err
}

// Watch returns the keys under prefix that were written after that version, and
// waits up to wait for the first; a deleted key has a nil value.
func (s *Store) Watch(ctx context.Context, prefix string, after state.Version, wait time.Duration) ([]state.Entry, state.Version, error) {
	a := s.carryOut(ctx, Watch, prefix, func(faults Faults) answer {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			entries, latest, changed := s.since(faults, prefix, after)
			if len(entries) > 0 || wait == 0 {
				return answer{entries: entries, version: latest}
			}
			select {
			case <-changed:
			case <-timer.C:
				return answer{version: latest}
			case <-ctx.Done():
				return answer{err: ctx.Err()}
			case <-s.closed:
				return answer{err: errors.New("the store is closed")}
			}
		}
	})
	return a.entries, a.version, a.err
}

// Grant returns a lease that lasts ttl from now and from each KeepAlive.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (state.StoreLease, error) {
	a := s.carryOut(ctx, Grant, "", func(Faults) answer {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.version++
		granted := state.StoreLease(s.version)
		s.leases[granted] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return answer{lease: granted}
	})
	return a.lease, a.err
}

// KeepAlive extends a lease; one that has expired is refused.
func (s *Store) KeepAlive(ctx context.Context, id state.StoreLease) error {
	return s.carryOut(ctx, KeepAlive, "", func(Faults) answer {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		held, found := s.leases[id]
		if !found {
			return answer{err: refusal(state.LeaseLapsed, "the lease has expired")}
		}
		held.expires = time.Now().Add(held.ttl)
		s.leases[id] = held
		return answer{}
	}).err
}

func (s *Store) swap(write state.Write) (state.Version, error) {
	if len(write.Value) > maxValueBytes {
		return 0, refusal(state.BodyTooLarge, "a value may have 1 MiB")
	}
	if _, found := s.leases[write.Lease]; write.Lease != 0 && !found {
		return 0, refusal(state.LeaseLapsed, "the lease has expired")
	}
	current := toEntry(write.Key, s.records[write.Key])
	if current.Version != write.Old {
		return 0, &state.WriteConflict{Key: write.Key, Current: current.Version}
	}
	s.version++
	s.records[write.Key] = record{value: slices.Clone(write.Value), version: s.version, lease: write.Lease}
	s.wake()
	return s.version, nil
}

func (s *Store) since(faults Faults, prefix string, after state.Version) ([]state.Entry, state.Version, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	records, latest := s.view(faults)
	var entries []state.Entry
	for key, r := range records {
		if strings.HasPrefix(key, prefix) && r.version > after && (after > 0 || r.value != nil) {
			entries = append(entries, state.Entry{Key: key, Value: slices.Clone(r.value), Version: r.version})
		}
	}
	slices.SortFunc(entries, func(a, b state.Entry) int { return cmp.Compare(a.Version, b.Version) })
	return entries, latest, s.changed
}

func (s *Store) view(faults Faults) (map[string]record, state.Version) {
	if faults.OldData && s.frozen != nil {
		return s.frozen, s.frozenAt
	}
	return s.records, s.version
}

func (s *Store) expire() {
	now := time.Now()
	for id, held := range s.leases {
		if now.Before(held.expires) {
			continue
		}
		delete(s.leases, id)
		for key, r := range s.records {
			if r.lease == id {
				s.version++
				s.records[key] = record{version: s.version}
				s.wake()
			}
		}
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// toEntry returns what a reader sees: a deleted key has version 0.
func toEntry(key string, r record) state.Entry {
	if r.value == nil {
		return state.Entry{Key: key}
	}
	return state.Entry{Key: key, Value: slices.Clone(r.value), Version: r.version}
}

func refusal(reason state.Reason, text string) error {
	return state.NewStepError("call the store", netip.AddrPort{}, reason, errors.New(text))
}
