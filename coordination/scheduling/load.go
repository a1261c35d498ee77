package scheduling

import (
	"maps"
	"slices"
	"time"
)

// Load is how much the planner has to do for one service.
type Load struct {
	Service string
	// Workers counts the registered workers, Silent those of them whose newest report
	// is too old for placing tasks there, Evacuated those in an evacuated zone.
	Workers, Silent, Evacuated int
	// Waiting counts the groups that wait to be placed, Expired those of them whose jobs
	// count for nothing any more, StartsPending the starts without an answer, Unsaved the
	// records that are not stored yet.
	Waiting, Expired, StartsPending, Unsaved int
	// Saves counts the saves without an answer of the store. LongestSave is the longest
	// time for an answer since the last call of Loads, or since the oldest of these began.
	Saves       int
	LongestSave time.Duration
	// PlanToStored is the longest time from the plan of an attempt until it was stored
	// since the last call of Loads.
	PlanToStored time.Duration
	// InterferencePairs counts the pairs of kinds of work of which one significantly
	// slows down the other.
	InterferencePairs int
	// LongestRound is the longest planning round since the last call of Loads.
	LongestRound time.Duration
	// RenewWait is how long a worker may wait before it answers a renewal.
	RenewWait time.Duration
}

// Loads returns the load of each service.
func (s *Scheduler) Loads() (loads []Load) {
	s.layout.RLock()
	defer s.layout.RUnlock()
	for _, p := range s.allPools() {
		loads = append(loads, p.loads()...)
	}
	return loads
}

// loads returns the load of each service of the pool. What is counted for the pool as a
// whole is in that of the service for which it was created.
func (p *pool) loads() (loads []Load) {
	p = p.lock()
	defer p.mu.Unlock()
	now := p.scheduler.Now()
	for _, service := range slices.Sorted(maps.Keys(p.models)) {
		l := p.load(service, now)
		if service == p.service {
			l.StartsPending, l.Unsaved, l.Saves = p.startsPending, len(p.dirty), len(p.saves.underWay)
			l.LongestRound, l.PlanToStored = p.longestRound, p.saves.longestUnstored
			l.LongestSave = max(p.saves.longestSave, p.saves.longestUnanswered(now))
		}
		loads = append(loads, l)
	}
	p.longestRound, p.saves.longestSave, p.saves.longestUnstored = 0, 0, 0
	return loads
}

// load counts the workers of a service and what waits for them.
func (p *pool) load(service string, now time.Time) Load {
	l := Load{Service: service, RenewWait: p.renewWait(), InterferencePairs: p.models[service].interference.Significant()}
	maxReportAge := p.maxReportAge()
	for _, w := range p.ordered {
		if w.info.Service != service {
			continue
		}
		if w.info.registered {
			l.Workers++
		}
		if w.info.registered && now.Sub(w.reportedAt) > maxReportAge {
			l.Silent++
		}
		if w.info.registered && p.evacuated(w) {
			l.Evacuated++
		}
	}
	for g := range p.work.unstarted {
		if g.phase != waiting || g.job.routing.Service != service {
			continue
		}
		l.Waiting++
		if g.expired(now) {
			l.Expired++
		}
	}
	return l
}

// recordRound notes how long a planning round took.
func (p *pool) recordRound(took time.Duration) {
	p.scheduler.ObserveRound(took)
	p = p.lock()
	defer p.mu.Unlock()
	p.longestRound = max(p.longestRound, took)
}
