package planning

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"comfreystream/state"
)

// zone holds the workers by rack. Only the holder of the planner's placementMu writes, and
// takes the rack's lock to do so; that holder reads without the rack's lock, all others
// read with it.
type zone struct {
	mu      sync.RWMutex
	racks   []*rack // by position, then name
	workers map[netip.AddrPort]*worker
	total   state.Resources
}

// rack is a shard of the zone: its workers, guarded by the rack's lock.
type rack struct {
	mu sync.Mutex
	state.Rack
	workers []*worker
	// immovableAccelerators counts the accelerators taken by guarantees and by jobs that
	// cannot be moved.
	immovableAccelerators int
	// fits is scratch space of findLayout: how many members fit on the rack.
	fits int
}

// worker is a worker and the resources that are in use, claimed or pinned on it.
type worker struct {
	state.Worker
	rack *rack
	lost bool
	// unusable is the last answer of Planner.Usable, refreshed by each round.
	unusable bool
	// held is used by started jobs, claimed is waited for by jobs whose room is being
	// reclaimed.
	held    state.Resources
	claimed state.Resources
	// nonPreemptible and guaranteed are the parts of held and claimed with that
	// entitlement; no reclaim frees them.
	nonPreemptible state.Resources
	guaranteed     state.Resources
	// preemptible is the part of held that any reclaim may free; checkpointable is the part
	// of preemptible whose jobs can checkpoint.
	preemptible    state.Resources
	checkpointable state.Resources
	// borrowedWithoutCheckpoint is the part of held and claimed whose jobs are borrowed and
	// cannot checkpoint.
	borrowedWithoutCheckpoint state.Resources
	// pinned is reserved for guarantees, whether used or idle.
	pinned       state.Resources
	membersByJob map[*jobEntry]int
	// fits is scratch space of findLayout: how many members fit on the worker.
	fits int
}

func newZone() zone {
	return zone{workers: make(map[netip.AddrPort]*worker)}
}

func (z *zone) add(w state.Worker) {
	r := z.getOrCreateRack(w.Rack)
	added := &worker{Worker: w, rack: r, membersByJob: make(map[*jobEntry]int)}
	z.workers[w.Address] = added
	z.total = z.total.Plus(w.Capacity)
	r.update(func() {
		r.workers = append(r.workers, added)
		slices.SortFunc(r.workers, func(a, b *worker) int { return a.Address.Compare(b.Address) })
	})
}

func (z *zone) getOrCreateRack(wanted state.Rack) *rack {
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

// snapshot returns the racks for readers that do not hold placementMu.
func (z *zone) snapshot() []*rack {
	z.mu.RLock()
	defer z.mu.RUnlock()
	return slices.Clone(z.racks)
}

// update runs the change under the rack's lock.
func (r *rack) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// acceptsWork reports whether the worker may get new jobs.
func (w *worker) acceptsWork() bool {
	return !w.Leaving && !w.unusable && !w.lost
}

// free returns what no job holds or claims; an amount is negative while jobs being
// reclaimed still run.
func (w *worker) free() state.Resources {
	return w.Capacity.Minus(w.held).Minus(w.claimed)
}

// unreserved returns what neither guarantees nor non-preemptible jobs take.
func (w *worker) unreserved() state.Resources {
	return w.Capacity.Minus(w.pinned).Minus(w.nonPreemptible)
}

// addUsage adds the resources of the job's members on the worker, or subtracts them if sign
// is -1.
func (w *worker) addUsage(e *jobEntry, members, sign int) {
	amount := e.job.Shape.Times(members * sign)
	w.rack.update(func() {
		switch {
		case e.awaitsReclaim:
			w.claimed = w.claimed.Plus(amount)
		default:
			w.held = w.held.Plus(amount)
			if e.preemptible() {
				w.preemptible = w.preemptible.Plus(amount)
			}
			if e.preemptible() && e.job.Checkpointable {
				w.checkpointable = w.checkpointable.Plus(amount)
			}
		}
		switch e.entitlement {
		case nonPreemptible:
			w.nonPreemptible = w.nonPreemptible.Plus(amount)
		case guaranteed:
			w.guaranteed = w.guaranteed.Plus(amount)
		case borrowed:
			if !e.job.Checkpointable {
				w.borrowedWithoutCheckpoint = w.borrowedWithoutCheckpoint.Plus(amount)
			}
		}
		if e.entitlement != borrowed || !e.job.Checkpointable {
			w.rack.immovableAccelerators += amount.Accelerators
		}
		w.membersByJob[e] += members * sign
		if w.membersByJob[e] == 0 {
			delete(w.membersByJob, e)
		}
	})
}

// addNonPreemptible changes the non-preemptible usage without a job.
func (w *worker) addNonPreemptible(amount state.Resources) {
	w.rack.update(func() { w.nonPreemptible = w.nonPreemptible.Plus(amount) })
}

// minResources returns the smaller of each amount.
func minResources(a, b state.Resources) state.Resources {
	return state.Resources{
		Slots:        min(a.Slots, b.Slots),
		Accelerators: min(a.Accelerators, b.Accelerators),
		Cores:        min(a.Cores, b.Cores),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
	}
}
