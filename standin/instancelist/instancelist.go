package instancelist

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	listprotocol "comfreystream/protocol/instancelist"
	"comfreystream/state"
	"comfreystream/transport"
)

// List is an instance list that shows each change with a delay. It is safe for
// concurrent use.
type List struct {
	mu   sync.Mutex
	lag  time.Duration
	down bool
	// versions holds all states of the list, oldest first. The index is the version
	// number that clients see.
	versions []version
	// changed is closed and replaced when a version is added.
	changed chan struct{}
}

type version struct {
	addedAt time.Time
	list    state.InstanceList
}

// New returns an empty list on which changes become visible after lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, versions: []version{{}}, changed: make(chan struct{})}
}

// SetLag sets the time after which changes become visible.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes all requests fail, or succeed again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// AddWorker adds a worker and replaces any worker with the same address.
func (l *List) AddWorker(worker state.Worker) {
	l.update(func(list *state.InstanceList) {
		list.Workers = slices.DeleteFunc(list.Workers, func(w state.Worker) bool { return w.Address == worker.Address })
		list.Workers = append(list.Workers, worker)
	})
}

// AddEntry adds an entry and replaces any entry with the same address.
func (l *List) AddEntry(entry state.Instance) {
	l.update(func(list *state.InstanceList) {
		list.Entries = slices.DeleteFunc(list.Entries, func(e state.Instance) bool { return e.Address == entry.Address })
		list.Entries = append(list.Entries, entry)
	})
}

// Leave marks the instance at the address as leaving.
func (l *List) Leave(address netip.AddrPort) {
	l.update(func(list *state.InstanceList) {
		for i := range list.Workers {
			w := &list.Workers[i]
			w.Leaving = w.Leaving || w.Address == address
		}
		for i := range list.Entries {
			e := &list.Entries[i]
			e.Leaving = e.Leaving || e.Address == address
		}
	})
}

// Remove removes the instance at the address from the list.
func (l *List) Remove(address netip.AddrPort) {
	l.update(func(list *state.InstanceList) {
		list.Workers = slices.DeleteFunc(list.Workers, func(w state.Worker) bool { return w.Address == address })
		list.Entries = slices.DeleteFunc(list.Entries, func(e state.Instance) bool { return e.Address == address })
	})
}

// Instances returns the visible changes since the given version. If there are none,
// it waits at most wait for the next one.
func (l *List) Instances(ctx context.Context, since uint64, wait time.Duration) (state.InstanceChanges, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := l.changesSince(since)
		if err != nil || changes.Version != since {
			return changes, err
		}
		select {
		case <-changed:
		case <-time.After(l.untilNextVisible()):
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return changes, nil
		}
	}
}

func (l *List) changesSince(since uint64) (changes state.InstanceChanges, changed <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return changes, nil, state.NewStepError("list instances", netip.AddrPort{}, state.ConnectionLost, errors.New("the instance list is down"))
	}
	visible := l.visibleVersion(time.Now())
	if since > uint64(visible) {
		since = 0
	}
	changes = changesBetween(l.versions[since].list, l.versions[visible].list)
	changes.Version = uint64(visible)
	changes.Full = since == 0
	return changes, l.changed, nil
}

// visibleVersion returns the newest version that is at least as old as the lag; the
// caller holds the lock.
func (l *List) visibleVersion(now time.Time) int {
	visible := 0
	for i, v := range l.versions {
		if !v.addedAt.Add(l.lag).After(now) {
			visible = i
		}
	}
	return visible
}

// untilNextVisible returns the time until the next version becomes visible, or an
// hour if all versions are visible.
func (l *List) untilNextVisible() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, v := range l.versions {
		if remaining := v.addedAt.Add(l.lag).Sub(now); remaining > 0 {
			return remaining
		}
	}
	return time.Hour
}

// update adds a version that edit makes from the newest one.
func (l *List) update(edit func(list *state.InstanceList)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := cloneList(l.versions[len(l.versions)-1].list)
	edit(&next)
	l.versions = append(l.versions, version{addedAt: time.Now(), list: next})
	close(l.changed)
	l.changed = make(chan struct{})
}

func cloneList(list state.InstanceList) state.InstanceList {
	return state.InstanceList{Workers: slices.Clone(list.Workers), Entries: slices.Clone(list.Entries)}
}

// Served is a simulated instance list that answers over a real TCP port.
type Served struct {
	*List
	server *transport.Server
}

// Serve starts a list that listens on the address; port 0 selects a free port.
func Serve(address netip.AddrPort, lag time.Duration) (*Served, error) {
	l := New(lag)
	service := &listprotocol.Service{List: l.Instances}
	server, err := transport.Listen(address, service.Handler(), transport.Limits{})
	if err != nil {
		return nil, err
	}
	return &Served{List: l, server: server}, nil
}

// Address returns the address on which the list listens.
func (s *Served) Address() netip.AddrPort { return s.server.Address() }

// Close stops the server and waits until it has stopped.
func (s *Served) Close() error { return s.server.Close() }
