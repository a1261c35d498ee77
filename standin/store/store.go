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

// Store holds keys with values, versions and leases. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	records      map[string]record
	version      state.Version
	leases       map[state.StoreLease]lease
	changed      chan struct{}
	calls        [KeepAlive + 1]int
	chooseFaults func(Operation, string) Faults
	staleRecords map[string]record
	staleVersion state.Version

	delayedCalls sync.WaitGroup
	closed       chan struct{}
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

// Close ends the waiting calls and returns when the delayed ones have ended.
func (s *Store) Close() {
	close(s.closed)
	s.delayedCalls.Wait()
}

// CountCalls returns the number of calls of the operation, including failed ones.
func (s *Store) CountCalls(operation Operation) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// Operations returns the store's operations, with values passed on as they are stored.
func (s *Store) Operations() storage.Calls {
	return storage.Calls{Get: s.Get, CompareAndSwap: s.CompareAndSwap, Watch: s.Watch, Grant: s.Grant, KeepAlive: s.KeepAlive}
}

// Get returns the entry of a key; version 0 means that the key does not exist.
func (s *Store) Get(ctx context.Context, key string) (state.Entry, error) {
	a := s.execute(ctx, Get, key, func(faults Faults) result {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		records, _ := s.snapshot(faults)
		return result{entries: []state.Entry{toEntry(key, records[key])}}
	})
	if a.err != nil {
		return state.Entry{}, a.err
	}
	return a.entries[0], nil
}

// CompareAndSwap writes the value if the key still has the version write.Old.
func (s *Store) CompareAndSwap(ctx context.Context, write state.Write) (state.Version, error) {
	a := s.execute(ctx, CompareAndSwap, write.Key, func(Faults) result {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		version, err := s.compareAndSwapLocked(write)
		return result{version: version, err: err}
	})
	return a.version, a.err
}

// Watch returns the entries under prefix that changed after the given version, and
// the store's latest version. It waits at most wait for the first change. A
// deleted key has a nil value.
func (s *Store) Watch(ctx context.Context, prefix string, after state.Version, wait time.Duration) ([]state.Entry, state.Version, error) {
	a := s.execute(ctx, Watch, prefix, func(faults Faults) result {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for {
			entries, latest, changed := s.changesSince(faults, prefix, after)
			if len(entries) > 0 || wait == 0 {
				return result{entries: entries, version: latest}
			}
			select {
			case <-changed:
			case <-timer.C:
				return result{version: latest}
			case <-ctx.Done():
				return result{err: ctx.Err()}
			case <-s.closed:
				return result{err: errors.New("the store is closed")}
			}
		}
	})
	return a.entries, a.version, a.err
}

// Grant creates a lease that expires ttl after its creation or its last KeepAlive.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (state.StoreLease, error) {
	a := s.execute(ctx, Grant, "", func(Faults) result {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.version++
		granted := state.StoreLease(s.version)
		s.leases[granted] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
		return result{lease: granted}
	})
	return a.lease, a.err
}

// KeepAlive extends a lease by its ttl; an expired lease is refused.
func (s *Store) KeepAlive(ctx context.Context, id state.StoreLease) error {
	return s.execute(ctx, KeepAlive, "", func(Faults) result {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		l, found := s.leases[id]
		if !found {
			return result{err: refusalError(state.LeaseLapsed, "the lease has expired")}
		}
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
		return result{}
	}).err
}

// compareAndSwapLocked applies a write; the caller holds the lock.
func (s *Store) compareAndSwapLocked(write state.Write) (state.Version, error) {
	if len(write.Value) > maxValueBytes {
		return 0, refusalError(state.BodyTooLarge, "the value is larger than 1 MiB")
	}
	if _, found := s.leases[write.Lease]; write.Lease != 0 && !found {
		return 0, refusalError(state.LeaseLapsed, "the lease has expired")
	}
	current := toEntry(write.Key, s.records[write.Key])
	if current.Version != write.Old {
		return 0, &state.WriteConflict{Key: write.Key, Current: current.Version}
	}
	s.version++
	s.records[write.Key] = record{value: slices.Clone(write.Value), version: s.version, lease: write.Lease}
	s.notifyWatchers()
	return s.version, nil
}

func (s *Store) changesSince(faults Faults, prefix string, after state.Version) ([]state.Entry, state.Version, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	records, latest := s.snapshot(faults)
	var entries []state.Entry
	for key, r := range records {
		if strings.HasPrefix(key, prefix) && r.version > after && (after > 0 || r.value != nil) {
			entries = append(entries, state.Entry{Key: key, Value: slices.Clone(r.value), Version: r.version})
		}
	}
	slices.SortFunc(entries, func(a, b state.Entry) int { return cmp.Compare(a.Version, b.Version) })
	return entries, latest, s.changed
}

// snapshot returns the current data, or that of the last SnapshotStaleData for stale reads;
// the caller holds the lock.
func (s *Store) snapshot(faults Faults) (map[string]record, state.Version) {
	if faults.StaleReads && s.staleRecords != nil {
		return s.staleRecords, s.staleVersion
	}
	return s.records, s.version
}

// expireLeases removes the expired leases and deletes the keys attached to them;
// the caller holds the lock.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, r := range s.records {
			if r.lease == id {
				s.version++
				s.records[key] = record{version: s.version}
				s.notifyWatchers()
			}
		}
	}
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// toEntry returns the record as readers see it; a deleted key has version 0.
func toEntry(key string, r record) state.Entry {
	if r.value == nil {
		return state.Entry{Key: key}
	}
	return state.Entry{Key: key, Value: slices.Clone(r.value), Version: r.version}
}

func refusalError(reason state.Reason, text string) error {
	return state.NewStepError("call the store", netip.AddrPort{}, reason, errors.New(text))
}
