package planning

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state"
)

const (
	// maxCandidatesPerUrgency bounds the jobs of one organisation and urgency that a round
	// considers.
	maxCandidatesPerUrgency = 2048
	// maxPlacementsPerRound bounds the jobs that a round tries to place.
	maxPlacementsPerRound = 4096
	// minEstimate is the lower bound of estimated run times.
	minEstimate = time.Second
	// pendingTimeout is how long a job waits for reclaimed jobs to stop before it is placed
	// anew.
	pendingTimeout = 5 * time.Second
)

// Round is the result of one planning round.
type Round struct {
	Starts   []Start
	Reclaims []Reclaim
	Refusals []Refusal
	// Next is when to plan again if nothing happens before; zero means never.
	Next time.Time
}

// Start tells the caller to hold and start every member of the attempt; its resources stay
// in use until Ended or Requeue.
type Start struct {
	Job        *state.Job
	Attempt    state.Attempt
	Placements []state.Placement
	// Borrowed is set if the job may be reclaimed. A job on a guarantee that is
	// checkpointable or idempotent becomes borrowed later if the guarantee is removed or an
	// urgent job of the organisation needs it.
	Borrowed bool
}

// Reclaim tells the caller to stop the attempt by the deadline, with a checkpoint first if
// Checkpoint is set, and then to call Requeue. The attempt may still be starting.
type Reclaim struct {
	Job        state.JobID
	Attempt    state.Attempt
	Reason     state.Reason
	For        state.JobID
	Checkpoint bool
	Deadline   time.Time
}

// Refusal tells the caller that a queued job will not run.
type Refusal struct {
	Job    state.JobID
	Reason state.Reason
}

// round is the working state of one planning round.
type round struct {
	Round
	now time.Time
	// fewestFailed holds, for each kind of request that found no room, the fewest members
	// that failed; free room only shrinks within a round.
	fewestFailed map[requestKey]int
	// blockedGangs are the gangs that found no room.
	blockedGangs []*jobEntry
	// nonPreemptibleAllowed is false while running non-preemptible jobs keep a guarantee
	// from being met; more of them would delay it further.
	nonPreemptibleAllowed bool
}

// requestKey identifies requests that find the same room.
type requestKey struct {
	shape       state.Resources
	adjacency   state.Adjacency
	entitlement entitlement
	// usableReservations counts the reservations whose workers the request may use.
	usableReservations int
}

// Plan runs one planning round.
func (p *Planner) Plan() Round {
	p.placementMu.Lock()
	defer p.placementMu.Unlock()
	if p.manifest == nil {
		return Round{}
	}
	p.refreshUnusable()
	p.repairGuarantees()
	r := &round{now: p.Now(), fewestFailed: make(map[requestKey]int), nonPreemptibleAllowed: true}
	for _, g := range p.guarantees {
		if g.broken == RunningWork {
			r.nonPreemptibleAllowed = false
		}
	}
	p.refuseImpossible(r)
	p.startPending(r)
	p.dropStaleReservations()
	p.placeAll(r, p.collectCandidates(r))
	p.updateReservations(r)
	p.repairGuarantees()
	return r.Round
}

// refreshUnusable asks Usable about every worker for this round; none is usable while the
// zone is evacuated.
func (p *Planner) refreshUnusable() {
	for _, w := range p.zone.workers {
		unusable := p.Evacuated() || !p.Usable(w.Address)
		if unusable == w.unusable {
			continue
		}
		w.unusable = unusable
		p.releaseUnavailablePins(w)
		p.guaranteesStale = true
	}
}

// refuseImpossible refuses the queued jobs that can never run after a change of the
// manifest or the workers.
func (p *Planner) refuseImpossible(r *round) {
	if !p.feasibilityStale {
		return
	}
	p.feasibilityStale = false
	neverFits := func(job *state.Job) bool { return p.feasibility.neverFits(job, p.availabilityZone) }
	for _, q := range p.queues.all() {
		removed, refusals := q.removeImpossible(neverFits)
		for _, e := range removed {
			p.removeEntry(e)
		}
		r.Refusals = append(r.Refusals, refusals...)
	}
}

func (p *Planner) removeEntry(e *jobEntry) {
	if e.awaitsReclaim {
		p.dropPending(e)
	}
	p.jobs.Delete(e.job.ID)
}

// organisationCandidates holds the jobs of one organisation that a round considers, best
// first.
type organisationCandidates struct {
	queue   *queue
	entries []*jobEntry
	share   float64
}

// collectCandidates returns the jobs that may start now, by organisation, and refuses those
// whose deadline has passed.
func (p *Planner) collectCandidates(r *round) (candidates []*organisationCandidates) {
	for _, q := range p.queues.all() {
		ready, expired, next := q.candidates(r.now, maxCandidatesPerUrgency)
		r.Next = earlier(r.Next, next)
		for _, e := range expired {
			p.removeEntry(e)
			r.Refusals = append(r.Refusals, Refusal{e.job.ID, state.DeadlinePassed})
		}
		ready = slices.DeleteFunc(ready, func(e *jobEntry) bool { return e.awaitsReclaim })
		if len(ready) == 0 {
			continue
		}
		for _, e := range ready {
			r.Next = earlier(r.Next, e.expireAvoidedWorkers(r.now))
		}
		p.sortByScore(ready, r.now)
		candidates = append(candidates, &organisationCandidates{queue: q, entries: ready, share: p.shareOf(q)})
	}
	return candidates
}

// shareOf returns the organisation's dominant share of the zone above its guarantees,
// divided by its weight.
func (p *Planner) shareOf(q *queue) float64 {
	weight := q.organisation.Share
	if weight <= 0 {
		weight = 1
	}
	return q.usedAboveGuarantees.DominantShare(p.zone.total) / weight
}

// placeAll tries to place the candidates: urgent jobs first, then the jobs of the
// organisation with the smallest weighted share.
func (p *Planner) placeAll(r *round, candidates []*organisationCandidates) {
	slices.SortFunc(candidates, func(a, b *organisationCandidates) int {
		return cmp.Compare(a.queue.organisation.Name, b.queue.organisation.Name)
	})
	for range maxPlacementsPerRound {
		var best *organisationCandidates
		for _, c := range candidates {
			if len(c.entries) > 0 && (best == nil || c.precedes(best)) {
				best = c
			}
		}
		if best == nil {
			return
		}
		e := best.entries[0]
		best.entries = best.entries[1:]
		if p.place(r, e) {
			best.share = p.shareOf(best.queue)
		} else if e.blocksOrganisation(r.now) {
			best.entries = nil
		}
	}
	r.Next = earlier(r.Next, r.now)
}

func (c *organisationCandidates) precedes(other *organisationCandidates) bool {
	urgent := c.entries[0].job.Urgency == state.Urgent
	otherUrgent := other.entries[0].job.Urgency == state.Urgent
	if urgent != otherUrgent {
		return urgent
	}
	return c.share < other.share
}

// quotaBlockingRatio is how many estimated run times a job waits for quota before it holds
// back the other jobs of its organisation, which would otherwise keep using the quota up.
const quotaBlockingRatio = 4

// blocksOrganisation reports whether the job has waited so long for quota that no other job
// of its organisation may start before it.
func (e *jobEntry) blocksOrganisation(now time.Time) bool {
	waited := now.Sub(e.job.Submitted)
	return e.overQuota() && waited > quotaBlockingRatio*e.estimatedRunTime
}

func (e *jobEntry) overQuota() bool {
	return !withinQuota(e.queue.used.Plus(e.job.Total()), e.queue.organisation.Quota)
}

type scoredEntry struct {
	entry *jobEntry
	score float64
}

func (p *Planner) sortByScore(entries []*jobEntry, now time.Time) {
	all := make([]scoredEntry, len(entries))
	for i, e := range entries {
		all[i] = scoredEntry{e, p.score(e, now)}
	}
	slices.SortStableFunc(all, func(a, b scoredEntry) int {
		return cmp.Or(cmp.Compare(b.entry.urgencyClass(), a.entry.urgencyClass()), cmp.Compare(b.score, a.score))
	})
	for i, s := range all {
		entries[i] = s.entry
	}
}

// overnightScoreFactor multiplies the score of overnight jobs.
const overnightScoreFactor = 0.1

// score is the response ratio, (wait + run time) / run time, of highest response ratio next
// (Brinch Hansen 1971): short jobs go first, and no job starves.
func (p *Planner) score(e *jobEntry, now time.Time) float64 {
	ratio := 1 + float64(now.Sub(e.job.Submitted))/float64(e.estimatedRunTime)
	if e.job.Urgency == state.Overnight {
		ratio *= overnightScoreFactor
	}
	return ratio
}

// urgencyClass sorts urgent jobs before all others.
func (e *jobEntry) urgencyClass() int {
	if e.job.Urgency == state.Urgent {
		return 1
	}
	return 0
}
