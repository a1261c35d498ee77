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

// fleet is entries in several zones over one stand-in store.
type fleet struct {
	t       testing.TB
	store   *standin.Store
	mu      sync.Mutex
	entries map[netip.AddrPort]*entry
	order   []netip.AddrPort
	// cut lists the zones that reach neither the store nor another zone.
	cut map[int]bool
	// replaces is set where other content of a generation has to be replaced.
	replaces bool
	// pushes and bytes count what Push carried.
	pushes, bytes int
}

type entry struct {
	*rollout.Rollout
	zone, index int
	address     netip.AddrPort
	seen        []state.Generation
	// moved is when the entry got its last generation.
	moved time.Time
	stop  context.CancelFunc
	done  chan struct{}
}

func newFleet(t testing.TB, zones, entriesPerZone int) *fleet {
	f := &fleet{t: t, store: standin.New(), entries: make(map[netip.AddrPort]*entry), cut: make(map[int]bool)}
	for z := range zones {
		for i := range entriesPerZone {
			f.start(z, i)
		}
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) close() {
	f.store.Inject(nil)
	for _, address := range f.order {
		f.stopEntry(address)
	}
	f.store.Close()
}

func (f *fleet) start(zone, index int) *entry {
	e := &entry{zone: zone, index: index, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(index)}), 7000), done: make(chan struct{})}
	s := storage.New(f.reachable(zone, store.Sealed(f.store.Raw())), 0)
	e.Rollout = rollout.New(s, manifest.Codec())
	e.Peers = func() []netip.AddrPort { return f.peers(e) }
	e.Push = func(_ context.Context, peer netip.AddrPort, update rollout.Update) (rollout.Have, error) {
		to, err := f.reach(e, peer)
		if err != nil {
			return rollout.Have{}, err
		}
		f.mu.Lock()
		f.pushes++
		for _, p := range update.Parts {
			f.bytes += len(p.Name) + len(p.Body)
		}
		f.mu.Unlock()
		have, _ := to.Receive(update)
		return have, nil
	}
	e.Fetch = func(_ context.Context, peer netip.AddrPort, have rollout.Have) (rollout.Update, error) {
		to, err := f.reach(e, peer)
		if err != nil {
			return rollout.Update{}, err
		}
		update, _ := to.Since(have)
		return update, nil
	}
	e.InForce = func(m *state.Manifest) {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.seen = append(e.seen, m.Generation)
		e.moved = time.Now()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	f.mu.Lock()
	f.entries[e.address] = e
	if !slices.Contains(f.order, e.address) {
		f.order = append(f.order, e.address)
	}
	f.mu.Unlock()
	go func() {
		defer close(e.done)
		e.Run(ctx, func() bool { return index == 0 })
	}()
	return e
}

func (f *fleet) stopEntry(address netip.AddrPort) {
	f.mu.Lock()
	e := f.entries[address]
	delete(f.entries, address)
	f.mu.Unlock()
	if e != nil {
		e.stop()
		<-e.done
	}
}

func (f *fleet) peers(e *entry) (peers []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range f.order {
		if other := f.entries[address]; other != nil && other != e && other.zone == e.zone {
			peers = append(peers, address)
		}
	}
	return peers
}

func (f *fleet) reach(from *entry, peer netip.AddrPort) (*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.entries[peer]
	if to == nil || from.zone != to.zone && (f.cut[from.zone] || f.cut[to.zone]) {
		return nil, errors.Errorf("%v cannot reach %v", from.address, peer)
	}
	return to, nil
}

func (f *fleet) setCut(zone int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[zone] = cut
}

// gossip lets every entry hear the adverts of all that it can reach.
func (f *fleet) gossip() {
	f.mu.Lock()
	all := make([]*entry, 0, len(f.entries))
	for _, e := range f.entries {
		all = append(all, e)
	}
	f.mu.Unlock()
	for _, from := range all {
		for _, to := range all {
			if _, err := f.reach(from, to.address); from != to && err == nil {
				generation, digest := from.Advert()
				to.Heard(from.address, generation, digest)
			}
		}
	}
}

// reachable fails the store's calls while the zone is cut off.
func (f *fleet) reachable(zone int, calls storage.Calls) storage.Calls {
	cutOff := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.cut[zone] {
			return errors.New("the zone is cut off")
		}
		return nil
	}
	get, swap, watch := calls.Get, calls.CompareAndSwap, calls.Watch
	calls.Get = func(ctx context.Context, key string) (state.Entry, error) {
		if err := cutOff(); err != nil {
			return state.Entry{}, err
		}
		return get(ctx, key)
	}
	calls.CompareAndSwap = func(ctx context.Context, write state.Write) (state.Version, error) {
		if err := cutOff(); err != nil {
			return 0, err
		}
		return swap(ctx, write)
	}
	calls.Watch = func(ctx context.Context, prefix string, after state.Version, wait time.Duration) ([]state.Entry, state.Version, error) {
		if err := cutOff(); err != nil {
			return nil, 0, err
		}
		return watch(ctx, prefix, after, wait)
	}
	return calls
}

func (f *fleet) apply(zone int, m *state.Manifest, expected state.Generation) state.Generation {
	f.t.Helper()
	generation, err := f.get(zone, 0).Apply(context.Background(), m, expected)
	if err != nil {
		f.t.Fatal(err)
	}
	return generation
}

func (f *fleet) get(zone, index int) *entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(index)}), 7000)]
}

// generations returns what each entry has in force, by zone and index.
func (f *fleet) generations() (all []state.Generation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range f.order {
		if e := f.entries[address]; e != nil {
			generation, _ := e.Advert()
			all = append(all, generation)
		}
	}
	return all
}

// checkNoneFellBack fails if an entry ever went to a lower generation.
func (f *fleet) checkNoneFellBack() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, e := range f.entries {
		for i := 1; i < len(e.seen); i++ {
			again := e.seen[i] == e.seen[i-1] && !f.replaces
			if again || e.seen[i] < e.seen[i-1] {
				f.t.Errorf("entry %v went through generations %v", address, e.seen)
			}
		}
	}
}

// sample returns a manifest of that many organisations; burst tells versions apart.
func sample(organisations, burst int) *state.Manifest {
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
