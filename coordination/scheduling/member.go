package scheduling

import (
	"time"

	"comfreystream/coordination/interference"
	"comfreystream/state/workflow"
)

// memberPhase is the state of one task in an attempt.
type memberPhase uint8

const (
	// planned members have a worker; no start was sent.
	planned memberPhase = iota
	// starting members were sent a start, which may have been carried out or may
	// still be.
	starting
	running
	// recovering members may have been started by an earlier planner.
	recovering
	ended
)

// String returns the phase as log lines name it.
func (m memberPhase) String() string {
	return [...]string{"planned", "starting", "running", "recovering", "ended"}[m]
}

// member is one task of a group's current attempt, on one worker.
type member struct {
	group       *group
	task        workflow.Task
	attempt     int
	worker      *worker
	incarnation workflow.Incarnation
	phase       memberPhase
	outcome     workflow.Outcome
	// startUntil is the time of the worker's clock after which it refuses the
	// start.
	startUntil time.Duration
	// confirmedAt is when the worker was first known to run the task.
	confirmedAt time.Time
	percent     int
	mark        progressMark
	// runTime is the member's whole run time by its progress; 0 means that it is not known.
	runTime time.Duration
	// track is the progress beside the present neighbours, whose kinds beside holds.
	track       interference.Track
	beside      []interference.Kind
	besideKnown bool
	// excess is the time since mark that the neighbours took, until excessClock.
	excess, excessClock time.Duration
	// percentChangedAt is when percent last changed.
	percentChangedAt time.Time
	progress         progress
	// stopWanted is set once the member is to be stopped. stopSentAt is when the
	// newest stop was sent, stopAnsweredAt when the first one was answered.
	stopWanted     bool
	stopSentAt     time.Time
	stopAnsweredAt time.Time
}

// confirm notes that the worker is known to run the task.
func (m *member) confirm(now time.Time) {
	if m.phase == starting {
		m.progress.startedAt = now
	}
	m.phase, m.confirmedAt, m.percentChangedAt = running, now, now
	m.group.job.begun = true
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task    workflow.Task
	attempt int
}

func (m *member) key() attemptKey { return attemptKey{m.task, m.attempt} }

// assign adds a member on a worker and reserves its capacity there.
func (p *pool) assign(g *group, task workflow.Task, w *worker, incarnation workflow.Incarnation) *member {
	m := &member{group: g, task: task, attempt: g.attempt, worker: w, incarnation: incarnation, phase: planned}
	g.members = append(g.members, m)
	w.members[m.key()] = m
	w.addUsed(g.step, 1)
	return m
}

// addUsed adds what a member of the step uses, times sign.
func (w *worker) addUsed(step *workflow.Step, sign int) {
	needs := step.Needs().Times(sign)
	w.used = w.used.Plus(needs)
	if step.LongRunning {
		w.longRunning = w.longRunning.Plus(needs)
	}
}

// endMember sets the outcome of a member and releases its capacity.
func (p *pool) endMember(m *member, outcome workflow.Outcome, checkpoint string) {
	if m.phase == ended {
		return
	}
	m.phase, m.outcome = ended, outcome
	delete(p.work.stops, m)
	delete(m.worker.members, m.key())
	m.worker.addUsed(m.group.step, -1)
	if checkpoint != "" && m.group.attempt == m.attempt {
		m.group.checkpoint = checkpoint
		p.markDirty(m.group.record) // stored before the end is acknowledged
	}
	switch outcome {
	case workflow.Faulted:
		p.countFailure(m)
	case workflow.Broken:
		m.group.brokenAt = p.scheduler.Now()
	}
	p.advanceGroup(m.group)
	wake(p.planDue)
}

// countFailure counts a failed attempt once, however many members fail. It does so
// at the first failure, while the rest of a gang may still be ending, so that the
// count is saved before the worker's end is acknowledged and no longer reported.
func (p *pool) countFailure(m *member) {
	g := m.group
	g.noteFailure(m.worker.id, p.scheduler.Now())
	if g.failedAttempt >= m.attempt {
		return
	}
	g.failedAttempt = m.attempt
	g.failures++
	p.markDirty(g.record)
}

// advanceGroup completes, stops or retries a group after a member has ended.
func (p *pool) advanceGroup(g *group) {
	if g.hasDoneMember() && !g.step.LongRunning {
		p.completeGroup(g)
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

func (g *group) hasDoneMember() bool {
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

// completeGroup marks the group as done, once. A gang is done as a whole, so that
// members which still run end by themselves.
func (p *pool) completeGroup(g *group) {
	if g.done {
		return
	}
	p.closeGroup(g)
	g.done = true
	j := g.job
	j.doneGroups[[2]int{g.id.Occurrence, g.id.Step}]++
	p.markDirty(g.record)
	if j.status.Final() {
		return
	}
	if j.allOccurrencesDone() {
		p.endJob(j, workflow.Completed)
		return
	}
	p.createReadyGroups(j)
}

// retryGroup queues the group for its next attempt, or fails the job if it has
// used up its attempts.
func (p *pool) retryGroup(g *group) {
	now := p.scheduler.Now()
	outcomes := g.outcomeSummary()
	g.phase, g.waitingSince = waiting, now
	g.members, g.victims, g.startsSent = nil, nil, false
	p.work.addUnstarted(g)
	p.scheduler.Log.Info().Str("event", "attemptEnded").Str("request", string(g.job.ID)).
		Int("step", g.id.Step).Int("index", g.id.Index).Int("attempt", g.attempt).
		Int("failures", g.failures).Str("outcomes", outcomes).Send()
	if g.job.status.Final() {
		p.closeGroup(g)
		p.markDirty(g.record) // remove its workers from the stored progress
		return
	}
	if g.failures >= g.job.MaxAttempts && !g.step.LongRunning {
		p.closeGroup(g)
		p.endJob(g.job, workflow.Failed)
	}
}

// closeGroup rules out further attempts.
func (p *pool) closeGroup(g *group) {
	g.phase = finished
	p.work.remove(g)
}

// failureHistory is how often a group has failed on a worker, and when last.
type failureHistory struct {
	count int
	last  time.Time
}

const (
	// firstFailureBackoff is how long a group that failed on a worker avoids it; the
	// time doubles with each failure there up to maxFailureBackoff, which leaves
	// the 3 s within which a task is to run again on an idle deployment.
	firstFailureBackoff = 1500 * time.Millisecond
	maxFailureBackoff   = 2500 * time.Millisecond
)

// noteFailure notes that the group has failed or stalled on the worker.
func (g *group) noteFailure(id workflow.WorkerID, now time.Time) {
	if g.failedWorkers == nil {
		g.failedWorkers = make(map[workflow.WorkerID]failureHistory)
	}
	g.failedWorkers[id] = failureHistory{g.failedWorkers[id].count + 1, now}
}

func (g *group) hasFailedOn(w *worker) bool { return g.failedWorkers[w.id].count > 0 }

// hasFailedLately reports whether the group is to avoid the worker for some more time.
func (g *group) hasFailedLately(w *worker, now time.Time) bool {
	h := g.failedWorkers[w.id]
	if h.count == 0 {
		return false
	}
	backoff := min(firstFailureBackoff<<min(h.count-1, 4), maxFailureBackoff)
	return now.Sub(h.last) < backoff
}

// outcomeSummary returns the distinct outcomes of the members, for the log.
func (g *group) outcomeSummary() (text string) {
	seen := make(map[workflow.Outcome]bool)
	for _, m := range g.members {
		if !seen[m.outcome] {
			seen[m.outcome] = true
			text += string(m.outcome) + " "
		}
	}
	return text
}
