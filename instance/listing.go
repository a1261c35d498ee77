package instance

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/protocol/instancelist"
	"comfreystream/state"
)

const (
	// listWait is how long the platform may hold back its answer until the list changes.
	listWait = 4 * time.Second
	// listPause is the least time between two reads, and after one that failed.
	listPause   = time.Second
	listTimeout = listWait + 2*time.Second
)

// listing is the last instance list that the platform gave; it may be old.
type listing struct {
	client  *instancelist.Client
	latest  atomic.Pointer[state.InstanceList]
	version uint64
}

func newListing(client *instancelist.Client) *listing {
	l := &listing{client: client}
	l.latest.Store(&state.InstanceList{})
	return l
}

// run follows the list; a failed read leaves the last one in use.
func (l *listing) run(ctx context.Context, changed func(err error)) {
	for ctx.Err() == nil {
		before := l.version
		err := l.read(ctx)
		if err != nil || l.version != before {
			changed(err)
		}
		pause.For(ctx, listPause)
	}
}

func (l *listing) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	changes, err := l.client.List(ctx, l.version, listWait)
	if err != nil {
		return err
	}
	list := merge(l.latest.Load(), changes)
	l.latest.Store(&list)
	l.version = changes.Version
	return nil
}

// merge returns the list after the changes; the one before is left as it is.
func merge(before *state.InstanceList, changes state.InstanceChanges) (after state.InstanceList) {
	if changes.Full {
		return changes.Changed
	}
	replaced := make(map[netip.AddrPort]bool)
	for _, address := range changes.Gone {
		replaced[address] = true
	}
	for _, w := range changes.Changed.Workers {
		replaced[w.Address] = true
	}
	for _, e := range changes.Changed.Entries {
		replaced[e.Address] = true
	}
	for _, w := range before.Workers {
		if !replaced[w.Address] {
			after.Workers = append(after.Workers, w)
		}
	}
	for _, e := range before.Entries {
		if !replaced[e.Address] {
			after.Entries = append(after.Entries, e)
		}
	}
	after.Workers = append(after.Workers, changes.Changed.Workers...)
	after.Entries = append(after.Entries, changes.Changed.Entries...)
	return after
}

// workersIn returns the zone's workers, those that leave included.
func (l *listing) workersIn(availabilityZone string) (workers []state.Worker) {
	for _, w := range l.latest.Load().Workers {
		if w.Rack.AvailabilityZone == availabilityZone {
			workers = append(workers, w)
		}
	}
	return workers
}

// zones returns the zones that have workers, in the order of the list.
func (l *listing) zones() (zones []string) {
	seen := make(map[string]bool)
	for _, w := range l.latest.Load().Workers {
		zone := w.Rack.AvailabilityZone
		if !seen[zone] {
			seen[zone] = true
			zones = append(zones, zone)
		}
	}
	return zones
}

// entries returns the addresses of the entries, those that leave left out.
func (l *listing) entries() (addresses []netip.AddrPort) {
	for _, e := range l.latest.Load().Entries {
		if !e.Leaving {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}
