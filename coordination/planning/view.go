package planning

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state"
)

// View shows operators what the planner knows of its zone; its parts are read
// one after another.
type View struct {
	AvailabilityZone string
	Generation       state.Generation
	Workers          WorkerCounts
	Total            state.Resources
	Free             state.Resources
	Lent             state.Resources
	// Fragmentation is 1 - largest adjacent gang that fits / free accelerators, from 0 to 1.
	Fragmentation float64
	Guarantees    []GuaranteeView
	Queues        []QueueView
	// ReservedFor lists the gangs for which places are kept.
	ReservedFor []state.JobID
}

// WorkerCounts counts the zone's workers by state.
type WorkerCounts struct {
	Usable      int
	Leaving     int
	Quarantined int
}

// GuaranteeView shows one guarantee; Held members run for their organisation,
// Lent ones run borrowed work, and Missing ones cannot be had, for the reason Broken.
type GuaranteeView struct {
	Organisation string
	Guarantee    state.Guarantee
	Held         int
	Lent         int
	Idle         int
	Missing      int
	Broken       Breach
}

// QueueView shows one organisation's queue and why its oldest job waits.
type QueueView struct {
	Organisation string
	Queued       int
	Oldest       state.JobID
	OldestWait   time.Duration
	Waiting      Waiting
	Used         state.Resources
}

// View returns what the planner knows.
func (p *Planner) View() View {
	view := View{AvailabilityZone: p.availabilityZone}
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
	p.rounds.Lock()
	defer p.rounds.Unlock()
	p.settle()
	view.Fragmentation = p.fragmentation()
	if p.manifest != nil {
		view.Generation = p.manifest.Generation
	}
	for _, s := range p.reserved {
		view.ReservedFor = append(view.ReservedFor, s.entry.job.ID)
	}
	for _, g := range p.guarantees {
		lent := g.lent()
		view.Guarantees = append(view.Guarantees, GuaranteeView{
			Organisation: g.organisation,
			Guarantee:    g.Guarantee,
			Held:         g.used,
			Lent:         lent,
			Idle:         g.pinned - g.used - lent,
			Missing:      max(0, g.Members-g.pinned),
			Broken:       g.broken,
		})
	}
}

// lent returns how many idle members of the guarantee have borrowed work in
// their places.
func (g *guarantee) lent() (members int) {
	for w := range g.pins {
		members += max(0, g.idle(w)-g.Shape.CountIn(w.free()))
	}
	return members
}

func (p *Planner) viewRack(view *View, r *rack) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		view.Total = view.Total.Plus(w.Capacity)
		view.Free = view.Free.Plus(w.free())
		view.Lent = view.Lent.Plus(w.held.Plus(w.claimed).Minus(w.firm).Minus(w.covered))
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
	view := QueueView{Organisation: q.organisation.Name, Queued: q.count, Used: q.used}
	var oldest *entry
	for _, e := range q.first {
		if e != nil && (oldest == nil || e.job.Submitted.Before(oldest.job.Submitted)) {
			oldest = e
		}
	}
	if oldest != nil {
		view.Oldest = oldest.job.ID
		view.OldestWait = now.Sub(oldest.job.Submitted)
		view.Waiting = oldest.waiting
	}
	return view
}

// acceleratorMember is the member of the gangs that fragmentation is measured with.
var acceleratorMember = state.Resources{Slots: 1, Accelerators: 1, Cores: 1}

// fragmentation returns 1 - largest adjacent gang that fits / free accelerators.
func (p *Planner) fragmentation() float64 {
	free := 0
	for _, r := range p.zone.racks {
		r.fits = 0
		for _, w := range r.workers {
			if w.Leaving {
				continue
			}
			free += max(0, w.free().Accelerators)
			r.fits += acceleratorMember.CountIn(w.free())
		}
	}
	if free == 0 {
		return 0
	}
	return 1 - float64(p.largestAdjacent())/float64(free)
}

// largestAdjacent returns the size of the largest adjacent gang of
// one-accelerator members that fits into the racks' fits.
func (p *Planner) largestAdjacent() (largest int) {
	racks := p.zone.racks
	for i := range racks {
		sum := 0
		for j := i; j < len(racks); j++ {
			if racks[j].fits == 0 || (j > i && racks[j].Position-racks[j-1].Position > 1) {
				break
			}
			sum += racks[j].fits
			if sum > largest && j-i < p.sizes.span(acceleratorMember, sum, state.AdjacentRacks) {
				largest = sum
			}
		}
	}
	return largest
}
