package planning

import (
	"sync"
	"time"

	"comfreystream/state"
)

// queueSet holds a queue for each organisation of the manifest.
type queueSet struct {
	mu             sync.RWMutex
	byOrganisation map[string]*queue
	known          bool
}

// queue holds one organisation's jobs under its own lock, a list for each
// urgency, oldest first.
type queue struct {
	mu           sync.Mutex
	organisation state.Organisation
	removed      bool
	first        [urgencies]*entry
	last         [urgencies]*entry
	count        int

	// used and above are guarded by the planner's rounds lock and mu for
	// writing: all that the organisation holds, and what is not covered.
	used  state.Resources
	above state.Resources
}

const urgencies = int(state.Urgent) + 1

func (s *queueSet) get(organisation string) (q *queue, known bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byOrganisation[organisation], s.known
}

func (s *queueSet) all() []*queue {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*queue, 0, len(s.byOrganisation))
	for _, q := range s.byOrganisation {
		all = append(all, q)
	}
	return all
}

// obtain returns the organisation's queue and makes one if a restored job
// belongs to an organisation that no manifest names.
func (s *queueSet) obtain(organisation string) *queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.byOrganisation[organisation]
	if q == nil {
		q = &queue{organisation: state.Organisation{Name: organisation}, removed: true}
		s.byOrganisation[organisation] = q
	}
	return q
}

// apply takes over the organisations; one that left keeps its queue, closed to
// new jobs.
func (s *queueSet) apply(manifest *state.Manifest) {
	named := make(map[string]bool, len(manifest.Organisations))
	for _, organisation := range manifest.Organisations {
		named[organisation.Name] = true
		q := s.obtain(organisation.Name)
		q.mu.Lock()
		q.organisation = organisation
		q.removed = false
		q.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = true
	for name, q := range s.byOrganisation {
		if named[name] {
			continue
		}
		q.mu.Lock()
		q.removed = true
		q.mu.Unlock()
	}
}

// insert queues the entry behind older jobs of its urgency.
func (q *queue) insert(e *entry) {
	urgency := e.job.Urgency
	e.phase = queued
	e.waiting = WaitingForRound
	q.count++
	after := q.last[urgency]
	for after != nil && after.job.Submitted.After(e.job.Submitted) {
		after = after.previous
	}
	e.previous = after
	if after == nil {
		e.next = q.first[urgency]
		q.first[urgency] = e
	} else {
		e.next = after.next
		after.next = e
	}
	if e.next == nil {
		q.last[urgency] = e
	} else {
		e.next.previous = e
	}
}

func (q *queue) remove(e *entry) {
	urgency := e.job.Urgency
	q.count--
	if e.previous == nil {
		q.first[urgency] = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		q.last[urgency] = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.previous, e.next = nil, nil
}

// take removes the entry for a start and reports false if it was cancelled.
func (q *queue) take(e *entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.phase != queued {
		return false
	}
	q.remove(e)
	e.phase = starting
	e.attempt++
	return true
}

// resume marks the entry as running in an attempt that was found on workers.
func (q *queue) resume(e *entry, attempt state.Attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.attempt = attempt
	e.phase = running
}

func (q *queue) stop(e *entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.phase = stopping
}

func (q *queue) wait(e *entry, reason Waiting) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.waiting = reason
}

func (q *queue) phaseOf(e *entry) phase {
	q.mu.Lock()
	defer q.mu.Unlock()
	return e.phase
}

// use adds to what the organisation holds.
func (q *queue) use(amount state.Resources, above bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used = q.used.Plus(amount)
	if above {
		q.above = q.above.Plus(amount)
	}
}

// withinQuota reports whether the amount fits beside what is used; a zero
// amount of the quota is no limit.
func withinQuota(used, quota state.Resources) bool {
	return (quota.Slots == 0 || used.Slots <= quota.Slots) &&
		(quota.Accelerators == 0 || used.Accelerators <= quota.Accelerators) &&
		(quota.Cores == 0 || used.Cores <= quota.Cores) &&
		(quota.MemoryBytes == 0 || used.MemoryBytes <= quota.MemoryBytes)
}

// refuse returns why the organisation may never run the job; mu is held.
func (q *queue) refuse(job *state.Job) state.Reason {
	if q.removed {
		return state.UnknownOrganisation
	}
	if !withinQuota(job.Total(), q.organisation.Quota) {
		return state.OverQuota
	}
	return ""
}

// removeImpossible takes out the queued jobs that can never run any more.
func (q *queue) removeImpossible(neverFits func(*state.Job) bool) (removed []*entry, refusals []Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for urgency := range q.first {
		for e := q.first[urgency]; e != nil; {
			following := e.next
			reason := q.refuse(&e.job)
			if reason == "" && neverFits(&e.job) {
				reason = state.NeverFits
			}
			if reason != "" {
				q.remove(e)
				e.phase = gone
				removed = append(removed, e)
				refusals = append(refusals, Refusal{e.job.ID, reason})
			}
			e = following
		}
	}
	return removed, refusals
}

// candidates returns the oldest jobs that may start now, at most limit of each
// urgency, takes out those whose deadline passed, and returns the next moment
// at which either changes.
func (q *queue) candidates(now time.Time, limit int) (ready, expired []*entry, next time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for urgency := range q.first {
		seen := 0
		for e := q.first[urgency]; e != nil; {
			following := e.next
			switch {
			case !e.job.Deadline.IsZero() && !now.Before(e.job.Deadline):
				q.remove(e)
				e.phase = gone
				expired = append(expired, e)
			case now.Before(e.notBefore):
				e.waiting = WaitingForBackoff
				next = earlier(next, e.notBefore)
			case seen < limit:
				seen++
				ready = append(ready, e)
			}
			next = earlier(next, e.job.Deadline)
			e = following
		}
	}
	return ready, expired, next
}

// earlier returns the earlier of two times, of which a zero one means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
