package scheduling

import (
	"maps"
	"math"
	"slices"
	"time"

	"comfreystream/coordination/keyvalue"
)

// guaranteeShortInterval is the time between two log lines on the same organisation's
// guarantee.
const guaranteeShortInterval = 5 * time.Second

// evacuations is one reading of the zones that are evacuated; nil is none so far.
type evacuations struct {
	zones map[string]bool
	// asOf is the store's revision of the reading, setAt when the scheduler got it.
	asOf  keyvalue.Revision
	setAt time.Time
}

// includes reports whether the zone is evacuated.
func (e *evacuations) includes(zone string) bool { return e != nil && e.zones[zone] }

// SetEvacuated replaces the set of evacuated availability zones by a reading of the store
// as of the revision; one that is older than the newest is ignored. Nothing is placed or
// started before the first call, nor once the newest is older than Bounds.EvacuationAge.
func (s *Scheduler) SetEvacuated(zones map[string]bool, asOf keyvalue.Revision) {
	next := &evacuations{zones: maps.Clone(zones), asOf: asOf, setAt: s.Now()}
	maps.DeleteFunc(next.zones, func(_ string, evacuated bool) bool { return !evacuated })
	s.mu.Lock()
	last := s.evacuated.Load()
	if last != nil && asOf < last.asOf {
		s.mu.Unlock()
		s.Count(evacuationsOutdated)
		s.Log.Warn().Str("event", "evacuationsOutdated").Int64("revision", int64(asOf)).Int64("known", int64(last.asOf)).Send()
		return
	}
	s.evacuated.Store(next)
	s.mu.Unlock()
	s.logEvacuations(last, next)
	if last == nil || !maps.Equal(last.zones, next.zones) {
		for _, p := range s.allPools() {
			p.wakePlan()
		}
	}
}

// logEvacuations logs which zones are evacuated or restored by a new reading.
func (s *Scheduler) logEvacuations(last, next *evacuations) {
	for _, zone := range slices.Sorted(maps.Keys(next.zones)) {
		if !last.includes(zone) {
			s.Count(zoneEvacuated)
			s.Log.Warn().Str("event", "zoneEvacuated").Str("zone", zone).Int64("revision", int64(next.asOf)).Send()
		}
	}
	if last == nil {
		return
	}
	for _, zone := range slices.Sorted(maps.Keys(last.zones)) {
		if !next.includes(zone) {
			s.Count(zoneRestored)
			s.Log.Info().Str("event", "zoneRestored").Str("zone", zone).Int64("revision", int64(next.asOf)).Send()
		}
	}
}

// orderValidity returns how long a start order that is sent now may be carried out:
// startValidity, or less so that no zone is still used EvacuationAge after the newest
// reading of the evacuations. It is 0 if no order may be sent.
func (s *Scheduler) orderValidity(now time.Time) time.Duration {
	e := s.evacuated.Load()
	if e == nil {
		return 0
	}
	if s.Bounds.EvacuationAge == 0 {
		return startValidity
	}
	validity := min(startValidity, e.setAt.Add(s.Bounds.EvacuationAge).Sub(now))
	if validity < firstStartTimeout {
		return 0
	}
	return validity
}

// evacuated reports whether the worker's zone is evacuated.
func (p *pool) evacuated(w *worker) bool {
	return p.scheduler.evacuated.Load().includes(w.info.AvailabilityZone)
}

// schedulable reports whether the worker's capacity counts: it is registered, stays, and
// is not in an evacuated zone.
func (p *pool) schedulable(w *worker) bool {
	return w.info.registered && !w.info.Draining && !p.evacuated(w)
}

// onEvacuated reports whether a member of the group is placed in an evacuated zone.
func (p *pool) onEvacuated(g *group) bool {
	return slices.ContainsFunc(g.members, func(m *member) bool { return p.evacuated(m.worker) })
}

// stopEvacuated releases the attempt of a group whose start was not sent, if a member is
// placed in an evacuated zone, so that it is placed again.
func (p *pool) stopEvacuated(g *group) bool {
	if g.startsSent || g.phase != saving && g.phase != placed || !p.onEvacuated(g) {
		return false
	}
	p.stopGroup(g, reasonEvacuated)
	return true
}

// guaranteeLimit returns how many accelerators of a service guarantees can be met with: all
// without an evacuation; else those that are left, and what urgent jobs still hold in
// evacuated zones.
func (p *pool) guaranteeLimit(service string) (accelerators int) {
	if e := p.scheduler.evacuated.Load(); e == nil || len(e.zones) == 0 {
		return math.MaxInt
	}
	for _, w := range p.workers {
		switch {
		case w.info.Service != service:
		case p.schedulable(w):
			accelerators += w.info.Capacity.Accelerators
		case p.evacuated(w):
			accelerators += w.urgentAccelerators()
		}
	}
	return accelerators
}

// urgentAccelerators returns the accelerators that urgent jobs use on the worker.
func (w *worker) urgentAccelerators() (count int) {
	for _, m := range w.members {
		if m.group.job.Priority == 0 {
			count += m.group.step.Accelerators
		}
	}
	return count
}

// shortGuarantee names an organisation's guarantee on the workers of a service.
type shortGuarantee struct{ service, organisation string }

// noteShortGuarantees logs and counts the organisations whose guarantee exceeds what is
// left of a service beside the jobs within the guarantees of the others. used holds what
// jobs within their guarantee need, by organisation.
func (p *pool) noteShortGuarantees(service string, used map[string]int, total, limit int, now time.Time) {
	if limit == math.MaxInt {
		return
	}
	for _, organisation := range slices.Sorted(maps.Keys(used)) {
		wanted, left := p.scheduler.Guarantee(organisation), max(limit-(total-used[organisation]), 0)
		key := shortGuarantee{service, organisation}
		if last, logged := p.shortLoggedAt[key]; wanted <= left || logged && now.Sub(last) < guaranteeShortInterval {
			continue
		}
		p.shortLoggedAt[key] = now
		p.scheduler.Count(guaranteeShort)
		p.scheduler.Log.Warn().Str("event", "guaranteeShort").Str("service", service).Str("organisation", organisation).
			Int("wanted", wanted).Int("left", left).Send()
	}
}
