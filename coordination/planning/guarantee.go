package planning

import (
	"cmp"
	"maps"
	"slices"

	"comfreystream/state"
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
