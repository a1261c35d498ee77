package rollout_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/rollout"
	"comfreystream/coordination/storage"
	"comfreystream/protocol/manifest"
	"comfreystream/protocol/store"
	standin "comfreystream/standin/store"
	"comfreystream/state"
)

// cluster is a set of entries in several zones that share one stand-in store.
type cluster struct {
	t       testing.TB
	store   *standin.Store
	mu      sync.Mutex
	entries map[netip.AddrPort]*entry
	order   []netip.AddrPort
	// partitioned is true for zones that reach neither the store nor other zones.
	partitioned map[int]bool
	// allowsReplacement is set if a test replaces the content of a generation.
	allowsReplacement bool
	// pushes is the number of calls of Push, bytes the size of the parts in them.
	pushes, bytes int
}

type entry struct {
	*rollout.Rollout
	zone, index    int
	address        netip.AddrPort
	inForceHistory []state.Generation
	// movedAt is when Activate was last called.
	movedAt time.Time
	stop    context.CancelFunc
	done    chan struct{}
}

func newCluster(t testing.TB, zones, entriesPerZone int) *cluster {
	c := &cluster{t: t, store: standin.New(), entries: make(map[netip.AddrPort]*entry), partitioned: make(map[int]bool)}
	for z := range zones {
		for i := range entriesPerZone {
			c.start(z, i)
		}
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) close() {
	c.store.Inject(nil)
	for _, address := range c.order {
		c.stopEntry(address)
	}
	c.store.Close()
}

// start runs an entry; the one with index 0 is the relay of its zone.
func (c *cluster) start(zone, index int) *entry {
	e := &entry{zone: zone, index: index, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(index)}), 7000), done: make(chan struct{})}
	s := storage.New(c.failWhenPartitioned(zone, store.WithWriteIDs(c.store.Operations())), 0)
	e.Rollout = rollout.New(s, manifest.Codec())
	e.Peers = func() []netip.AddrPort { return c.peers(e) }
	e.Push = func(_ context.Context, peer netip.AddrPort, update rollout.Update) (rollout.ManifestID, error) {
		to, err := c.reachablePeer(e, peer)
		if err != nil {
			return rollout.ManifestID{}, err
		}
		c.mu.Lock()
		c.pushes++
		for _, p := range update.Parts {
			c.bytes += len(p.Name) + len(p.Body)
		}
		c.mu.Unlock()
		current, _ := to.Receive(update)
		return current, nil
	}
	e.Fetch = func(_ context.Context, peer netip.AddrPort, current rollout.ManifestID) (rollout.Update, error) {
		to, err := c.reachablePeer(e, peer)
		if err != nil {
			return rollout.Update{}, err
		}
		update, _ := to.Since(current)
		return update, nil
	}
	e.Activate = func(m *state.Manifest) {
		c.mu.Lock()
		defer c.mu.Unlock()
		e.inForceHistory = append(e.inForceHistory, m.Generation)
		e.movedAt = time.Now()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	c.mu.Lock()
	c.entries[e.address] = e
	if !slices.Contains(c.order, e.address) {
		c.order = append(c.order, e.address)
	}
	c.mu.Unlock()
	go func() {
		defer close(e.done)
		e.Run(ctx, func() bool { return index == 0 })
	}()
	return e
}

func (c *cluster) stopEntry(address netip.AddrPort) {
	c.mu.Lock()
	e := c.entries[address]
	delete(c.entries, address)
	c.mu.Unlock()
	if e != nil {
		e.stop()
		<-e.done
	}
}

func (c *cluster) peers(e *entry) (peers []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.order {
		if other := c.entries[address]; other != nil && other != e && other.zone == e.zone {
			peers = append(peers, address)
		}
	}
	return peers
}

// reachablePeer returns the peer unless it is stopped or out of reach.
func (c *cluster) reachablePeer(from *entry, peer netip.AddrPort) (*entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to := c.entries[peer]
	if to == nil || from.zone != to.zone && (c.partitioned[from.zone] || c.partitioned[to.zone]) {
		return nil, errors.Errorf("%v cannot reach %v", from.address, peer)
	}
	return to, nil
}

func (c *cluster) setPartitioned(zone int, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[zone] = partitioned
}

// exchangeAdverts delivers the advert of each entry to all entries that it reaches.
func (c *cluster) exchangeAdverts() {
	c.mu.Lock()
	all := make([]*entry, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e)
	}
	c.mu.Unlock()
	for _, from := range all {
		for _, to := range all {
			if _, err := c.reachablePeer(from, to.address); from != to && err == nil {
				generation, digest := from.Advert()
				to.HandleAdvert(from.address, generation, digest)
			}
		}
	}
}

// failWhenPartitioned returns calls to the store that fail while the zone is partitioned.
func (c *cluster) failWhenPartitioned(zone int, calls storage.Calls) storage.Calls {
	partitionError := func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.partitioned[zone] {
			return errors.New("the zone is partitioned")
		}
		return nil
	}
	get, swap, watch := calls.Get, calls.CompareAndSwap, calls.Watch
	calls.Get = func(ctx context.Context, key string) (state.Entry, error) {
		if err := partitionError(); err != nil {
			return state.Entry{}, err
		}
		return get(ctx, key)
	}
	calls.CompareAndSwap = func(ctx context.Context, write state.Write) (state.Version, error) {
		if err := partitionError(); err != nil {
			return 0, err
		}
		return swap(ctx, write)
	}
	calls.Watch = func(ctx context.Context, prefix string, after state.Version, wait time.Duration) ([]state.Entry, state.Version, error) {
		if err := partitionError(); err != nil {
			return nil, 0, err
		}
		return watch(ctx, prefix, after, wait)
	}
	return calls
}

func (c *cluster) apply(zone int, m *state.Manifest, expected state.Generation) state.Generation {
	c.t.Helper()
	generation, err := c.get(zone, 0).Apply(context.Background(), m, expected)
	if err != nil {
		c.t.Fatal(err)
	}
	return generation
}

func (c *cluster) get(zone, index int) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(index)}), 7000)]
}

// generations returns the generation in force on each running entry, in order of first start.
func (c *cluster) generations() (all []state.Generation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range c.order {
		if e := c.entries[address]; e != nil {
			generation, _ := e.Advert()
			all = append(all, generation)
		}
	}
	return all
}

// checkGenerationsNeverDecrease fails if an entry went to a lower generation, or,
// unless the test replaces content, to the same generation again.
func (c *cluster) checkGenerationsNeverDecrease() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, e := range c.entries {
		for i := 1; i < len(e.inForceHistory); i++ {
			again := e.inForceHistory[i] == e.inForceHistory[i-1] && !c.allowsReplacement
			if again || e.inForceHistory[i] < e.inForceHistory[i-1] {
				c.t.Errorf("entry %v went through generations %v", address, e.inForceHistory)
			}
		}
	}
}

// sampleManifest returns a manifest with the given number of organisations;
// different values of burst make different manifests.
func sampleManifest(organisations, burst int) *state.Manifest {
	m := &state.Manifest{Weights: state.Weights{CompletionTime: 0.5, Fragmentation: 0.5}}
	for i := range organisations {
		o := state.Organisation{Name: fmt.Sprintf("organisation-%03d", i), Share: 1, BurstJobs: 10}
		for zone := range 2 {
			o.Guarantees = append(o.Guarantees, state.Guarantee{
				AvailabilityZone: fmt.Sprintf("zone-%d", zone), Members: 4,
				Shape: state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 128e9}, Adjacency: state.SameRack,
			})
		}
		m.Organisations = append(m.Organisations, o)
	}
	m.Organisations[0].BurstJobs = burst
	return m
}
