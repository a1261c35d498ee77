package scheduling

import (
	"cmp"
	"slices"
	"time"

	"comfreystream/state/workflow"
)

const (
	// planTick is the pause between rounds in which only time has passed.
	planTick = 200 * time.Millisecond
	// planPause gathers the news of a moment into one round.
	planPause = 5 * time.Millisecond
)

// planLoop plans when something has changed, and at each tick.
func (p *pool) planLoop() {
	ticker := time.NewTicker(planTick)
	defer ticker.Stop()
	for {
		select {
		case <-p.scheduler.ctx.Done():
			return
		case <-ticker.C:
		case <-p.planDue:
			select {
			case <-p.scheduler.ctx.Done():
				return
			case <-time.After(planPause):
			}
		}
		if p.scheduler.Authorised() {
			p.round()
		}
	}
}

// round looks at time, places what waits and sends what is due.
func (p *pool) round() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.scheduler.Now()
	p.expireLeases(now)
	p.stopStalled(now)
	var candidates []*group
	for j := range p.agenda.timed {
		p.openSteps(j)
	}
	for g := range p.agenda.undecided {
		switch {
		case g.job.status.Final():
		case g.phase == waiting:
			candidates = append(candidates, g)
		case g.phase == placed:
			p.startOrGiveUp(g, now)
		}
	}
	entitled := p.entitled()
	line := p.order(candidates, now, entitled)
	p.room = p.lookAround()
	for _, next := range line {
		p.placeOrReclaim(next.group, now, entitled)
	}
	p.sendStops(now)
}

// inLine is a group that waits, with what its place in the queue depends on.
type inLine struct {
	*group
	rank int
	due  time.Time
}

// order sorts the groups: those within a guarantee first, then what can
// still be in time by priority, urgent work that is late before the rest.
func (p *pool) order(candidates []*group, now time.Time, entitled map[*job]bool) []inLine {
	line := make([]inLine, len(candidates))
	for i, g := range candidates {
		line[i] = inLine{g, p.rank(g, now, entitled), g.due()}
	}
	slices.SortFunc(line, func(a, b inLine) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			a.due.Compare(b.due),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.id.Occurrence, b.id.Occurrence),
			cmp.Compare(a.id.Step, b.id.Step),
			cmp.Compare(a.id.Index, b.id.Index))
	})
	return line
}

// The ranks of groups in the queue; each priority has one for work in time
// and one for late work.
const (
	rankEntitled = iota
	rankUrgent
	rankUrgentLate
	rankInTime
	rankLate = rankInTime + lowestPriority + 1
)

// lowestPriority bounds the priorities that are told apart.
const lowestPriority = 8

func (p *pool) rank(g *group, now time.Time, entitled map[*job]bool) int {
	priority := min(g.job.Priority, lowestPriority)
	inTime := g.slack(now) >= 0
	switch {
	case entitled[g.job]:
		return rankEntitled
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

// entitled returns the most urgent jobs that fit into their organisation's
// guarantee, the oldest first.
func (p *pool) entitled() map[*job]bool {
	var urgent []*job
	for _, j := range p.jobs {
		if j.Priority == 0 && !j.status.Final() {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *job) int {
		return cmp.Or(a.received.Compare(b.received), cmp.Compare(a.ID, b.ID))
	})
	used := make(map[string]int)
	entitled := make(map[*job]bool)
	for _, j := range urgent {
		needs := j.PeakAccelerators()
		if used[j.Organisation]+needs <= p.scheduler.Guarantee(j.Organisation) {
			used[j.Organisation] += needs
			entitled[j] = true
		}
	}
	return entitled
}

// placeOrReclaim begins an attempt if there is room, or room worth making.
func (p *pool) placeOrReclaim(g *group, now time.Time, entitled map[*job]bool) {
	if p.shouldWait(g, now) {
		return
	}
	choice := p.placeOnce(g, now)
	if choice == nil {
		choice = p.reclaimInTime(g, now, entitled)
	}
	if choice != nil {
		p.begin(g, choice)
	}
}

// reclaimInTime makes room for urgent work once waiting longer would make it
// late, if it is worth more than what is lost; a guarantee is met at any price
// before its limit.
func (p *pool) reclaimInTime(g *group, now time.Time, entitled map[*job]bool) *placement {
	if g.job.Priority != 0 {
		return nil
	}
	limit := p.scheduler.Bounds.ReclaimLimit - p.scheduler.Bounds.StopLimit - reclaimMargin
	mustStart := entitled[g.job] && now.Sub(g.job.received) >= limit
	slack := g.slack(now)
	if !mustStart && (slack < minReclaimSlack || slack > maxReclaimSlack) {
		return nil
	}
	choice, cost := p.reclaim(g, now, entitled)
	if choice == nil || !mustStart && cost > (1-lateValue)*p.value(g.job) {
		return nil
	}
	return choice
}

const (
	// reclaimMargin is left of the limit for the record, the orders and a round.
	reclaimMargin = 700 * time.Millisecond
	// maxReclaimSlack is when a stop, a record and a start just fit.
	maxReclaimSlack = 1300 * time.Millisecond
	// minReclaimSlack is below the fastest stop: the work would be late anyway.
	minReclaimSlack = 200 * time.Millisecond
)

// begin plans the next attempt on the workers and has it put on record.
func (p *pool) begin(g *group, choice *placement) {
	g.attempt++
	g.phase, g.ordered, g.placedAt, g.members = saving, false, p.scheduler.Now(), nil
	g.victims = nil
	for _, v := range choice.victims {
		g.victims = append(g.victims, victim{v, v.attempt})
	}
	for i, task := range g.job.Members(g.id) {
		p.assign(g, task, choice.workers[i], choice.workers[i].life)
	}
	for _, v := range choice.victims {
		p.stopGroup(v, reasonReclaimed)
	}
	if g.job.status == workflow.Queued {
		g.job.status = workflow.Running
	}
	p.scheduler.Log.Info().Str("event", "attemptPlanned").Str("request", string(g.job.ID)).
		Int("step", g.id.Step).Int("index", g.id.Index).Int("attempt", g.attempt).
		Int("members", len(g.members)).Int("victims", len(g.victims)).
		Int("priority", g.job.Priority).Dur("slack", g.slack(g.placedAt)).Dur("estimate", g.step.Estimate).
		Dur("waited", g.placedAt.Sub(g.waitingSince)).Send()
	p.room.free -= g.size() * g.step.Accelerators
	p.markDirty(g.job)
}
