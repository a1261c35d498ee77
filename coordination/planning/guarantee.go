package planning

import (
	"cmp"
	"comfreystream/state"
	"maps"
	"slices"
)

// guarantee is a promised shape and the places that are kept for it. For each
// worker, all pins and the firm work together fit into its capacity, so every
// guarantee can be had by stopping borrowed work alone.
type guarantee struct {
	state.Guarantee
	organisation string
	pins         map[*worker]pin
	pinned       int
	used         int
	broken       Breach
}

// pin is how many guaranteed members a worker keeps, and how many of them run.
type pin struct {
	units int
	used  int
}

// Breach says why a guarantee cannot be had whole.
type Breach string

// The reasons for a broken guarantee; Unbroken means that it can be had.
const (
	Unbroken Breach = ""
	// WorkersLost means that it fitted before workers or racks were lost.
	WorkersLost Breach = "workersLost"
	// RunningWork means that work which must not be stopped still holds its places.
	RunningWork Breach = "runningWork"
	// TooLarge means that it never fitted beside the other guarantees.
	TooLarge Breach = "tooLarge"
)

func (g *guarantee) setPin(w *worker, next pin) {
	previous := g.pins[w]
	if next.units == 0 && next.used == 0 {
		delete(g.pins, w)
	} else {
		g.pins[w] = next
	}
	g.pinned += next.units - previous.units
	g.used += next.used - previous.used
	if next.units == previous.units {
		return
	}
	change := g.Shape.Times(next.units - previous.units)
	w.rack.update(func() {
		w.pinned = w.pinned.Plus(change)
		w.rack.rigid += change.Accelerators
	})
}

func (g *guarantee) unpin(w *worker) {
	if _, found := g.pins[w]; found {
		g.setPin(w, pin{})
	}
}

// unpinIdle gives up every place that no running work takes.
func (g *guarantee) unpinIdle() {
	for _, w := range slices.Collect(maps.Keys(g.pins)) {
		used := g.pins[w].used
		g.setPin(w, pin{units: used, used: used})
	}
}

// trim gives up places beyond the promised number.
func (g *guarantee) trim() {
	for _, w := range g.workers() {
		over := g.pinned - g.Members
		if over <= 0 {
			return
		}
		at := g.pins[w]
		at.units -= min(over, at.units-at.used)
		g.setPin(w, at)
	}
}

// workers returns the workers with pins, in the order of their addresses.
func (g *guarantee) workers() []*worker {
	return slices.SortedFunc(maps.Keys(g.pins), func(a, b *worker) int { return a.Address.Compare(b.Address) })
}

func (g *guarantee) idle(w *worker) int {
	at := g.pins[w]
	return at.units - at.used
}

// replaceGuarantees takes over the manifest's guarantees; one whose shape and
// adjacency stay keeps its places.
func (p *Planner) replaceGuarantees(manifest *state.Manifest) {
	former := p.guarantees
	p.guarantees = nil
	for _, organisation := range manifest.Organisations {
		for _, wanted := range organisation.Guarantees {
			if wanted.AvailabilityZone != p.availabilityZone {
				continue
			}
			i := slices.IndexFunc(former, func(g *guarantee) bool {
				return g.organisation == organisation.Name && g.Shape == wanted.Shape && g.Adjacency == wanted.Adjacency
			})
			g := &guarantee{organisation: organisation.Name, pins: make(map[*worker]pin)}
			if i >= 0 {
				g = former[i]
				former = slices.Delete(former, i, i+1)
			}
			g.Guarantee = wanted
			g.trim()
			p.guarantees = append(p.guarantees, g)
		}
	}
	slices.SortStableFunc(p.guarantees, harderFirst)
	for _, g := range former {
		p.dissolve(g)
	}
}

// harderFirst orders guarantees by tightness of adjacency, then by size.
func harderFirst(a, b *guarantee) int {
	return cmp.Or(
		cmp.Compare(b.Adjacency, a.Adjacency),
		cmp.Compare(b.Total().Accelerators, a.Total().Accelerators),
		cmp.Compare(b.Total().Cores, a.Total().Cores),
	)
}

// dissolve ends a guarantee; the work that ran on it goes on beside the others.
func (p *Planner) dissolve(g *guarantee) {
	for _, w := range g.workers() {
		for e := range maps.Clone(w.jobs) {
			if e.guarantee == g {
				p.uncover(e)
			}
		}
		g.unpin(w)
	}
}

func (p *Planner) uncover(e *entry) {
	p.account(e, -1)
	e.guarantee.trim()
	p.unsettled = true
	e.guarantee = nil
	e.tenure = e.ownTenure()
	for i := range e.holds {
		e.holds[i].units = 0
	}
	p.account(e, 1)
}

// uncoverFor gives the urgent job's organisation its guarantees back from its
// own work that can be stopped, if that leaves enough places.
func (p *Planner) uncoverFor(urgent *entry) bool {
	for _, g := range p.guarantees {
		perUnit := urgent.job.Shape.CountIn(g.Shape)
		if g.organisation != urgent.job.Organisation || perUnit == 0 {
			continue
		}
		own := g.stoppableWork()
		idle := g.pinned - g.used
		for _, e := range own {
			for _, h := range e.holds {
				idle += h.units
			}
		}
		if idle < unitsFor(urgent.job.Members, perUnit) {
			continue
		}
		for _, e := range own {
			if (g.pinned-g.used)*perUnit < urgent.job.Members {
				p.uncover(e)
			}
		}
		return len(own) > 0
	}
	return false
}

// stoppableWork returns the work on the guarantee that urgent work of the same
// organisation may stop.
func (g *guarantee) stoppableWork() (work []*entry) {
	for _, w := range g.workers() {
		for e := range w.jobs {
			if e.guarantee == g && !e.claims && e.job.Borrows() && e.job.Urgency != state.Urgent && !slices.Contains(work, e) {
				work = append(work, e)
			}
		}
	}
	slices.SortFunc(work, func(a, b *entry) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return work
}

// settle restores guarantees after anything changed that they depend on.
func (p *Planner) settle() {
	if !p.unsettled {
		return
	}
	p.unsettled = false
	for _, g := range p.guarantees {
		p.restore(g)
	}
	if slices.ContainsFunc(p.guarantees, func(g *guarantee) bool { return !p.isWhole(g) }) {
		p.repack()
	}
	for _, g := range p.guarantees {
		g.broken = p.breach(g)
	}
}

// restore completes the guarantee's places if they can be had without a change
// to the others.
func (p *Planner) restore(g *guarantee) {
	if p.isWhole(g) {
		return
	}
	former := maps.Clone(g.pins)
	if p.complete(g) {
		return
	}
	g.unpinIdle()
	if p.complete(g) {
		return
	}
	g.unpinIdle()
	for w, at := range former {
		g.setPin(w, at)
	}
}

// complete adds the missing places next to those that are there, and reports
// whether the guarantee is whole then.
func (p *Planner) complete(g *guarantee) bool {
	if g.pinned < g.Members {
		for _, part := range p.layoutGuarantee(g, (*worker).unpinned) {
			at := g.pins[part.worker]
			at.units += part.members
			g.setPin(part.worker, at)
		}
	}
	return p.isWhole(g)
}

// isWhole reports whether all of the guarantee that does not run has its
// places, next to what runs.
func (p *Planner) isWhole(g *guarantee) bool {
	if g.pinned < g.Members {
		return false
	}
	return g.pinned == g.used || adjacent(g.workers(), g.Adjacency, p.spanOf(g))
}

func (p *Planner) spanOf(g *guarantee) int {
	return p.sizes.span(g.Shape, max(g.Members, g.pinned), g.Adjacency)
}

// layoutGuarantee returns places for the members that are not pinned, next to
// those that are.
func (p *Planner) layoutGuarantee(g *guarantee, room func(*worker) state.Resources) []share {
	missing := g.Members - g.pinned
	count := func(w *worker) int {
		if !w.open() {
			return 0
		}
		return min(g.Shape.CountIn(room(w)), missing)
	}
	if g.pinned == 0 || g.Adjacency == state.AnyRack {
		return findLayout(p.zone.racks, gang{members: missing, adjacency: g.Adjacency, span: p.spanOf(g)}, count)
	}
	return p.layoutAround(g, missing, count)
}

// layoutAround places the missing members on the run of racks that has the
// guarantee's other places: first one on each rack between them that has none,
// then as they fit, on a run that grows on its roomier side while it may.
func (p *Planner) layoutAround(g *guarantee, missing int, count func(*worker) int) (shares []share) {
	racks := p.zone.racks
	low, high := len(racks), -1
	for i, r := range racks {
		r.fits = 0
		for _, w := range r.workers {
			w.fits = count(w)
			r.fits += w.fits
			if g.pins[w].units > 0 {
				low, high = min(low, i), max(high, i)
			}
		}
	}
	if high < 0 {
		return nil
	}
	order := slices.Clone(racks[low : high+1])
	for _, r := range order {
		if slices.ContainsFunc(r.workers, func(w *worker) bool { return g.pins[w].units > 0 }) {
			continue
		}
		if r.fits == 0 || missing == 0 {
			return nil
		}
		bridge := takeFromRack(r, 1)
		bridge[0].worker.fits--
		r.fits--
		missing--
		shares = append(shares, bridge...)
	}
	order = p.extendRun(g, order, low, high, missing)
	for _, r := range order {
		here := min(missing, r.fits)
		shares = append(shares, takeFromRack(r, here)...)
		missing -= here
	}
	if missing > 0 {
		return nil
	}
	return shares
}

// extendRun appends neighbouring racks to the run from low to high until it
// has room for the missing members or may not grow.
func (p *Planner) extendRun(g *guarantee, run []*rack, low, high, missing int) []*rack {
	racks := p.zone.racks
	room := 0
	for _, r := range run {
		room += r.fits
	}
	span := 1
	if g.Adjacency == state.AdjacentRacks {
		span = p.spanOf(g)
	}
	for room < missing && len(run) < span {
		below, above := 0, 0
		if low > 0 && racks[low].Position-racks[low-1].Position <= 1 {
			below = racks[low-1].fits
		}
		if high+1 < len(racks) && racks[high+1].Position-racks[high].Position <= 1 {
			above = racks[high+1].fits
		}
		switch {
		case below == 0 && above == 0:
			return run
		case below > above:
			low--
			run = append(run, racks[low])
		default:
			high++
			run = append(run, racks[high])
		}
		room += max(below, above)
	}
	return run
}

// repack tries to place all idle guarantees anew, hardest first, and keeps the
// result only if it holds more members, or more guarantees whole, than before.
func (p *Planner) repack() {
	before := p.membersKept()
	former := p.takePlaces()
	for _, g := range p.guarantees {
		p.restore(g)
	}
	if p.membersKept() <= before {
		p.putPlaces(former)
	}
}

// shiftGuarantees moves idle guarantees so that the gang has room beside them,
// and reports whether it could without giving up any.
func (p *Planner) shiftGuarantees(e *entry) bool {
	before := p.membersKept()
	former := p.takePlaces()
	shares := findLayout(p.zone.racks, p.gangOf(e), func(w *worker) int {
		if !w.open() {
			return 0
		}
		return e.job.Shape.CountIn(w.unpinned())
	})
	for _, part := range shares {
		part.worker.keepFirm(e.job.Shape.Times(part.members))
	}
	for _, g := range p.guarantees {
		p.restore(g)
	}
	for _, part := range shares {
		part.worker.keepFirm(e.job.Shape.Times(-part.members))
	}
	if shares == nil || p.membersKept() < before {
		p.putPlaces(former)
		return false
	}
	return true
}

// takePlaces gives up all idle places and returns what was there.
func (p *Planner) takePlaces() []map[*worker]pin {
	former := make([]map[*worker]pin, len(p.guarantees))
	for i, g := range p.guarantees {
		former[i] = maps.Clone(g.pins)
		g.unpinIdle()
	}
	return former
}

func (p *Planner) putPlaces(former []map[*worker]pin) {
	for _, g := range p.guarantees {
		g.unpinIdle()
	}
	for i, g := range p.guarantees {
		for w, at := range former[i] {
			g.setPin(w, at)
		}
	}
}

// membersKept counts pinned members, twice for whole guarantees.
func (p *Planner) membersKept() (members int) {
	for _, g := range p.guarantees {
		members += g.pinned
		if p.isWhole(g) {
			members += g.pinned
		}
	}
	return members
}

// breach returns why the guarantee cannot be had whole.
func (p *Planner) breach(g *guarantee) Breach {
	if p.isWhole(g) {
		return Unbroken
	}
	beside := func(w *worker) state.Resources { return w.Capacity.Minus(w.pinned) }
	if g.pinned >= g.Members || p.layoutGuarantee(g, beside) != nil {
		return RunningWork
	}
	if p.sizes.remembersLost() {
		return WorkersLost
	}
	return TooLarge
}

// unpinOverfull gives up idle places on a worker that shrank, leaves or is
// quarantined.
func (p *Planner) unpinOverfull(w *worker) {
	for _, g := range p.guarantees {
		at, found := g.pins[w]
		if found && (!w.open() || !w.pinned.Plus(w.firm).FitsIn(w.Capacity)) {
			g.setPin(w, pin{units: at.used, used: at.used})
		}
	}
}
