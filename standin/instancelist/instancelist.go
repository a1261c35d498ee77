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

// List is the instance list; it is safe for several goroutines.
type List struct {
	mu   sync.Mutex
	lag  time.Duration
	down bool
	// versions holds every list there was, the oldest first.
	versions []version
	// changed is closed when a version is added.
	changed chan struct{}
}

type version struct {
	since time.Time
	list  state.InstanceList
}

// New returns an empty list that shows each change after lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, versions: []version{{}}, changed: make(chan struct{})}
}

// SetLag sets for how long a change stays unseen.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes the list refuse to answer, or answer again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// AddWorker lists a worker, in place of the one with its address.
func (l *List) AddWorker(worker state.Worker) {
	l.change(func(list *state.InstanceList) {
		list.Workers = slices.DeleteFunc(list.Workers, func(w state.Worker) bool { return w.Address == worker.Address })
		list.Workers = append(list.Workers, worker)
	})
}

// AddEntry lists an entry, in place of the one with its address.
func (l *List) AddEntry(entry state.Instance) {
	l.change(func(list *state.InstanceList) {
		list.Entries = slices.DeleteFunc(list.Entries, func(e state.Instance) bool { return e.Address == entry.Address })
		list.Entries = append(list.Entries, entry)
	})
}

// Leave marks the instance at the address as leaving.
func (l *List) Leave(address netip.AddrPort) {
	l.change(func(list *state.InstanceList) {
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

// Remove takes the instance at the address off the list.
func (l *List) Remove(address netip.AddrPort) {
	l.change(func(list *state.InstanceList) {
		list.Workers = slices.DeleteFunc(list.Workers, func(w state.Worker) bool { return w.Address == address })
		list.Entries = slices.DeleteFunc(list.Entries, func(e state.Instance) bool { return e.Address == address })
	})
}

// Instances returns what changed since that version, as seen one lag ago; it
// waits for a change at most as long as asked.
func (l *List) Instances(ctx context.Context, since uint64, wait time.Duration) (state.InstanceChanges, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, next, err := l.look(since)
		if err != nil || changes.Version != since {
			return changes, err
		}
		select {
		case <-next:
		case <-time.After(l.untilSeen()):
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return changes, nil
		}
	}
}

func (l *List) look(since uint64) (changes state.InstanceChanges, next <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return changes, nil, state.NewStepError("list instances", netip.AddrPort{}, state.ConnectionLost, errors.New("the instance list is down"))
	}
	seen := l.seen(time.Now())
	if since > uint64(seen) {
		since = 0
	}
	changes = difference(l.versions[since].list, l.versions[seen].list)
	changes.Version = uint64(seen)
	changes.Full = since == 0
	return changes, l.changed, nil
}

// seen returns the newest version that is older than the lag; the caller has the lock.
func (l *List) seen(now time.Time) int {
	newest := 0
	for i, v := range l.versions {
		if !v.since.Add(l.lag).After(now) {
			newest = i
		}
	}
	return newest
}

// untilSeen returns how long it takes until a version that is there is seen.
func (l *List) untilSeen() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, v := range l.versions {
		if hidden := v.since.Add(l.lag).Sub(now); hidden > 0 {
			return hidden
		}
	}
	return time.Hour
}

func (l *List) change(edit func(list *state.InstanceList)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := clone(l.versions[len(l.versions)-1].list)
	edit(&next)
	l.versions = append(l.versions, version{since: time.Now(), list: next})
	close(l.changed)
	l.changed = make(chan struct{})
}

func clone(list state.InstanceList) state.InstanceList {
	return state.InstanceList{Workers: slices.Clone(list.Workers), Entries: slices.Clone(list.Entries)}
}

// Served is a stand-in list behind a real port.
type Served struct {
	*List
	server *transport.Server
}

// Serve starts a list on the address; port 0 takes a free one.
func Serve(address netip.AddrPort, lag time.Duration) (*Served, error) {
	l := New(lag)
	service := &listprotocol.Service{List: l.Instances}
	server, err := transport.Listen(address, service.Handler(), transport.Limits{})
	if err != nil {
		return nil, err
	}
	return &Served{List: l, server: server}, nil
}

// Address returns the address on which the list answers.
func (s *Served) Address() netip.AddrPort { return s.server.Address() }

// Close stops the server and waits.
func (s *Served) Close() error { return s.server.Close() }
