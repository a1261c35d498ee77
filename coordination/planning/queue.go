package planning

import (
	"sync"
	"time"

	"comfreystream/state"
)

// queueSet holds the queue of each organisation.
type queueSet struct {
	mu             sync.RWMutex
	byOrganisation map[string]*queue
	// manifestApplied is set once any manifest has been applied.
	manifestApplied bool
}

// queue holds the queued jobs of one organisation under its own lock, in a linked list for
// each urgency, oldest first.
type queue struct {
	mu           sync.Mutex
	organisation state.Organisation
	// closed is set while no manifest in force names the organisation.
	closed   bool
	first    [urgencyCount]*jobEntry
	last     [urgencyCount]*jobEntry
	jobCount int

	// used is all that the organisation's jobs hold or claim, usedAboveGuarantees the part
	// outside of its guarantees. A write needs the planner's placementMu and mu; either
	// suffices to read.
	used                state.Resources
	usedAboveGuarantees state.Resources
}

const urgencyCount = int(state.Urgent) + 1

// get returns the organisation's queue, nil if there is none, and whether any manifest has
// been applied.
func (s *queueSet) get(organisation string) (q *queue, known bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byOrganisation[organisation], s.manifestApplied
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

// getOrCreate returns the organisation's queue; a restored job may belong to an
// organisation without one, which then gets a closed queue.
func (s *queueSet) getOrCreate(organisation string) *queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.byOrganisation[organisation]
	if q == nil {
		q = &queue{organisation: state.Organisation{Name: organisation}, closed: true}
		s.byOrganisation[organisation] = q
	}
	return q
}

// apply updates the organisations; one that the manifest no longer names keeps its queue,
// closed to new jobs.
func (s *queueSet) apply(manifest *state.Manifest) {
	named := make(map[string]bool, len(manifest.Organisations))
	for _, organisation := range manifest.Organisations {
		named[organisation.Name] = true
		q := s.getOrCreate(organisation.Name)
		q.mu.Lock()
		q.organisation = organisation
		q.closed = false
		q.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifestApplied = true
	for name, q := range s.byOrganisation {
		if named[name] {
			continue
		}
		q.mu.Lock()
		q.closed = true
		q.mu.Unlock()
	}
}

// insert queues the job behind the older jobs of its urgency; the caller holds mu.
func (q *queue) insert(e *jobEntry) {
	urgency := e.job.Urgency
	e.phase = queued
	e.waitReason = WaitingForRound
	q.jobCount++
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

// remove unlinks a queued job; the caller holds mu.
func (q *queue) remove(e *jobEntry) {
	urgency := e.job.Urgency
	q.jobCount--
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

// takeForStart removes the job to start its next attempt; it reports false if the job is no
// longer queued.
func (q *queue) takeForStart(e *jobEntry) bool {
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

// markRestored records that the job runs in an attempt that was found on workers.
func (q *queue) markRestored(e *jobEntry, attempt state.Attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.attempt = attempt
	e.phase = running
}

func (q *queue) markStopping(e *jobEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.phase = stopping
}

func (q *queue) setWaitReason(e *jobEntry, reason WaitReason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.waitReason = reason
}

func (q *queue) phaseOf(e *jobEntry) jobPhase {
	q.mu.Lock()
	defer q.mu.Unlock()
	return e.phase
}

// addUsage adds to the organisation's usage; the amount may be negative.
func (q *queue) addUsage(amount state.Resources, aboveGuarantee bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used = q.used.Plus(amount)
	if aboveGuarantee {
		q.usedAboveGuarantees = q.usedAboveGuarantees.Plus(amount)
	}
}

// withinQuota reports whether the usage is within the quota; a zero amount in the quota is
// no limit.
func withinQuota(used, quota state.Resources) bool {
	return (quota.Slots == 0 || used.Slots <= quota.Slots) &&
		(quota.Accelerators == 0 || used.Accelerators <= quota.Accelerators) &&
		(quota.Cores == 0 || used.Cores <= quota.Cores) &&
		(quota.MemoryBytes == 0 || used.MemoryBytes <= quota.MemoryBytes)
}

// refusalReason returns why the organisation may never run the job, or ""; the caller holds
// mu.
func (q *queue) refusalReason(job *state.Job) state.Reason {
	if q.closed {
		return state.UnknownOrganisation
	}
	if !withinQuota(job.Total(), q.organisation.Quota) {
		return state.OverQuota
	}
	return ""
}

// removeImpossible removes the queued jobs that can never run any more.
func (q *queue) removeImpossible(neverFits func(*state.Job) bool) (removed []*jobEntry, refusals []Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for urgency := range q.first {
		for e := q.first[urgency]; e != nil; {
			next := e.next
			reason := q.refusalReason(&e.job)
			if reason == "" && neverFits(&e.job) {
				reason = state.NeverFits
			}
			if reason != "" {
				q.remove(e)
				e.phase = ended
				removed = append(removed, e)
				refusals = append(refusals, Refusal{e.job.ID, reason})
			}
			e = next
		}
	}
	return removed, refusals
}

// candidates returns the oldest jobs that may start now, at most limit for each urgency,
// removes those whose deadline has passed, and returns the next time at which a backoff or
// a deadline ends.
func (q *queue) candidates(now time.Time, limit int) (ready, expired []*jobEntry, next time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for urgency := range q.first {
		taken := 0
		for e := q.first[urgency]; e != nil; {
			following := e.next
			switch {
			case !e.job.Deadline.IsZero() && !now.Before(e.job.Deadline):
				q.remove(e)
				e.phase = ended
				expired = append(expired, e)
			case now.Before(e.notBefore):
				e.waitReason = WaitingForBackoff
				next = earlier(next, e.notBefore)
			case taken < limit:
				taken++
				ready = append(ready, e)
			}
			next = earlier(next, e.job.Deadline)
			e = following
		}
	}
	return ready, expired, next
}

// earlier returns the earlier of two times; the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
