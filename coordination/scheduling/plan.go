package scheduling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

const (
	// planInterval is the time between planning rounds if nothing changes.
	planInterval = 200 * time.Millisecond
	// planBatchDelay delays a round so that it covers changes in quick succession.
	planBatchDelay = 5 * time.Millisecond
	// planRestFactor is how many times as long as a round the planner waits before
	// the next, so that reports are applied and calls sent meanwhile.
	planRestFactor = 3
)

// planLoop runs a planning round after each change and every planInterval.
func (p *pool) planLoop() {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var took time.Duration
	for {
		select {
		case <-p.scheduler.ctx.Done():
			return
		case <-ticker.C:
		case <-p.planDue:
			select {
			case <-p.scheduler.ctx.Done():
				return
			case <-time.After(max(planBatchDelay, planRestFactor*took)):
			}
		}
		if p.isMerged() {
			return
		}
		if p.scheduler.Authorised() {
			began := p.scheduler.Now()
			p.planRound()
			round := p.scheduler.Now().Sub(began)
			p.recordRound(round)
			took = min(round, planInterval/planRestFactor)
		}
	}
}

// planRound handles expired leases and stalls, places and starts groups, and
// sends the stops that are due.
func (p *pool) planRound() {
	p = p.lock()
	defer p.mu.Unlock()
	now := p.scheduler.Now()
	p.expireLeases(now)
	p.stopStalled(now)
	p.updateSpeeds(now)
	p.moveStragglers(now)
	p.stopLeaving(now)
	p.releaseExpired(now)
	var candidates []*group
	unsent := 0
	for j := range p.work.timed {
		p.createReadyGroups(j)
	}
	for g := range p.work.unstarted {
		switch {
		case g.job.status.Final():
		case g.phase == waiting && (g.record.held(now) || p.runsUnknown(g)):
		case g.phase == waiting:
			candidates = append(candidates, g)
		case p.stopEvacuated(g):
		case g.phase == placed:
			p.startOrAbandon(g, now)
		}
		if g.phase == saving || g.phase == placed && !g.startsSent {
			unsent += g.size()
		}
	}
	if len(candidates) > 0 {
		p.placeAll(candidates, now, unsent)
	}
	p.sendStops(now)
}

// placeAll begins attempts of the waiting groups that fit, in the order of the
// queue.
func (p *pool) placeAll(waiting []*group, now time.Time, unsent int) {
	if p.scheduler.orderValidity(now) == 0 {
		p.scheduler.Count(evacuationsStale)
		return
	}
	guaranteed := p.guaranteedJobs(now)
	byService := make(map[string][]*group)
	for _, g := range waiting {
		byService[g.job.routing.Service] = append(byService[g.job.routing.Service], g)
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		p.round = p.newRound(service, now)
		p.round.unsent = unsent
		for _, entry := range p.sortQueue(byService[service], now, guaranteed) {
			p.placeOrReclaim(entry.group, now, guaranteed)
		}
		unsent = p.round.unsent
	}
}

// queuedGroup is a waiting group with the keys of its position in the queue.
type queuedGroup struct {
	*group
	rank     int
	deadline time.Time
}

// sortQueue returns the groups in the order of placement: by rank, then by
// deadline.
func (p *pool) sortQueue(candidates []*group, now time.Time, guaranteed map[*job]bool) []queuedGroup {
	queue := make([]queuedGroup, len(candidates))
	for i, g := range candidates {
		queue[i] = queuedGroup{g, p.rank(g, now, guaranteed), g.deadline()}
	}
	slices.SortFunc(queue, func(a, b queuedGroup) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			a.deadline.Compare(b.deadline),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.id.Occurrence, b.id.Occurrence),
			cmp.Compare(a.id.Step, b.id.Step),
			cmp.Compare(a.id.Index, b.id.Index))
	})
	return queue
}

// The ranks of waiting groups: jobs within a guarantee, then urgent jobs, in time
// before late, then all other jobs that can be in time, by priority, then the
// late ones, by priority, and last those that count for nothing any more, by priority.
const (
	rankGuaranteed = iota
	rankUrgent
	rankUrgentLate
	rankInTime
	rankLate    = rankInTime + lowestPriority + 1
	rankExpired = rankLate + lowestPriority + 1
)

// lowestPriority is the last priority with a rank of its own; those after it
// share its rank.
const lowestPriority = 8

func (p *pool) rank(g *group, now time.Time, guaranteed map[*job]bool) int {
	priority := min(g.job.Priority, lowestPriority)
	inTime := g.slack(now) >= 0
	switch {
	case guaranteed[g.job]:
		return rankGuaranteed
	case g.expired(now):
		return rankExpired + priority
	case priority == 0 && inTime:
		return rankUrgent
	case priority == 0:
		return rankUrgentLate
	case inTime:
		return rankInTime + priority
	default:
		return rankLate + priority
	}
}

// guaranteedJobs returns the jobs of priority 0 that fit into the guarantee of their
// organisation. A job counts at the service of its queue, wherever it runs.
func (p *pool) guaranteedJobs(now time.Time) map[*job]bool {
	urgent, guaranteed := make(map[string][]*job), make(map[*job]bool)
	for j := range p.work.urgent {
		urgent[j.routing.Service] = append(urgent[j.routing.Service], j)
	}
	for service, jobs := range urgent {
		p.addGuaranteed(guaranteed, service, jobs, now)
	}
	return guaranteed
}

// addGuaranteed adds the urgent jobs of a service that fit into the guarantee of their
// organisation, and into what is left during an evacuation, filled from the oldest job on.
func (p *pool) addGuaranteed(guaranteed map[*job]bool, service string, urgent []*job, now time.Time) {
	slices.SortFunc(urgent, func(a, b *job) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.ID, b.ID))
	})
	used, total, limit := make(map[string]int), 0, p.guaranteeLimit(service)
	for _, j := range urgent {
		needs := j.PeakAccelerators()
		covered := used[j.Organisation]
		if covered+needs <= p.scheduler.Guarantee(j.Organisation) && total+needs <= limit {
			covered, total = covered+needs, total+needs
			guaranteed[j] = true
		}
		used[j.Organisation] = covered
	}
	p.noteShortGuarantees(service, used, total, limit, now)
}

// placeOrReclaim begins an attempt if the group fits, or if it is worthwhile to
// preempt others for it.
func (p *pool) placeOrReclaim(g *group, now time.Time, guaranteed map[*job]bool) {
	switch {
	case p.tooManyUnsent() && !guaranteed[g.job]:
		p.reportDelay(g, delayedUnsent, now)
		return
	case p.shouldDefer(g, now):
		p.reportDelay(g, delayedDeferred, now)
		return
	}
	reserved, kept := p.reservations[g]
	p.release(g)
	choice := p.placeUnlessTried(g, now)
	if choice == nil {
		choice = p.reclaimIfWorthwhile(g, now, guaranteed)
	}
	switch {
	case choice != nil:
		p.beginAttempt(g, choice)
		return
	case kept:
		p.reservations[g] = reserved
		g.addUsageOn(reserved.hosts, 1)
	}
	p.reportDelay(g, delayedRack, now)
}

// reclaimIfWorthwhile preempts other groups for an urgent group once waiting
// longer would make it late, if its value exceeds the cost. Shortly before
// ReclaimLimit it does so for a guaranteed job at any cost, and for one that was moved.
func (p *pool) reclaimIfWorthwhile(g *group, now time.Time, guaranteed map[*job]bool) *placement {
	if g.job.Priority != 0 {
		return nil
	}
	limit := p.scheduler.Bounds.ReclaimLimit - p.scheduler.Bounds.StopLimit - reclaimMargin
	mustStart := guaranteed[g.job] && (now.Sub(g.job.acceptedAt) >= limit || g.displacements > 0)
	slack := g.slack(now)
	if !mustStart && (slack < minReclaimSlack || slack > maxReclaimSlack) {
		return nil
	}
	maxCost := (1 - lateValueFraction) * p.jobValue(g.job)
	if mustStart {
		maxCost = math.Inf(1)
	} else if now.Sub(g.searchedAt) < planInterval || p.scheduler.Now().After(p.round.searchUntil) {
		return nil
	}
	g.searchedAt = now
	choice := p.reclaim(g, now, guaranteed, maxCost)
	if choice == nil && mustStart && now.Sub(g.startWanted()) >= limit {
		choice = p.reclaimLastResort(g, now, guaranteed)
	}
	return choice
}

// startWanted returns from when on ReclaimLimit counts for the group: the acceptance of its
// job or, once something of the job has run, when the group began to wait.
func (g *group) startWanted() time.Time {
	if g.job.begun {
		return g.waitingSince
	}
	return g.job.acceptedAt
}

const (
	// reclaimMargin is the part of ReclaimLimit left for a save, a planning round
	// and the calls to the workers.
	reclaimMargin = 700 * time.Millisecond
	// maxReclaimSlack is just enough for a stop, a save and a start.
	maxReclaimSlack = 1300 * time.Millisecond
	// minReclaimSlack is less than the fastest stop takes: with even less slack,
	// the job would be late anyway.
	minReclaimSlack = 200 * time.Millisecond
)

// beginAttempt assigns the group's next attempt to the workers, stops the victims
// and has the attempt saved.
func (p *pool) beginAttempt(g *group, choice *placement) {
	g.attempt++
	g.phase, g.startsSent, g.placedAt, g.members = saving, false, p.scheduler.Now(), nil
	g.victims = nil
	for _, v := range choice.victims {
		g.victims = append(g.victims, victim{v, v.attempt})
	}
	for i, task := range g.job.Members(g.id) {
		p.assign(g, task, choice.workers[i], choice.workers[i].incarnation)
	}
	for _, v := range choice.moved {
		v.displacements++
		p.stopGroup(v, reasonDisplaced)
	}
	for _, v := range choice.victims {
		p.stopGroup(v, reasonReclaimed)
	}
	if g.job.status == workflow.Queued {
		g.job.status = workflow.Running
		p.markDirty(g.job.recordAt(0))
	}
	p.scheduler.Log.Info().Str("event", "attemptPlanned").Str("request", string(g.job.ID)).
		Int("step", g.id.Step).Int("index", g.id.Index).Int("attempt", g.attempt).
		Int("members", len(g.members)).Int("victims", len(g.victims)).Int("moved", len(choice.moved)).
		Int("priority", g.job.Priority).Dur("slack", g.slack(g.placedAt)).Dur("estimate", g.step.Estimate).
		Dur("waited", g.placedAt.Sub(g.waitingSince)).Send()
	p.round.free -= g.size() * g.step.Accelerators
	p.round.freeCores -= g.size() * g.step.Cores
	p.round.unsent += g.size()
	clear(p.round.firstOptions)
	p.markDirty(g.record)
}
