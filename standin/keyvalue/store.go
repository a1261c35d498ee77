package keyvalue

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state"
)

// Fault is the way in which one call to the store fails.
type Fault uint8

// The faults that can be injected into a call.
const (
	None Fault = iota
	// Refused calls fail at once, with an error saying that nothing was done.
	Refused
	// Silent calls are neither executed nor answered.
	Silent
	// Unanswered calls are executed, but their replies are lost.
	Unanswered
	// Late calls are executed after LateBy and never answered.
	Late
)

// LateBy is the delay after which late calls are executed.
const LateBy = 3 * time.Second

// Store holds keys with values, revisions and leases. It is safe for concurrent
// use.
type Store struct {
	// Fault returns the fault of each call by the call's name, such as "Commit";
	// nil injects no faults.
	Fault func(call string) Fault
	Limits

	mu       sync.Mutex
	revision keyvalue.Revision
	items    map[string]keyvalue.Item
	history  []historyItem
	writes   rate
	reads    rate
	leases   map[keyvalue.LeaseID]*lease
	changed  chan struct{}
	// compacted is the newest revision that was removed from the history.
	compacted keyvalue.Revision
}

// historyItem is a change of one key, and when it was made.
type historyItem struct {
	item keyvalue.Item
	at   time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		items: make(map[string]keyvalue.Item), leases: make(map[keyvalue.LeaseID]*lease),
		changed: make(chan struct{}), revision: 1, Limits: platformLimits(),
	}
}

// Calls returns the store's operations in the form that package
// coordination/keyvalue expects.
func (s *Store) Calls() keyvalue.Store {
	return keyvalue.Store{
		Get: s.get, List: s.list, Watch: s.watch, Commit: s.commit,
		Grant: s.grant, KeepAlive: s.keepAlive, Revoke: s.revoke,
	}
}

// Compact removes the history of all revisions so far.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notifyWatchers()
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	_, found := s.items[key]
	return found
}

// watchPoll names the further looks of one watch, which is one call to the store.
const watchPoll = "WatchPoll"

// perform executes a call under the lock, subject to the fault injected for it.
func (s *Store) perform(ctx context.Context, call string, execute func()) error {
	fault := None
	if s.Fault != nil && call == watchPoll {
		fault = s.Fault("Watch")
	} else if s.Fault != nil {
		fault = s.Fault(call)
	}
	if call != watchPoll {
		if err := s.checkRate(call); err != nil {
			return err
		}
	}
	executeLocked := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		s.trimHistory()
		execute()
	}
	switch fault {
	case Refused:
		return state.NewStepError(call, netip.AddrPort{}, state.StoreUnavailable, nil)
	case Silent:
	case Unanswered:
		executeLocked()
	case Late:
		time.AfterFunc(LateBy, executeLocked)
	default:
		executeLocked()
		return nil
	}
	<-ctx.Done()
	return state.NewAmbiguousStepError(call, netip.AddrPort{}, state.ConnectionLost, ctx.Err())
}

func (s *Store) get(ctx context.Context, key string) (keyvalue.Item, bool, keyvalue.Revision, error) {
	var item keyvalue.Item
	var found bool
	var asOf keyvalue.Revision
	err := s.perform(ctx, "Get", func() {
		item, found = s.items[key]
		asOf = s.revision
	})
	if err != nil {
		return keyvalue.Item{}, false, 0, err // a late call may still write the results
	}
	return item, found, asOf, nil
}

func (s *Store) list(ctx context.Context, prefix string) ([]keyvalue.Item, keyvalue.Revision, error) {
	var items []keyvalue.Item
	var asOf keyvalue.Revision
	err := s.perform(ctx, "List", func() {
		for key, item := range s.items {
			if strings.HasPrefix(key, prefix) {
				items = append(items, item)
			}
		}
		asOf = s.revision
	})
	if err != nil {
		return nil, 0, err
	}
	slices.SortFunc(items, func(a, b keyvalue.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, asOf, nil
}

func (s *Store) watch(ctx context.Context, prefix string, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Item, keyvalue.Revision, error) {
	deadline := time.Now().Add(min(wait, s.MaxWait))
	for first := true; ; first = false {
		var events []keyvalue.Item
		var asOf keyvalue.Revision
		var changed chan struct{}
		historyLost := false
		call := "Watch"
		if !first {
			call = watchPoll
		}
		err := s.perform(ctx, call, func() {
			historyLost = first && after < s.compacted
			for _, change := range s.history {
				item := change.item
				if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
					events = append(events, item)
				}
			}
			asOf, changed = s.revision, s.changed
		})
		switch {
		case err != nil:
			return nil, 0, err
		case historyLost:
			return nil, 0, keyvalue.ErrHistoryLost
		case len(events) > 0 || !time.Now().Before(deadline):
			return events, asOf, nil
		}
		s.waitForChange(ctx, changed, deadline)
		if ctx.Err() != nil {
			return nil, 0, state.NewAmbiguousStepError("Watch", netip.AddrPort{}, state.ConnectionLost, ctx.Err())
		}
	}
}

// waitForChange returns at a change, at the deadline, when ctx ends, or when it is
// time to check for expired leases.
func (s *Store) waitForChange(ctx context.Context, changed chan struct{}, deadline time.Time) {
	const leaseCheckInterval = 50 * time.Millisecond
	timer := time.NewTimer(min(leaseCheckInterval, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Store) commit(ctx context.Context, change keyvalue.Change) (keyvalue.Revision, error) {
	var revision keyvalue.Revision
	var applyErr error
	err := s.perform(ctx, "Commit", func() { revision, applyErr = s.applyChange(change) })
	if err != nil {
		return 0, err
	}
	return revision, applyErr
}

func (s *Store) applyChange(change keyvalue.Change) (keyvalue.Revision, error) {
	if err := s.checkLimits(change); err != nil {
		return 0, state.NewStepError("Commit", netip.AddrPort{}, state.BadRequest, err)
	}
	conflict := &keyvalue.ConflictError{}
	conditionsHold := true
	for _, c := range change.Conditions {
		item, found := s.items[c.Key]
		if found {
			conflict.Current = append(conflict.Current, item)
		}
		conditionsHold = conditionsHold && item.Revision == c.Revision
	}
	if !conditionsHold {
		return 0, conflict
	}
	for _, put := range change.Puts {
		if _, alive := s.leases[put.Lease]; put.Lease != 0 && !alive {
			return 0, keyvalue.ErrLeaseEnded
		}
	}
	s.revision++
	for _, put := range change.Puts {
		s.recordItem(keyvalue.Item{Key: put.Key, Value: slices.Clone(put.Value), Revision: s.revision, Lease: put.Lease})
	}
	for _, key := range change.Deletes {
		s.recordItem(keyvalue.Item{Key: key, Revision: s.revision, Deleted: true})
	}
	s.notifyWatchers()
	return s.revision, nil
}

func (s *Store) recordItem(item keyvalue.Item) {
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, historyItem{item, time.Now()})
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) grant(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
	var id keyvalue.LeaseID
	err := s.perform(ctx, "Grant", func() {
		s.revision++
		id = keyvalue.LeaseID(s.revision)
		s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

func (s *Store) keepAlive(ctx context.Context, id keyvalue.LeaseID) error {
	alive := false
	err := s.perform(ctx, "KeepAlive", func() {
		var l *lease
		if l, alive = s.leases[id]; alive {
			l.expires = time.Now().Add(l.ttl)
		}
	})
	if err != nil {
		return err
	}
	if !alive {
		return keyvalue.ErrLeaseEnded
	}
	return nil
}

func (s *Store) revoke(ctx context.Context, id keyvalue.LeaseID) error {
	return s.perform(ctx, "Revoke", func() { s.endLease(id) })
}

// expireLeases ends the leases whose time is over; the caller holds the lock.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes the keys attached to it; the caller holds the lock.
func (s *Store) endLease(id keyvalue.LeaseID) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.recordItem(keyvalue.Item{Key: key, Revision: s.revision, Deleted: true})
			s.notifyWatchers()
		}
	}
}
