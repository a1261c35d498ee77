package planning

import (
	"cmp"
	"maps"
	"slices"

	"comfreystream/state"
)

// removeGuarantee releases the guarantee's pins; jobs that run on it carry on outside of
// it.
func (p *Planner) removeGuarantee(g *guarantee) {
	for _, w := range g.pinnedWorkers() {
		for e := range maps.Clone(w.membersByJob) {
			if e.guarantee == g {
				p.detachFromGuarantee(e)
			}
		}
		g.unpin(w)
	}
}

// detachFromGuarantee makes the job run outside of its guarantee, as borrowed or
// non-preemptible.
func (p *Planner) detachFromGuarantee(e *jobEntry) {
	p.addUsage(e, -1)
	e.guarantee.trimExcess()
	p.guaranteesStale = true
	e.guarantee = nil
	e.entitlement = e.defaultEntitlement()
	for i := range e.holds {
		e.holds[i].units = 0
	}
	p.addUsage(e, 1)
}

// freeGuaranteeFor detaches the organisation's own preemptible jobs from one of its
// guarantees until the urgent job fits on the idle units; the detached jobs can then be
// reclaimed. It changes nothing if that would not free enough units.
func (p *Planner) freeGuaranteeFor(urgent *jobEntry) bool {
	for _, g := range p.guarantees {
		membersPerUnit := urgent.job.Shape.CountIn(g.Shape)
		if g.organisation != urgent.job.Organisation || membersPerUnit == 0 {
			continue
		}
		ownJobs := g.nonUrgentJobs(true)
		idleUnits := g.pinnedUnits - g.usedUnits
		for _, e := range ownJobs {
			for _, h := range e.holds {
				idleUnits += h.units
			}
		}
		if idleUnits < unitsFor(urgent.job.Members, membersPerUnit) {
			continue
		}
		for _, e := range ownJobs {
			if (g.pinnedUnits-g.usedUnits)*membersPerUnit < urgent.job.Members {
				p.detachFromGuarantee(e)
			}
		}
		return len(ownJobs) > 0
	}
	return false
}

// relocateGuaranteeFor pins a guarantee of the urgent job's organisation on other workers
// if non-preemptible jobs of the organisation run on it; these jobs carry on outside of it.
// If there is no room for the guarantee elsewhere, it changes nothing.
func (p *Planner) relocateGuaranteeFor(urgent *jobEntry) bool {
	for _, g := range p.guarantees {
		if g.organisation != urgent.job.Organisation || urgent.job.Shape.CountIn(g.Shape) == 0 {
			continue
		}
		ownJobs := g.nonUrgentJobs(false)
		if len(ownJobs) == 0 {
			continue
		}
		formerPins := maps.Clone(g.pins)
		formerHolds := make([][]hold, len(ownJobs))
		for i, e := range ownJobs {
			formerHolds[i] = slices.Clone(e.holds)
			p.detachWithPins(e)
		}
		p.repinGuarantee(g)
		if p.isSatisfied(g) {
			return true
		}
		for i, e := range ownJobs {
			p.reattach(e, g, formerHolds[i])
		}
		for w := range formerPins {
			g.setPin(w, formerPins[w])
		}
	}
	return false
}

// detachWithPins detaches the job from its guarantee and releases the pins that it used.
func (p *Planner) detachWithPins(e *jobEntry) {
	g, holds := e.guarantee, slices.Clone(e.holds)
	p.detachFromGuarantee(e)
	for _, h := range holds {
		current := g.pins[h.worker]
		current.units = max(current.units-h.units, current.used)
		g.setPin(h.worker, current)
	}
}

// reattach undoes detachWithPins.
func (p *Planner) reattach(e *jobEntry, g *guarantee, holds []hold) {
	p.addUsage(e, -1)
	e.guarantee, e.entitlement, e.holds = g, guaranteed, holds
	p.addUsage(e, 1)
}

// nonUrgentJobs returns the jobs on the guarantee that are not urgent, either those that
// can be preempted or those that cannot.
func (g *guarantee) nonUrgentJobs(preemptible bool) (found []*jobEntry) {
	for w := range g.pins {
		for e := range w.membersByJob {
			matches := e.guarantee == g && !e.awaitsReclaim && e.job.Urgency != state.Urgent
			if matches && e.job.MayBorrow() == preemptible && !slices.Contains(found, e) {
				found = append(found, e)
			}
		}
	}
	slices.SortFunc(found, func(a, b *jobEntry) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return found
}
