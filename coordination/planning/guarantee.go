package planning

import (
	"cmp"
	"maps"
	"slices"

	"comfreystream/state"
)

// guarantee is capacity promised to an organisation and the pins that reserve it. A unit is
// one member of the guarantee; a job with smaller members fits several into a unit. On each
// worker, the pins of all guarantees and the non-preemptible jobs together fit into the
// capacity, so that every guarantee can be met by stopping only borrowed jobs.
type guarantee struct {
	state.Guarantee
	organisation string
	pins         map[*worker]pin
	pinnedUnits  int
	usedUnits    int
	broken       Breach
}

// pin is the number of units that a guarantee reserves on a worker, and how many of them
// the organisation's jobs use.
type pin struct {
	units int
	used  int
}

// Breach is why a guarantee cannot be met in full.
type Breach string

// The reasons for a guarantee that cannot be met in full; NoBreach means that it can.
const (
	NoBreach Breach = ""
	// ZoneEvacuated means that nothing new may start in the zone.
	ZoneEvacuated Breach = "zoneEvacuated"
	// WorkersLost means that it fitted before workers or racks were lost.
	WorkersLost Breach = "workersLost"
	// RunningWork means that non-preemptible jobs still occupy the room that it needs.
	RunningWork Breach = "runningWork"
	// TooLarge means that it never fitted together with the other guarantees.
	TooLarge Breach = "tooLarge"
)

// setPin replaces the pin on the worker and updates the totals.
func (g *guarantee) setPin(w *worker, next pin) {
	previous := g.pins[w]
	if next.units == 0 && next.used == 0 {
		delete(g.pins, w)
	} else {
		g.pins[w] = next
	}
	g.pinnedUnits += next.units - previous.units
	g.usedUnits += next.used - previous.used
	if next.units == previous.units {
		return
	}
	change := g.Shape.Times(next.units - previous.units)
	w.rack.update(func() {
		w.pinned = w.pinned.Plus(change)
		w.rack.immovableAccelerators += change.Accelerators
	})
}

func (g *guarantee) unpin(w *worker) {
	if _, found := g.pins[w]; found {
		g.setPin(w, pin{})
	}
}

// unpinIdle releases every unit that no job uses.
func (g *guarantee) unpinIdle() {
	for _, w := range slices.Collect(maps.Keys(g.pins)) {
		used := g.pins[w].used
		g.setPin(w, pin{units: used, used: used})
	}
}

// trimExcess releases idle units beyond the guaranteed number.
func (g *guarantee) trimExcess() {
	for _, w := range g.pinnedWorkers() {
		excess := g.pinnedUnits - g.Members
		if excess <= 0 {
			return
		}
		current := g.pins[w]
		current.units -= min(excess, current.units-current.used)
		g.setPin(w, current)
	}
}

// pinnedWorkers returns the workers with pins, ordered by address.
func (g *guarantee) pinnedWorkers() []*worker {
	return slices.SortedFunc(maps.Keys(g.pins), func(a, b *worker) int { return a.Address.Compare(b.Address) })
}

// idleUnits returns how many units are pinned on the worker but not used.
func (g *guarantee) idleUnits(w *worker) int {
	current := g.pins[w]
	return current.units - current.used
}

// applyGuarantees replaces the guarantees by the manifest's; one with an unchanged shape
// and adjacency keeps its pins.
func (p *Planner) applyGuarantees(manifest *state.Manifest) {
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
			g.trimExcess()
			p.guarantees = append(p.guarantees, g)
		}
	}
	slices.SortStableFunc(p.guarantees, compareDifficulty)
	for _, g := range former {
		p.removeGuarantee(g)
	}
}

// compareDifficulty orders guarantees from the hardest to place: tightest adjacency first,
// then largest.
func compareDifficulty(a, b *guarantee) int {
	return cmp.Or(
		cmp.Compare(b.Adjacency, a.Adjacency),
		cmp.Compare(b.Total().Accelerators, a.Total().Accelerators),
		cmp.Compare(b.Total().Cores, a.Total().Cores),
	)
}

// repairGuarantees completes the pins of all guarantees after a change that may affect
// them, and records which guarantees cannot be met.
func (p *Planner) repairGuarantees() {
	if !p.guaranteesStale {
		return
	}
	p.guaranteesStale = false
	for _, g := range p.guarantees {
		p.repinGuarantee(g)
	}
	if slices.ContainsFunc(p.guarantees, func(g *guarantee) bool { return !p.isSatisfied(g) }) {
		p.repackGuarantees()
	}
	for _, g := range p.guarantees {
		g.broken = p.findBreach(g)
	}
}

// repinGuarantee tries to pin all of the guarantee without moving other guarantees: first
// beside its present pins, then with the idle ones released. If neither works, it keeps the
// present pins.
func (p *Planner) repinGuarantee(g *guarantee) {
	if p.isSatisfied(g) {
		return
	}
	formerPins := maps.Clone(g.pins)
	if p.pinMissing(g) {
		return
	}
	g.unpinIdle()
	if p.pinMissing(g) {
		return
	}
	g.unpinIdle()
	for w, former := range formerPins {
		g.setPin(w, former)
	}
}

// pinMissing pins the missing units and reports whether the guarantee is then satisfied.
func (p *Planner) pinMissing(g *guarantee) bool {
	if g.pinnedUnits < g.Members {
		for _, a := range p.findGuaranteeLayout(g, (*worker).unreserved) {
			current := g.pins[a.worker]
			current.units += a.members
			g.setPin(a.worker, current)
		}
	}
	return p.isSatisfied(g)
}

// isSatisfied reports whether all units are pinned under the adjacency rule. If jobs use
// all of them, their adjacency is not checked.
func (p *Planner) isSatisfied(g *guarantee) bool {
	if g.pinnedUnits < g.Members {
		return false
	}
	return g.pinnedUnits == g.usedUnits || satisfiesAdjacency(g.pinnedWorkers(), g.Adjacency, p.maxRacksOf(g))
}

// maxRacksOf returns how many racks the guarantee may spread over if its adjacency is
// AdjacentRacks.
func (p *Planner) maxRacksOf(g *guarantee) int {
	return p.feasibility.maxRacks(g.Shape, max(g.Members, g.pinnedUnits), g.Adjacency)
}

// findBreach returns why the guarantee cannot be met in full, or NoBreach.
func (p *Planner) findBreach(g *guarantee) Breach {
	if p.isSatisfied(g) {
		return NoBreach
	}
	if p.Evacuated() {
		return ZoneEvacuated
	}
	ignoringJobs := func(w *worker) state.Resources { return w.Capacity.Minus(w.pinned) }
	if g.pinnedUnits >= g.Members || p.findGuaranteeLayout(g, ignoringJobs) != nil {
		return RunningWork
	}
	if p.feasibility.hasLostWorkers() {
		return WorkersLost
	}
	return TooLarge
}

// releaseUnavailablePins releases the idle pins on a worker that takes no new jobs, or
// whose capacity no longer covers its pins and non-preemptible jobs.
func (p *Planner) releaseUnavailablePins(w *worker) {
	for _, g := range p.guarantees {
		current, found := g.pins[w]
		if found && (!w.acceptsWork() || !w.pinned.Plus(w.nonPreemptible).FitsIn(w.Capacity)) {
			g.setPin(w, pin{units: current.used, used: current.used})
		}
	}
}
