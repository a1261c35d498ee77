package scheduling

import (
	"time"

	"comfreystream/state/workflow"
)

// memberPhase is how far one task of an attempt has come.
type memberPhase uint8

const (
	planned memberPhase = iota
	// ordered: a start may have been carried out or may be still.
	ordered
	running
	// recovering: an earlier planner may have started it.
	recovering
	ended
)

// member is one task of a group's present attempt on a worker.
type member struct {
	group   *group
	task    workflow.Task
	attempt int
	worker  *worker
	life    workflow.Incarnation
	phase   memberPhase
	outcome workflow.Outcome
	// startUntil is the time of the worker's clock after which no order to
	// start is carried out any more.
	startUntil time.Duration
	// confirmed is when the worker was known to run it.
	confirmed time.Time
	percent   int
	// percentAt is when percent changed.
	percentAt time.Time
	// stopSent and stopHeard are when the newest stop was sent and the first answered.
	stopWanted bool
	stopSent   time.Time
	stopHeard  time.Time
}

// attemptKey names one attempt of a task.
type attemptKey struct {
	task    workflow.Task
	attempt int
}

func (m *member) key() attemptKey { return attemptKey{m.task, m.attempt} }

// assign plans a member on a worker and takes its room there.
func (p *pool) assign(g *group, task workflow.Task, w *worker, life workflow.Incarnation) *member {
	m := &member{group: g, task: task, attempt: g.attempt, worker: w, life: life, phase: planned}
	g.members = append(g.members, m)
	w.members[m.key()] = m
	w.used = w.used.Plus(g.step.Needs())
	return m
}

// resolve ends a member; its room is free again.
func (p *pool) resolve(m *member, outcome workflow.Outcome, checkpoint string) {
	if m.phase == ended {
		return
	}
	m.phase, m.outcome = ended, outcome
	delete(p.agenda.stops, m)
	delete(m.worker.members, m.key())
	m.worker.used = m.worker.used.Minus(m.group.step.Needs())
	if checkpoint != "" && m.group.attempt == m.attempt {
		m.group.checkpoint = checkpoint
	}
	if outcome == workflow.Faulted {
		p.countFailure(m)
	}
	p.advance(m.group)
	signal(p.planDue)
}

// countFailure counts an attempt once, and before its end is acknowledged: the
// rest of a gang may still be ending then.
func (p *pool) countFailure(m *member) {
	g := m.group
	g.avoidWorker(m.worker.id)
	if g.failedAttempt >= m.attempt {
		return
	}
	g.failedAttempt = m.attempt
	g.failures++
	p.markDirty(g.job)
}

// advance moves a group on after a member has ended.
func (p *pool) advance(g *group) {
	if g.hasDone() && !g.step.LongRunning {
		p.finishGroup(g)
	}
	if !g.allEnded() {
		if g.phase == placed || g.phase == saving {
			p.stopGroup(g, reasonIncomplete)
		}
		return
	}
	if g.phase == finished {
		return
	}
	p.retryGroup(g)
}

func (g *group) hasDone() bool {
	for _, m := range g.members {
		if m.phase == ended && m.outcome == workflow.Done {
			return true
		}
	}
	return false
}

func (g *group) allEnded() bool {
	for _, m := range g.members {
		if m.phase != ended {
			return false
		}
	}
	return true
}

// finishGroup notes that the group is done, once; members still listed end by
// themselves, since a gang is done as a whole.
func (p *pool) finishGroup(g *group) {
	if g.done {
		return
	}
	p.settle(g)
	g.done = true
	j := g.job
	j.doneGroups[[2]int{g.id.Occurrence, g.id.Step}]++
	p.markDirty(j)
	if j.status.Final() {
		return
	}
	if j.allDone() {
		p.endJob(j, workflow.Completed)
		return
	}
	p.openSteps(j)
}

// retryGroup makes the group wait for its next attempt, or fails the job.
func (p *pool) retryGroup(g *group) {
	now := p.scheduler.Now()
	outcomes := g.outcomes()
	g.phase, g.waitingSince = waiting, now
	g.members, g.victims, g.ordered = nil, nil, false
	p.agenda.decide(g)
	p.scheduler.Log.Info().Str("event", "attemptEnded").Str("request", string(g.job.ID)).
		Int("step", g.id.Step).Int("index", g.id.Index).Int("attempt", g.attempt).
		Int("failures", g.failures).Str("outcomes", outcomes).Send()
	if g.job.status.Final() {
		p.settle(g)
		p.markDirty(g.job) // the record should no longer name its workers
		return
	}
	if g.failures >= g.job.MaxAttempts && !g.step.LongRunning {
		p.settle(g)
		p.endJob(g.job, workflow.Failed)
	}
}

// settle notes that no further attempt follows.
func (p *pool) settle(g *group) {
	g.phase = finished
	p.agenda.drop(g)
}

func (g *group) avoidWorker(id workflow.WorkerID) {
	if g.avoid == nil {
		g.avoid = make(map[workflow.WorkerID]bool)
	}
	g.avoid[id] = true
}

// outcomes lists the different outcomes of the members.
func (g *group) outcomes() (text string) {
	seen := make(map[workflow.Outcome]bool)
	for _, m := range g.members {
		if !seen[m.outcome] {
			seen[m.outcome] = true
			text += string(m.outcome) + " "
		}
	}
	return text
}
