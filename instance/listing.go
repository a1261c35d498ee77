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
	// listWait is how long the platform may delay its answer until the list changes (long polling).
	listWait = 4 * time.Second
	// listPause is the pause after each read, failed or not.
	listPause   = time.Second
	listTimeout = listWait + 2*time.Second
)

// listing follows the platform's instance list and keeps the latest copy, which may be out of date.
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

// run reads the list until ctx is done and calls changed after each new
// version or failed read; a failed read leaves the latest copy in use.
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

// merge returns the list with the changes applied; it does not modify before.
func merge(before *state.InstanceList, changes state.InstanceChanges) (after state.InstanceList) {
	if changes.Full {
		return changes.Changed
	}
	replaced := make(map[netip.AddrPort]bool)
	for _, address := range changes.Removed {
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

// workersIn returns the zone's workers, including those that are leaving.
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

// entries returns the addresses of the entries, except those that are leaving.
func (l *listing) entries() (addresses []netip.AddrPort) {
	for _, e := range l.latest.Load().Entries {
		if !e.Leaving {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}
