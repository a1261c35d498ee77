package planning

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"comfreystream/state"
)

// zone holds the workers by rack. Only the holder of the planner's rounds lock
// writes, under the rack's lock; so it reads without, and others read with it.
type zone struct {
	mu      sync.RWMutex
	racks   []*rack // by position, then name
	workers map[netip.AddrPort]*worker
	total   state.Resources
}

// rack is a shard: its workers under its own lock.
type rack struct {
	mu sync.Mutex
	state.Rack
	workers []*worker
	// rigid counts the accelerators that guarantees and work which cannot be moved take.
	rigid int
	// fits is scratch space of findLayout.
	fits int
}

// worker is one worker and what is promised on it.
type worker struct {
	state.Worker
	rack *rack
	lost bool
	// unusable is set for the current round.
	unusable bool
	// held is what started members use, claimed what waits for others to make way.
	held    state.Resources
	claimed state.Resources
	// firm and covered are the parts of held and claimed that no reclaim frees.
	firm    state.Resources
	covered state.Resources
	// stoppable is the part of held that any reclaim may free, and cheap that of
	// all borrowed work which can checkpoint.
	stoppable state.Resources
	cheap     state.Resources
	// costly is the part of held and claimed that borrows but cannot checkpoint.
	costly state.Resources
	// pinned is what the guarantees keep here, whether in use or not.
	pinned state.Resources
	jobs   map[*entry]int
	// fits is scratch space of findLayout.
	fits int
}

func newZone() zone {
	return zone{workers: make(map[netip.AddrPort]*worker)}
}

func (z *zone) add(w state.Worker) {
	r := z.obtain(w.Rack)
	added := &worker{Worker: w, rack: r, jobs: make(map[*entry]int)}
	z.workers[w.Address] = added
	z.total = z.total.Plus(w.Capacity)
	r.update(func() {
		r.workers = append(r.workers, added)
		slices.SortFunc(r.workers, func(a, b *worker) int { return a.Address.Compare(b.Address) })
	})
}

func (z *zone) obtain(wanted state.Rack) *rack {
	for _, r := range z.racks {
		if r.Rack == wanted {
			return r
		}
	}
	r := &rack{Rack: wanted}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.racks = append(z.racks, r)
	slices.SortFunc(z.racks, func(a, b *rack) int {
		return cmp.Or(cmp.Compare(a.Position, b.Position), cmp.Compare(a.Name, b.Name))
	})
	return r
}

func (z *zone) remove(w *worker) {
	delete(z.workers, w.Address)
	z.total = z.total.Minus(w.Capacity)
	w.rack.update(func() {
		w.lost = true
		w.rack.workers = slices.DeleteFunc(w.rack.workers, func(other *worker) bool { return other == w })
	})
}

// snapshot returns the racks for readers without the rounds lock.
func (z *zone) snapshot() []*rack {
	z.mu.RLock()
	defer z.mu.RUnlock()
	return slices.Clone(z.racks)
}

func (r *rack) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// open reports whether the worker may get new work.
func (w *worker) open() bool {
	return !w.Leaving && !w.unusable && !w.lost
}

// free returns what nobody holds or claims; an amount is negative while work
// that has to make way still runs.
func (w *worker) free() state.Resources {
	return w.Capacity.Minus(w.held).Minus(w.claimed)
}

// unpinned returns what neither guarantees nor firm work take.
func (w *worker) unpinned() state.Resources {
	return w.Capacity.Minus(w.pinned).Minus(w.firm)
}

// account adds the hold's resources, or takes them away if sign is -1.
func (w *worker) account(e *entry, members, sign int) {
	amount := e.job.Shape.Times(members * sign)
	w.rack.update(func() {
		switch {
		case e.claims:
			w.claimed = w.claimed.Plus(amount)
		default:
			w.held = w.held.Plus(amount)
			if e.stoppable() {
				w.stoppable = w.stoppable.Plus(amount)
			}
			if e.stoppable() && e.job.Checkpointable {
				w.cheap = w.cheap.Plus(amount)
			}
		}
		switch e.tenure {
		case firm:
			w.firm = w.firm.Plus(amount)
		case covered:
			w.covered = w.covered.Plus(amount)
		case borrowed:
			if !e.job.Checkpointable {
				w.costly = w.costly.Plus(amount)
			}
		}
		if e.tenure != borrowed || !e.job.Checkpointable {
			w.rack.rigid += amount.Accelerators
		}
		w.jobs[e] += members * sign
		if w.jobs[e] == 0 {
			delete(w.jobs, e)
		}
	})
}

func (w *worker) keepFirm(amount state.Resources) {
	w.rack.update(func() { w.firm = w.firm.Plus(amount) })
}

func smaller(a, b state.Resources) state.Resources {
	return state.Resources{
		Slots:        min(a.Slots, b.Slots),
		Accelerators: min(a.Accelerators, b.Accelerators),
		Cores:        min(a.Cores, b.Cores),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
	}
}
