package instance

import (
	"comfreystream/coordination/pause"
	"comfreystream/protocol/instancelist"
	"comfreystream/state"
	"context"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// listInterval is the time between two reads of the instance list.
	listInterval = time.Second
	listTimeout  = 2 * time.Second
)

// listing is the last instance list that the platform gave; it may be old.
type listing struct {
	client *instancelist.Client
	latest atomic.Pointer[state.InstanceList]
}

func newListing(client *instancelist.Client) *listing {
	l := &listing{client: client}
	l.latest.Store(&state.InstanceList{})
	return l
}

// run reads the list at intervals; a failed read leaves the last one in use.
func (l *listing) run(ctx context.Context, changed func(err error)) {
	for ctx.Err() == nil {
		changed(l.read(ctx))
		pause.For(ctx, listInterval)
	}
}

func (l *listing) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := l.client.List(ctx)
	if err != nil {
		return err
	}
	l.latest.Store(&list)
	return nil
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
