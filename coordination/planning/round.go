package planning

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state"
)

const (
	// candidatesPerUrgency bounds the jobs of an organisation and urgency that a round looks at.
	candidatesPerUrgency = 2048
	// attemptsPerRound bounds the jobs that a round tries to place.
	attemptsPerRound = 4096
	// shortestEstimate bounds estimated run times from below.
	shortestEstimate = time.Second
	// pendingPatience is how long a job waits for others to make way before it is placed anew.
	pendingPatience = 5 * time.Second
)

// Round is what one planning round decided.
type Round struct {
	Starts   []Start
	Reclaims []Reclaim
	Refusals []Refusal
	// Next is when to plan again although nothing happens; zero means never.
	Next time.Time
}

// Start tells the caller to hold and start every member of the attempt; its
// resources are taken until Ended or Requeue.
type Start struct {
	Job        *state.Job
	Attempt    state.Attempt
	Placements []state.Placement
	// Borrowed is set if the job may be reclaimed. One on its organisation's
	// guarantee may come to borrow when the guarantee goes, or when urgent work of
	// the organisation needs it, if it can be saved or repeated.
	Borrowed bool
}

// Reclaim tells the caller to stop the attempt by the deadline, after a
// checkpoint if it can have one, and then to call Requeue. The attempt may
// still be starting.
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

// round is the state of one planning round.
type round struct {
	Round
	now time.Time
	// failed holds, for each kind of request that found no room, the fewest
	// members; room only shrinks within a round.
	failed map[requestKey]int
	// blocked are the gangs that found no room.
	blocked []*entry
	// firmAllowed is unset while work that must not be stopped would keep a
	// guarantee from being restored.
	firmAllowed bool
}

type requestKey struct {
	shape     state.Resources
	adjacency state.Adjacency
	tenure    tenure
	// movable counts the reservations whose places the request may use.
	movable int
}

// Plan runs one planning round.
func (p *Planner) Plan() Round {
	p.rounds.Lock()
	defer p.rounds.Unlock()
	if p.manifest == nil {
		return Round{}
	}
	p.refreshUsable()
	p.settle()
	r := &round{now: p.Now(), failed: make(map[requestKey]int), firmAllowed: true}
	for _, g := range p.guarantees {
		if g.broken == RunningWork {
			r.firmAllowed = false
		}
	}
	p.refuseImpossible(r)
	p.startPending(r)
	p.checkReservations()
	p.placeAll(r, p.gather(r))
	p.reserve(r)
	p.settle()
	return r.Round
}

func (p *Planner) refreshUsable() {
	for _, w := range p.zone.workers {
		unusable := !p.Usable(w.Address)
		if unusable == w.unusable {
			continue
		}
		w.unusable = unusable
		p.unpinOverfull(w)
		p.unsettled = true
	}
}

// refuseImpossible refuses queued jobs that a change of manifest or workers
// has made impossible.
func (p *Planner) refuseImpossible(r *round) {
	if !p.unchecked {
		return
	}
	p.unchecked = false
	neverFits := func(job *state.Job) bool { return p.sizes.neverFits(job, p.availabilityZone) }
	for _, q := range p.queues.all() {
		removed, refusals := q.removeImpossible(neverFits)
		for _, e := range removed {
			p.forget(e)
		}
		r.Refusals = append(r.Refusals, refusals...)
	}
}

func (p *Planner) forget(e *entry) {
	if e.claims {
		p.dropPending(e)
	}
	p.jobs.Delete(e.job.ID)
}

// lane is one organisation's candidates of a round, best first.
type lane struct {
	queue   *queue
	entries []*entry
	share   float64
}

func (p *Planner) gather(r *round) (lanes []*lane) {
	for _, q := range p.queues.all() {
		ready, expired, next := q.candidates(r.now, candidatesPerUrgency)
		r.Next = earlier(r.Next, next)
		for _, e := range expired {
			p.forget(e)
			r.Refusals = append(r.Refusals, Refusal{e.job.ID, state.DeadlinePassed})
		}
		ready = slices.DeleteFunc(ready, func(e *entry) bool { return e.claims })
		if len(ready) == 0 {
			continue
		}
		for _, e := range ready {
			r.Next = earlier(r.Next, e.forgive(r.now))
		}
		p.sortByScore(ready, r.now)
		lanes = append(lanes, &lane{queue: q, entries: ready, share: p.shareOf(q)})
	}
	return lanes
}

// shareOf returns the organisation's dominant share above its guarantees,
// divided by its weight.
func (p *Planner) shareOf(q *queue) float64 {
	weight := q.organisation.Share
	if weight <= 0 {
		weight = 1
	}
	return q.above.DominantShare(p.zone.total) / weight
}

// placeAll tries the candidates: urgent ones first, then those of the
// organisation that has the least of its share.
func (p *Planner) placeAll(r *round, lanes []*lane) {
	slices.SortFunc(lanes, func(a, b *lane) int {
		return cmp.Compare(a.queue.organisation.Name, b.queue.organisation.Name)
	})
	for range attemptsPerRound {
		var best *lane
		for _, l := range lanes {
			if len(l.entries) > 0 && (best == nil || l.before(best)) {
				best = l
			}
		}
		if best == nil {
			return
		}
		e := best.entries[0]
		best.entries = best.entries[1:]
		if p.place(r, e) {
			best.share = p.shareOf(best.queue)
		} else if e.heldByQuota(r.now) {
			best.entries = nil
		}
	}
	r.Next = earlier(r.Next, r.now)
}

func (l *lane) before(other *lane) bool {
	urgent := l.entries[0].job.Urgency == state.Urgent
	otherUrgent := other.entries[0].job.Urgency == state.Urgent
	if urgent != otherUrgent {
		return urgent
	}
	return l.share < other.share
}

// quotaPatience is the wait, in run times, after which a job that its quota
// holds up keeps the rest of its organisation's jobs back.
const quotaPatience = 4

func (e *entry) heldByQuota(now time.Time) bool {
	waited := now.Sub(e.job.Submitted)
	return e.overQuota() && waited > quotaPatience*e.estimate
}

func (e *entry) overQuota() bool {
	return !withinQuota(e.queue.used.Plus(e.job.Total()), e.queue.organisation.Quota)
}

type scored struct {
	entry *entry
	score float64
}

func (p *Planner) sortByScore(entries []*entry, now time.Time) {
	all := make([]scored, len(entries))
	for i, e := range entries {
		all[i] = scored{e, p.score(e, now)}
	}
	slices.SortStableFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.entry.class(), a.entry.class()), cmp.Compare(b.score, a.score))
	})
	for i, s := range all {
		entries[i] = s.entry
	}
}

// overnightFactor is how much less an overnight job's wait weighs.
const overnightFactor = 0.1

// score grows with the wait in terms of the run time (highest response ratio
// next, Brinch Hansen 1971), so that short work goes first and nothing starves.
func (p *Planner) score(e *entry, now time.Time) float64 {
	ratio := 1 + float64(now.Sub(e.job.Submitted))/float64(e.estimate)
	if e.job.Urgency == state.Overnight {
		ratio *= overnightFactor
	}
	return ratio
}

// class puts urgent work before all other.
func (e *entry) class() int {
	if e.job.Urgency == state.Urgent {
		return 1
	}
	return 0
}
