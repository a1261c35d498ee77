package scheduling

import (
	"cmp"
	"maps"
	"slices"
)

// A job whose queue moves to another service may have tasks that run on workers of the
// former one while others wait for the new one. The pools of both services are then merged,
// so that one lock guards the job, its records and all of its workers. They stay merged
// until the end of the term.

// lock locks the pool that has this pool's state and returns it: the pool itself, or the
// one that it was merged into.
func (p *pool) lock() *pool {
	for {
		p.mu.Lock()
		next := p.mergedInto
		if next == nil {
			return p
		}
		p.mu.Unlock()
		p = next
	}
}

// isMerged reports whether another pool has this pool's state.
func (p *pool) isMerged() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mergedInto != nil
}

// wakePlan has a planning round run. The caller does not hold the lock.
func (p *pool) wakePlan() {
	p = p.lock()
	defer p.mu.Unlock()
	wake(p.planDue)
}

// wakeSave has a save begin. The caller does not hold the lock.
func (p *pool) wakeSave() {
	p = p.lock()
	defer p.mu.Unlock()
	wake(p.saveDue)
}

// mergePools moves the state of a pool into another one, which serves the services of both
// from then on. The caller holds layout.
func (s *Scheduler) mergePools(into, from *pool) {
	if into == from {
		return
	}
	into.merge(from)
	s.replacePool(from, into)
	s.Count(poolsMerged)
	s.Log.Info().Str("event", "poolsMerged").Str("into", into.service).Str("from", from.service).Send()
}

// replacePool gives the services of a pool to another one.
func (s *Scheduler) replacePool(from, into *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, p := range s.pools {
		if p == from {
			s.pools[service] = into
		}
	}
}

// sharePool reports whether the services are the same or have the same pool. It creates none.
func (s *Scheduler) sharePool(service, other string) bool {
	if service == other {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.pools[service]
	return found && p == s.pools[other]
}

// merge takes over the state of another pool. The answers to calls that were sent by the
// other pool find their way through its mergedInto. No other code holds two pools' locks.
func (p *pool) merge(from *pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from.mu.Lock()
	defer from.mu.Unlock()
	from.mergedInto = p
	maps.Copy(p.jobs, from.jobs)
	p.mergeWorkers(from)
	maps.Copy(p.models, from.models)
	maps.Copy(p.reservations, from.reservations)
	maps.Copy(p.shortLoggedAt, from.shortLoggedAt)
	p.startsPending += from.startsPending
	p.longestRound = max(p.longestRound, from.longestRound)
	p.separated = p.separated || from.separated
	for task, count := range from.unknownRuns {
		p.unknownRuns[task] += count
	}
	for queue, mean := range from.meanWork {
		if _, known := p.meanWork[queue]; !known {
			p.meanWork[queue] = mean
		}
	}
	p.work.merge(&from.work)
	maps.Copy(p.dirty, from.dirty)
	p.saves.merge(&from.saves)
	for _, due := range []chan struct{}{p.planDue, p.saveDue, from.planDue, from.saveDue} {
		wake(due) // the loops of from end
	}
}

// mergeWorkers takes over the workers of another pool, whose jobs the pool has already.
func (p *pool) mergeWorkers(from *pool) {
	replaced := make(map[*worker]*worker)
	for id, w := range from.workers {
		own, both := p.workers[id]
		switch {
		case !both:
			p.workers[id] = w
		case w.renewing:
			w.absorb(own)
			p.workers[id], replaced[own] = w, w
		default:
			own.absorb(w)
			replaced[w] = own
		}
	}
	p.ordered = slices.SortedFunc(maps.Values(p.workers), func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	p.registered += from.registered
	p.listedAt = latest(p.listedAt, from.listedAt)
	maps.Copy(p.leaving, from.leaving)
	for other := range replaced {
		delete(p.leaving, other)
	}
	if len(replaced) == 0 {
		return
	}
	for _, j := range p.jobs {
		j.replaceHosts(replaced)
	}
}

// replaceHosts replaces the workers that may still be ordered to start earlier attempts.
func (j *job) replaceHosts(replaced map[*worker]*worker) {
	for _, g := range j.groups {
		for i, w := range g.earlier.hosts {
			if own, found := replaced[w]; found {
				g.earlier.hosts[i] = own
			}
		}
	}
}

// absorb adds what is known of the same worker in another pool, which does not renew its
// lease: attempts that may run there by the stored progress.
func (w *worker) absorb(other *worker) {
	for key, m := range other.members {
		m.worker = w
		w.members[key] = m
	}
	w.used, w.longRunning = w.used.Plus(other.used), w.longRunning.Plus(other.longRunning)
	w.unknownTasks = append(w.unknownTasks, other.unknownTasks...)
	w.leaseExpiry = latest(w.leaseExpiry, other.leaseExpiry)
	w.startLeaseExpiry = latest(w.startLeaseExpiry, other.startLeaseExpiry)
}

// merge adds what another list holds.
func (l *worklist) merge(from *worklist) {
	maps.Copy(l.unstarted, from.unstarted)
	maps.Copy(l.started, from.started)
	maps.Copy(l.stops, from.stops)
	maps.Copy(l.timed, from.timed)
	maps.Copy(l.urgent, from.urgent)
}

// merge adds the saves that another pool has begun.
func (s *saveState) merge(from *saveState) {
	maps.Copy(s.underWay, from.underWay)
	s.queued = max(s.queued, from.queued)
	s.longestSave = max(s.longestSave, from.longestSave)
	s.longestUnstored = max(s.longestUnstored, from.longestUnstored)
}
