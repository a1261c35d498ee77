package planning

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"comfreystream/state"
)

// Planner plans for one availability zone; it is safe for concurrent use. The function
// fields must be set before first use.
type Planner struct {
	// Now returns the current time.
	Now func() time.Time
	// Estimate returns the expected run time of an organisation's jobs of a kind.
	Estimate func(organisation, kind string, declared time.Duration) time.Duration
	// Usable reports whether a worker may get new jobs.
	Usable func(worker netip.AddrPort) bool

	availabilityZone string
	// evacuated is set while nothing new may start in the zone.
	evacuated   atomic.Bool
	jobs        *state.Table[state.JobID, *jobEntry]
	queues      queueSet
	feasibility feasibility
	zone        zone

	// placementMu serialises every change of placements; its holder may read workers and
	// guarantees without the locks of their shards.
	placementMu sync.Mutex
	manifest    *state.Manifest
	guarantees  []*guarantee
	// pending holds the jobs that wait for reclaimed jobs to stop.
	pending      []*jobEntry
	reservations []*reservation
	// guaranteesStale is set when the guarantees' pins may need repair.
	guaranteesStale bool
	// feasibilityStale is set when queued jobs may have become impossible.
	feasibilityStale bool
	// lastGuaranteeMove is when moving guarantees for a gang was last tried.
	lastGuaranteeMove time.Time
}

// New returns a planner for the zone, without a manifest or workers.
func New(availabilityZone string) *Planner {
	return &Planner{
		Now:              time.Now,
		Estimate:         func(_, _ string, declared time.Duration) time.Duration { return declared },
		Usable:           func(netip.AddrPort) bool { return true },
		availabilityZone: availabilityZone,
		jobs:             state.NewTable[state.JobID, *jobEntry](),
		queues:           queueSet{byOrganisation: make(map[string]*queue)},
		feasibility:      newFeasibility(),
		zone:             newZone(),
	}
}

// ApplyManifest puts the manifest in force unless it has an older generation than the
// current one. A guarantee whose room is taken by non-preemptible jobs is met as they end.
func (p *Planner) ApplyManifest(manifest *state.Manifest) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	if p.manifest != nil && manifest.Generation < p.manifest.Generation {
		return
	}
	p.manifest = manifest
	p.evacuated.Store(slices.Contains(manifest.Evacuated, p.availabilityZone))
	p.queues.apply(manifest)
	p.feasibility.setManifest(manifest)
	p.applyGuarantees(manifest)
	p.feasibilityStale = true
	p.guaranteesStale = true
}

// Evacuated reports whether the manifest in force evacuates the zone, so that nothing new
// may start.
func (p *Planner) Evacuated() bool { return p.evacuated.Load() }

// PutWorker adds a worker or updates its capacity, rack or Leaving.
func (p *Planner) PutWorker(worker state.Worker) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	known := p.zone.workers[worker.Address]
	if known != nil && known.Rack != worker.Rack {
		p.removeWorker(known)
		known = nil
	}
	p.feasibilityStale = p.feasibility.putWorker(worker) || p.feasibilityStale
	if known == nil {
		p.zone.add(worker)
		p.guaranteesStale = true
		return
	}
	changed := known.Capacity != worker.Capacity || known.Leaving != worker.Leaving
	p.zone.total = p.zone.total.Minus(known.Capacity).Plus(worker.Capacity)
	known.rack.update(func() { known.Worker = worker })
	if !changed {
		return
	}
	p.releaseUnavailablePins(known)
	p.guaranteesStale = true
}

// RemoveWorker removes the worker and returns the jobs that had members on it; the caller
// stops the rest of each job and calls Ended or Requeue.
func (p *Planner) RemoveWorker(address netip.AddrPort) []state.JobID {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	known := p.zone.workers[address]
	if known == nil {
		return nil
	}
	lost := p.removeWorker(known)
	p.feasibilityStale = p.feasibility.markLost(address, p.Now()) || p.feasibilityStale
	p.guaranteesStale = true
	return lost
}

// removeWorker removes the worker, its pins and its reservations.
func (p *Planner) removeWorker(known *worker) (lost []state.JobID) {
	for e := range known.membersByJob {
		if e.awaitsReclaim {
			p.dropPending(e)
			continue
		}
		e.queue.markStopping(e)
		lost = append(lost, e.job.ID)
	}
	p.zone.remove(known)
	for _, g := range p.guarantees {
		g.unpin(known)
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(s *reservation) bool { return s.workers[known] })
	return lost
}
