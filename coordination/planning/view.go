package planning

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state"
)

// View is what operators see of the planner's zone. Its parts are read one after another,
// so they may differ by what happens in between.
type View struct {
	AvailabilityZone string
	// Evacuated is set while nothing new may start in the zone.
	Evacuated  bool
	Generation state.Generation
	Workers    WorkerCounts
	Total      state.Resources
	Free       state.Resources
	Lent       state.Resources
	// Fragmentation is 1 - (largest adjacent gang that fits / free accelerators), from 0 to
	// 1.
	Fragmentation float64
	Guarantees    []GuaranteeView
	Queues        []QueueView
	// ReservedFor lists the gangs with reserved workers.
	ReservedFor []state.JobID
}

// WorkerCounts counts the zone's workers by state.
type WorkerCounts struct {
	Usable      int
	Leaving     int
	Quarantined int
}

// GuaranteeView is how one guarantee's members are used: Held ones run jobs of the
// organisation, Lent ones run borrowed jobs, and Missing ones have no place, for the reason
// in Broken.
type GuaranteeView struct {
	Organisation string
	Guarantee    state.Guarantee
	Held         int
	Lent         int
	Idle         int
	Missing      int
	Broken       Breach
}

// QueueView is one organisation's queue and why its oldest job waits.
type QueueView struct {
	Organisation string
	Queued       int
	Oldest       state.JobID
	OldestWait   time.Duration
	Waiting      WaitReason
	Used         state.Resources
}

// View returns the present state of the zone.
func (p *Planner) View() View {
	view := View{AvailabilityZone: p.availabilityZone, Evacuated: p.Evacuated()}
	p.viewGuarantees(&view)
	for _, r := range p.zone.snapshot() {
		p.viewRack(&view, r)
	}
	now := p.Now()
	for _, q := range p.queues.all() {
		view.Queues = append(view.Queues, q.view(now))
	}
	slices.SortFunc(view.Queues, func(a, b QueueView) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return view
}

func (p *Planner) viewGuarantees(view *View) {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	p.repairGuarantees()
	view.Fragmentation = p.fragmentation()
	if p.manifest != nil {
		view.Generation = p.manifest.Generation
	}
	for _, s := range p.reservations {
		view.ReservedFor = append(view.ReservedFor, s.entry.job.ID)
	}
	for _, g := range p.guarantees {
		lent := g.lentMembers()
		view.Guarantees = append(view.Guarantees, GuaranteeView{
			Organisation: g.organisation,
			Guarantee:    g.Guarantee,
			Held:         g.usedUnits,
			Lent:         lent,
			Idle:         g.pinnedUnits - g.usedUnits - lent,
			Missing:      max(0, g.Members-g.pinnedUnits),
			Broken:       g.broken,
		})
	}
}

// lentMembers returns how many idle members of the guarantee have their room taken by
// borrowed jobs.
func (g *guarantee) lentMembers() (members int) {
	for w := range g.pins {
		members += max(0, g.idleUnits(w)-g.Shape.CountIn(w.free()))
	}
	return members
}

func (p *Planner) viewRack(view *View, r *rack) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		view.Total = view.Total.Plus(w.Capacity)
		view.Free = view.Free.Plus(w.free())
		view.Lent = view.Lent.Plus(w.held.Plus(w.claimed).Minus(w.nonPreemptible).Minus(w.guaranteed))
		switch {
		case w.Leaving:
			view.Workers.Leaving++
		case !p.Usable(w.Address):
			view.Workers.Quarantined++
		default:
			view.Workers.Usable++
		}
	}
}

func (q *queue) view(now time.Time) QueueView {
	q.mu.Lock()
	defer q.mu.Unlock()
	view := QueueView{Organisation: q.organisation.Name, Queued: q.jobCount, Used: q.used}
	var oldest *jobEntry
	for _, e := range q.first {
		if e != nil && (oldest == nil || e.job.Submitted.Before(oldest.job.Submitted)) {
			oldest = e
		}
	}
	if oldest != nil {
		view.Oldest = oldest.job.ID
		view.OldestWait = now.Sub(oldest.job.Submitted)
		view.Waiting = oldest.waitReason
	}
	return view
}

// fragmentationMember is the shape of the members by which fragmentation is measured.
var fragmentationMember = state.Resources{Slots: 1, Accelerators: 1, Cores: 1}

// fragmentation returns 1 - (largest adjacent gang that fits / free accelerators), 0
// without free accelerators.
func (p *Planner) fragmentation() float64 {
	free := 0
	for _, r := range p.zone.racks {
		r.fits = 0
		for _, w := range r.workers {
			if w.Leaving {
				continue
			}
			free += max(0, w.free().Accelerators)
			r.fits += fragmentationMember.CountIn(w.free())
		}
	}
	if free == 0 {
		return 0
	}
	return 1 - float64(p.largestAdjacentGang())/float64(free)
}

// largestAdjacentGang returns the size of the largest adjacent gang of fragmentationMember
// that fits; the racks' fits fields must be set.
func (p *Planner) largestAdjacentGang() (largest int) {
	racks := p.zone.racks
	for i := range racks {
		sum := 0
		for j := i; j < len(racks); j++ {
			if racks[j].fits == 0 || (j > i && racks[j].Position-racks[j-1].Position > 1) {
				break
			}
			sum += racks[j].fits
			if sum > largest && j-i < p.feasibility.maxRacks(fragmentationMember, sum, state.AdjacentRacks) {
				largest = sum
			}
		}
	}
	return largest
}
