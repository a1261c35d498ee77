package planning

import (
	"net/netip"
	"sync"
	"time"

	"comfreystream/state"
)

// lostWorkerRetention is how long a lost worker still counts as part of the zone when a job
// is checked for whether it can ever fit.
const lostWorkerRetention = time.Hour

// feasibility decides which gangs can never fit, on a model of the zone without running
// jobs that includes recently lost workers. It has its own lock so that submissions do not
// wait for a planning round.
type feasibility struct {
	mu        sync.Mutex
	emptyZone zone
	lostAt    map[netip.AddrPort]time.Time
	// maxRacksByGang caches the results of maxRacks.
	maxRacksByGang map[gangKey]int
	manifest       *state.Manifest
	// guaranteeModel plans an empty zone with all guarantees pinned; nil if it must be
	// rebuilt.
	guaranteeModel *Planner
	// fitsByGang caches whether a gang fits outside of the guarantees.
	fitsByGang map[gangKey]bool
}

// gangKey identifies gangs with the same requirements.
type gangKey struct {
	shape     state.Resources
	members   int
	adjacency state.Adjacency
}

// maxCachedGangs bounds each cache; a full one is cleared.
const maxCachedGangs = 4096

func newFeasibility() feasibility {
	return feasibility{
		emptyZone:      newZone(),
		lostAt:         make(map[netip.AddrPort]time.Time),
		maxRacksByGang: make(map[gangKey]int),
		fitsByGang:     make(map[gangKey]bool),
	}
}

// putWorker adds or replaces a worker and reports whether one with a different capacity or
// rack was replaced.
func (f *feasibility) putWorker(w state.Worker) (shrunk bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.lostAt, w.Address)
	w.Leaving = false
	if known := f.emptyZone.workers[w.Address]; known != nil {
		if known.Capacity == w.Capacity && known.Rack == w.Rack {
			return false
		}
		f.emptyZone.remove(known)
		shrunk = true
	}
	f.emptyZone.add(w)
	f.invalidate()
	return shrunk
}

// markLost records that the worker is lost and reports whether workers lost longer than
// lostWorkerRetention ago were removed.
func (f *feasibility) markLost(address netip.AddrPort, now time.Time) (shrunk bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostAt[address] = now
	for other, since := range f.lostAt {
		if now.Sub(since) < lostWorkerRetention {
			continue
		}
		delete(f.lostAt, other)
		if known := f.emptyZone.workers[other]; known != nil {
			f.emptyZone.remove(known)
			f.invalidate()
			shrunk = true
		}
	}
	return shrunk
}

func (f *feasibility) setManifest(manifest *state.Manifest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.manifest = manifest
	f.invalidate()
}

func (f *feasibility) invalidate() {
	clear(f.maxRacksByGang)
	clear(f.fitsByGang)
	f.guaranteeModel = nil
}

// maxRacks returns how many racks an adjacent gang may spread over: one more than it needs
// in an empty zone, or 0 if it can never fit.
func (f *feasibility) maxRacks(shape state.Resources, members int, adjacency state.Adjacency) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxRacksLocked(shape, members, adjacency)
}

func (f *feasibility) maxRacksLocked(shape state.Resources, members int, adjacency state.Adjacency) int {
	key := gangKey{shape, members, adjacency}
	if maxRacks, found := f.maxRacksByGang[key]; found {
		return maxRacks
	}
	request := layoutRequest{members: members, adjacency: adjacency, maxRacks: len(f.emptyZone.racks)}
	assignments := findLayout(f.emptyZone.racks, request, func(w *worker) int { return shape.CountIn(w.Capacity) })
	racks := make(map[*rack]bool)
	for _, a := range assignments {
		racks[a.worker.rack] = true
	}
	maxRacks := 0
	if len(racks) > 0 {
		maxRacks = len(racks) + 1
	}
	if len(f.maxRacksByGang) >= maxCachedGangs {
		clear(f.maxRacksByGang)
	}
	f.maxRacksByGang[key] = maxRacks
	return maxRacks
}

// neverFits reports whether the job could not start even in an otherwise empty zone that
// keeps all guarantees. It reports false while no worker is known.
func (f *feasibility) neverFits(job *state.Job, availabilityZone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.emptyZone.workers) == 0 {
		return false
	}
	if f.maxRacksLocked(job.Shape, job.Members, job.Adjacency) == 0 {
		return true
	}
	if job.MayBorrow() || f.manifest == nil || guaranteeCovers(f.manifest, job, availabilityZone) {
		return false
	}
	return !f.fitsBesideGuarantees(job, availabilityZone)
}

// fitsBesideGuarantees reports whether the job fits into the empty zone outside of the
// guarantees.
func (f *feasibility) fitsBesideGuarantees(job *state.Job, availabilityZone string) bool {
	key := gangKey{job.Shape, job.Members, job.Adjacency}
	if fits, found := f.fitsByGang[key]; found {
		return fits
	}
	if f.guaranteeModel == nil {
		f.guaranteeModel = New(availabilityZone)
		for _, w := range f.emptyZone.workers {
			f.guaranteeModel.PutWorker(w.Worker)
		}
		f.guaranteeModel.ApplyManifest(f.manifest)
		f.guaranteeModel.repairGuarantees()
	}
	if len(f.fitsByGang) >= maxCachedGangs {
		clear(f.fitsByGang)
	}
	fits := f.guaranteeModel.moveGuaranteesFor(&jobEntry{job: *job})
	f.fitsByGang[key] = fits
	return fits
}

// hasLostWorkers reports whether workers were lost recently.
func (f *feasibility) hasLostWorkers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lostAt) > 0
}

// guaranteeCovers reports whether a guarantee of the job's organisation has the members,
// the shape and the adjacency for the whole job.
func guaranteeCovers(manifest *state.Manifest, job *state.Job, availabilityZone string) bool {
	for _, organisation := range manifest.Organisations {
		if organisation.Name != job.Organisation {
			continue
		}
		for _, g := range organisation.Guarantees {
			membersPerUnit := job.Shape.CountIn(g.Shape)
			if g.AvailabilityZone == availabilityZone && g.Members*membersPerUnit >= job.Members && g.Adjacency >= job.Adjacency {
				return true
			}
		}
	}
	return false
}
