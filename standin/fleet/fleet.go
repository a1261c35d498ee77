package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/instance"
	"comfreystream/logs"
	"comfreystream/settings"
	"comfreystream/standin/instancelist"
	"comfreystream/standin/link"
	"comfreystream/standin/store"
	"comfreystream/standin/worker"
	"comfreystream/state"
)

var (
	loopback   = netip.MustParseAddr("127.0.0.1")
	anyPort    = netip.AddrPortFrom(loopback, 0)
	drainLimit = 10 * time.Second
)

// Platform is the link group of the store and the instance list.
const Platform = "platform"

// Plan is the configuration of a fleet.
type Plan struct {
	AvailabilityZones []string
	EntriesPerZone    int
	WorkersPerZone    int
	WorkersPerRack    int
	Capacity          state.Resources
	// ListLag is the time after which changes become visible in the instance list.
	ListLag time.Duration
	// Log receives the logs of the entries.
	Log io.Writer
	// LogLevel is the lowest level that is logged.
	LogLevel zerolog.Level
}

// Fleet is a running set of entries, workers, a store and an instance list. It is
// safe for concurrent use.
type Fleet struct {
	plan Plan
	log  zerolog.Logger
	// started counts the entries started so far; each logs its number under the key
	// "entry".
	started atomic.Int64
	Store   *store.Served
	List    *instancelist.Served
	// Links simulates the network. Its groups are the availability zones and Platform.
	Links *link.Links

	mu      sync.Mutex
	workers []*worker.Served
	entries []*instance.Instance
}

// Start starts the simulated platform, the workers and the entries. If one of them
// fails to start, it stops the others.
func Start(plan Plan) (f *Fleet, err error) {
	f = &Fleet{plan: plan, log: logs.New(plan.Log, plan.LogLevel), Links: link.New()}
	if err := f.start(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() (err error) {
	f.Store, err = store.Serve(anyPort)
	if err != nil {
		return errors.Wrap(err, "start store")
	}
	f.List, err = instancelist.Serve(anyPort, f.plan.ListLag)
	if err != nil {
		return errors.Wrap(err, "start instance list")
	}
	f.Links.Place(f.Store.Address(), Platform)
	f.Links.Place(f.List.Address(), Platform)
	for _, zone := range f.plan.AvailabilityZones {
		if err := f.startZone(zone); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startZone(zone string) error {
	for n := range f.plan.WorkersPerZone {
		position := n / max(f.plan.WorkersPerRack, 1)
		rack := state.Rack{Name: fmt.Sprintf("%s-r%d", zone, position+1), AvailabilityZone: zone, Position: position}
		if _, err := f.AddWorker(rack); err != nil {
			return err
		}
	}
	for range f.plan.EntriesPerZone {
		if _, err := f.AddEntry(zone); err != nil {
			return err
		}
	}
	return nil
}

// AddWorker starts a worker in the rack and adds it to the instance list.
func (f *Fleet) AddWorker(rack state.Rack) (*worker.Served, error) {
	w, err := worker.Serve(state.Worker{Rack: rack, Capacity: f.plan.Capacity}, loopback)
	if err != nil {
		return nil, errors.Wrap(err, "start worker")
	}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	f.Links.Place(w.Address(), rack.AvailabilityZone)
	f.List.AddWorker(w.Describe())
	return w, nil
}

// AddEntry starts an entry in the zone and adds it to the instance list.
func (f *Fleet) AddEntry(zone string) (*instance.Instance, error) {
	e, err := instance.StartWithNetwork(f.network(zone), &settings.Settings{
		AvailabilityZone: zone, Address: anyPort,
		Store: f.Store.Address(), InstanceList: f.List.Address(),
		StoreCallsPerSecond: 500, Connections: 4096, BodyBytes: 1 << 20, DrainLimit: drainLimit,
	}, f.log.With().Int("entry", int(f.started.Add(1))).Logger())
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	f.Links.Place(e.Address(), zone)
	f.List.AddEntry(state.Instance{Address: e.Address(), AvailabilityZone: zone})
	return e, nil
}

// network returns the network of an entry in the zone, subject to the faults of Links.
func (f *Fleet) network(zone string) instance.Network {
	return instance.Network{
		Dial: func(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
			return f.Links.Dial(ctx, zone, peer)
		},
		Carries: func(to netip.AddrPort) bool { return f.Links.Carries(zone, to) },
	}
}

// RemoveEntry removes an entry from the fleet and the instance list without stopping it; the
// caller must close or abandon it.
func (f *Fleet) RemoveEntry(e *instance.Instance) {
	f.List.Remove(e.Address())
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, known := range f.entries {
		if known == e {
			f.entries = append(f.entries[:n:n], f.entries[n+1:]...)
			return
		}
	}
}

// Entries returns the entries in start order, without removed ones.
func (f *Fleet) Entries() []*instance.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*instance.Instance(nil), f.entries...)
}

// Workers returns the workers in start order.
func (f *Fleet) Workers() []*worker.Served {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*worker.Served(nil), f.workers...)
}

// Close abandons the entries, since no other entry is left to hand over to, and stops
// the workers, the instance list and the store.
func (f *Fleet) Close() (err error) {
	var all sync.WaitGroup
	for _, e := range f.Entries() {
		all.Go(func() { _ = e.Abandon() })
	}
	all.Wait()
	for _, w := range f.Workers() {
		err = firstError(err, w.Close())
	}
	if f.List != nil {
		err = firstError(err, f.List.Close())
	}
	if f.Store != nil {
		err = firstError(err, f.Store.Close())
	}
	return err
}

func firstError(err, next error) error {
	if err != nil {
		return err
	}
	return next
}
