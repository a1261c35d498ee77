package planning

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"comfreystream/state"
)

// Planner decides for one availability zone; it is safe for several goroutines.
// The function fields are set before first use.
type Planner struct {
	// Now is the clock.
	Now func() time.Time
	// Estimate returns the expected run time of a kind of job of an organisation.
	Estimate func(organisation, kind string, declared time.Duration) time.Duration
	// Usable reports whether a worker may get new work.
	Usable func(worker netip.AddrPort) bool

	availabilityZone string
	jobs             *state.Table[state.JobID, *entry]
	queues           queueSet
	sizes            sizes
	zone             zone

	// rounds serialises every change of placements; whoever holds it may read
	// workers and guarantees without the locks of their shards.
	rounds     sync.Mutex
	manifest   *state.Manifest
	guarantees []*guarantee
	pending    []*entry
	reserved   []*reservation
	// unsettled is set when guarantees may have to be placed anew.
	unsettled bool
	// unchecked is set when queued jobs may have become impossible.
	unchecked bool
	// shifted is when guarantees were last moved for a gang.
	shifted time.Time
}

// New returns a planner for the zone that knows no manifest and no worker.
func New(availabilityZone string) *Planner {
	return &Planner{
		Now:              time.Now,
		Estimate:         func(_, _ string, declared time.Duration) time.Duration { return declared },
		Usable:           func(netip.AddrPort) bool { return true },
		availabilityZone: availabilityZone,
		jobs:             state.NewTable[state.JobID, *entry](),
		queues:           queueSet{byOrganisation: make(map[string]*queue)},
		sizes:            newSizes(),
		zone:             newZone(),
	}
}

// ApplyManifest puts the manifest in force; an older generation is ignored.
// Guarantees that running work leaves no room for are met as it ends.
func (p *Planner) ApplyManifest(manifest *state.Manifest) {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	if p.manifest != nil && manifest.Generation < p.manifest.Generation {
		return
	}
	p.manifest = manifest
	p.queues.apply(manifest)
	p.sizes.setManifest(manifest)
	p.replaceGuarantees(manifest)
	p.unchecked = true
	p.unsettled = true
}

// PutWorker adds a worker or takes over its changed capacity, rack or Leaving.
func (p *Planner) PutWorker(worker state.Worker) {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	known := p.zone.workers[worker.Address]
	if known != nil && known.Rack != worker.Rack {
		p.loseWorker(known)
		known = nil
	}
	p.unchecked = p.sizes.put(worker) || p.unchecked
	if known == nil {
		p.zone.add(worker)
		p.unsettled = true
		return
	}
	changed := known.Capacity != worker.Capacity || known.Leaving != worker.Leaving
	p.zone.total = p.zone.total.Minus(known.Capacity).Plus(worker.Capacity)
	known.rack.update(func() { known.Worker = worker })
	if !changed {
		return
	}
	p.unpinOverfull(known)
	p.unsettled = true
}

// LoseWorker forgets the worker and returns the jobs that had members on it;
// the caller stops what is left of each and calls Ended or Requeue.
func (p *Planner) LoseWorker(address netip.AddrPort) []state.JobID {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	known := p.zone.workers[address]
	if known == nil {
		return nil
	}
	lost := p.loseWorker(known)
	p.unchecked = p.sizes.lose(address, p.Now()) || p.unchecked
	p.unsettled = true
	return lost
}

func (p *Planner) loseWorker(known *worker) (lost []state.JobID) {
	for e := range known.jobs {
		if e.claims {
			p.dropPending(e)
			continue
		}
		e.queue.stop(e)
		lost = append(lost, e.job.ID)
	}
	p.zone.remove(known)
	for _, g := range p.guarantees {
		g.unpin(known)
	}
	p.reserved = slices.DeleteFunc(p.reserved, func(s *reservation) bool { return s.workers[known] })
	return lost
}
