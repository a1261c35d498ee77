package scheduling

import "time"

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
	for _, p := range s.allPools() {
		loads = append(loads, p.load())
	}
	return loads
}

func (p *pool) load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, maxReportAge := p.scheduler.Now(), p.maxReportAge()
	l := Load{
		Service: p.service, Workers: p.registered, StartsPending: p.startsPending, Unsaved: len(p.dirty),
		LongestRound: p.longestRound, RenewWait: p.renewWait(), Saves: len(p.saves.underWay),
		LongestSave: max(p.saves.longestSave, p.saves.longestUnanswered(now)), PlanToStored: p.saves.longestUnstored,
		InterferencePairs: p.interference.Significant(),
	}
	p.longestRound, p.saves.longestSave, p.saves.longestUnstored = 0, 0, 0
	for _, w := range p.ordered {
		if w.info.registered && now.Sub(w.reportedAt) > maxReportAge {
			l.Silent++
		}
		if w.info.registered && p.evacuated(w) {
			l.Evacuated++
		}
	}
	for g := range p.work.unstarted {
		if g.phase != waiting {
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestRound = max(p.longestRound, took)
}
