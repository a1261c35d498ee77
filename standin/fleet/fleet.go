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
	loopback  = netip.MustParseAddr("127.0.0.1")
	anyPort   = netip.AddrPortFrom(loopback, 0)
	drainTime = 10 * time.Second
)

// Platform is the group of the store and the instance list on the links.
const Platform = "platform"

// Plan says what a fleet is made of.
type Plan struct {
	AvailabilityZones []string
	EntriesPerZone    int
	WorkersPerZone    int
	WorkersPerRack    int
	Capacity          state.Resources
	// ListLag is how old the instance list's answers are.
	ListLag time.Duration
	// Log takes the entries' log lines.
	Log io.Writer
	// LogLevel is the least level that is written.
	LogLevel zerolog.Level
}

// Fleet is a running set; it is safe for several goroutines.
type Fleet struct {
	plan Plan
	log  zerolog.Logger
	// started counts the entries; the logs tell them apart by it.
	started atomic.Int64
	Store   *store.Served
	List    *instancelist.Served
	// Links join the zones and the platform, which is the group "platform".
	Links *link.Links

	mu      sync.Mutex
	workers []*worker.Served
	entries []*instance.Instance
}

// Start starts the stand-ins, the workers and the entries; after an error
// everything is stopped again.
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

// AddWorker starts a worker in the rack and lists it.
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

// AddEntry starts an entry in the zone and lists it.
func (f *Fleet) AddEntry(zone string) (*instance.Instance, error) {
	e, err := instance.StartOver(f.network(zone), &settings.Settings{
		AvailabilityZone: zone, Address: anyPort,
		Store: f.Store.Address(), InstanceList: f.List.Address(),
		StoreCallsPerSecond: 500, Connections: 4096, BodyBytes: 1 << 20, DrainLimit: drainTime,
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

// network puts an entry of the zone on the links.
func (f *Fleet) network(zone string) instance.Network {
	return instance.Network{
		Dial: func(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
			return f.Links.Dial(ctx, zone, peer)
		},
		Carries: func(to netip.AddrPort) bool { return f.Links.Carries(zone, to) },
	}
}

// Drop takes an entry off the list; the caller closes or abandons it.
func (f *Fleet) Drop(e *instance.Instance) {
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

// Entries returns the running entries, in the order of their start.
func (f *Fleet) Entries() []*instance.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*instance.Instance(nil), f.entries...)
}

// Workers returns the workers, in the order of their start.
func (f *Fleet) Workers() []*worker.Served {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*worker.Served(nil), f.workers...)
}

// Close abandons the entries, since nothing is left to hand over to, and stops the stand-ins.
func (f *Fleet) Close() (err error) {
	var all sync.WaitGroup
	for _, e := range f.Entries() {
		all.Go(func() { _ = e.Abandon() })
	}
	all.Wait()
	for _, w := range f.Workers() {
		err = first(err, w.Close())
	}
	if f.List != nil {
		err = first(err, f.List.Close())
	}
	if f.Store != nil {
		err = first(err, f.Store.Close())
	}
	return err
}

func first(err, next error) error {
	if err != nil {
		return err
	}
	return next
}
