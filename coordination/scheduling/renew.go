package scheduling

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

const (
	// maxAcknowledgeAge is how old the newest report may be for a renewal to
	// acknowledge ends. The worker may have restarted since, and a new incarnation
	// numbers its ends from 1 again. The limit and the wait of such a renewal are
	// together less than a restarted worker needs to start and end a task.
	maxAcknowledgeAge = 600 * time.Millisecond
	// maxSaveWait bounds how long a renewal is delayed until ends are saved.
	maxSaveWait = 250 * time.Millisecond
	// renewRetryDelay is the time between a failed renewal and the next.
	renewRetryDelay = 150 * time.Millisecond
)

// renewLoop renews the worker's lease and applies its reports until the term ends.
func (p *pool) renewLoop(w *worker) {
	silent := false
	for p.scheduler.ctx.Err() == nil {
		sent := p.scheduler.Now()
		err := p.renew(w, true)
		if err == nil {
			if silent {
				p.scheduler.Log.Info().Str("event", "workerRegained").Str("worker", string(w.id)).Send()
			}
			silent = false
			if p.endReleased(w) {
				return
			}
			p.awaitSave(w)
			continue
		}
		if errors.Is(err, ErrTermEnded) {
			p.scheduler.endTerm(err)
			return
		}
		if !silent && p.scheduler.ctx.Err() == nil {
			silent = true
			p.scheduler.Count(workerSilent)
			p.scheduler.Log.Warn().Str("event", "workerLost").Str("worker", string(w.id)).Err(err).Send()
		}
		p.endSilent(w, sent)
		if p.endRenewals(w) {
			return
		}
		pause.For(p.scheduler.ctx, renewRetryDelay)
	}
}

// endRenewals reports whether a silent worker needs no more renewals: it is not
// registered and runs nothing. They begin again when it is listed.
func (p *pool) endRenewals(w *worker) bool {
	p = p.lock()
	defer p.mu.Unlock()
	w.renewing = w.info.registered || len(w.members) > 0
	return !w.renewing
}

// awaitSave waits until all reported ends are saved, since the worker would
// answer at once with the same ends. The wait is short enough to keep the lease.
func (p *pool) awaitSave(w *worker) {
	p = p.lock()
	saved := w.lastSavedEnd >= w.lastAppliedEnd
	p.mu.Unlock()
	if saved {
		return
	}
	timer := time.NewTimer(maxSaveWait)
	defer timer.Stop()
	select {
	case <-p.scheduler.ctx.Done():
	case <-w.renewDue:
	case <-timer.C:
	}
}

// renew sends one renewal and applies the report. The worker may wait for an end
// before it answers, unless it has been silent or a stop awaits confirmation.
func (p *pool) renew(w *worker, mayWait bool) error {
	if !p.scheduler.Authorised() {
		return errors.New("this planner may no longer hold its term")
	}
	p = p.lock()
	now := p.scheduler.Now()
	wait, leaseExpiry := p.renewWait(), w.leaseExpiry
	order := RenewOrder{Term: p.scheduler.Term, Wait: wait}
	if now.Sub(w.reportedAt) <= maxAcknowledgeAge && w.lastSavedEnd > w.lastAckedEnd {
		order.Acknowledged, order.Wait = w.lastSavedEnd, minRenewWait
	}
	if !mayWait || w.awaitsStopEnd() {
		order.Wait = 0
	}
	if now.Sub(w.reportedAt) <= p.maxReportAge() {
		// The lease of a silent worker is left to run out, so that leaseExpiry stays
		// a known time.
		lease := p.leaseOf(w)
		order.Until = w.estimateClock(now) + lease
		w.leaseExpiry = latest(w.leaseExpiry, latestLeaseExpiry(now, lease))
	} else {
		order.Wait = 0
	}
	target := w.info.Worker
	w.renewals++
	r := renewal{number: w.renewals, sentAt: now, order: order}
	extended := w.leaseExpiry
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.scheduler.ctx, wait+renewTransit)
	defer cancel()
	report, err := p.scheduler.Workers.Renew(ctx, target, order)
	if err != nil {
		p.noteFailedRenewal(w, r.number)
		if !state.IsAmbiguous(err) {
			p.restoreLease(w, extended, leaseExpiry)
		}
		return err
	}
	p.applyReport(w, report, r)
	return nil
}

// earlierLeaseExpiry returns when the leases have run out that earlier planners gave a worker.
// Its incarnation first reported to this planner at the given time, and refuses the orders of
// earlier ones since then.
func (p *pool) earlierLeaseExpiry(reported time.Time) time.Time {
	overlapEnd := p.scheduler.termBegan.Add(p.scheduler.Bounds.Overlap)
	return latestLeaseExpiry(earliest(overlapEnd, reported), p.scheduler.Bounds.LeaseLimit)
}

// longRunningLease lets a long-running task run again within 9 s after its worker was
// lost: the end of the lease is certain 0.41 s later, and the start takes up to 0.3 s.
const longRunningLease = 8 * time.Second

// leaseOf returns how long the worker's lease is renewed for: less for one that is
// about to leave or has long-running tasks, whose tasks are started elsewhere once it
// has run out. An idle worker gets the shorter one as well: a long-running task may be
// started there next, and a lease never shortens.
func (p *pool) leaseOf(w *worker) time.Duration {
	lease := p.scheduler.Bounds.LeaseLimit
	if w.info.Draining {
		return p.shortLease(&w.notice)
	}
	if len(w.members) == 0 {
		return min(lease, longRunningLease)
	}
	for _, m := range w.members {
		if m.group.step.LongRunning {
			return min(lease, longRunningLease)
		}
	}
	return lease
}

// restoreLease takes back the extension of a lease by a renewal that was not sent,
// unless another renewal has extended it since.
func (p *pool) restoreLease(w *worker, extended, before time.Time) {
	p = p.lock()
	defer p.mu.Unlock()
	if w.leaseExpiry.Equal(extended) {
		w.leaseExpiry = latest(before, w.startLeaseExpiry)
	}
}

// renewal is a renewal that was sent to a worker; number counts those to it.
type renewal struct {
	number int
	sentAt time.Time
	order  RenewOrder
}

// awaitsStopEnd reports whether the worker answered a stop of a member whose start
// is unconfirmed: the next report tells whether that member has ended.
func (w *worker) awaitsStopEnd() bool {
	for _, m := range w.members {
		if !m.stopAnsweredAt.IsZero() && m.phase == starting {
			return true
		}
	}
	return false
}

// applyReport applies the report that answers a renewal.
func (p *pool) applyReport(w *worker, report workflow.Report, r renewal) {
	p = p.lock()
	defer p.mu.Unlock()
	if r.number < w.reportedRenewal {
		return // a report that was requested later has overtaken this one
	}
	w.reportedRenewal, w.reportedSentAt = r.number, r.sentAt
	if r.sentAt.After(w.leftAt) {
		w.leftAt = time.Time{}
	}
	now := p.scheduler.Now()
	firstReport := w.reportedAt.IsZero()
	if firstReport {
		w.leaseExpiry = earliest(w.leaseExpiry, p.earlierLeaseExpiry(now))
	}
	if report.Incarnation != w.incarnation {
		w.leaseExpiry = latest(w.leaseExpiry, p.earlierLeaseExpiry(now))
		p.applyRestart(w, report)
		firstReport = true
	} else {
		w.lastAckedEnd = max(w.lastAckedEnd, r.order.Acknowledged)
	}
	wasSilent := now.Sub(w.reportedAt) > p.maxReportAge()
	w.reportedAt, w.reportedClock = now, report.Clock
	for _, end := range report.Ended {
		p.applyEnd(w, end)
	}
	reported := make(map[attemptKey]bool, len(report.Running))
	if !report.MoreEnds {
		p.forgetUnknown(w)
	}
	for _, task := range report.Running {
		key := attemptKey{task.Task, task.Attempt}
		reported[key] = true
		m, known := w.members[key]
		if !known {
			p.reportUnknown(w, task, now)
			continue
		}
		p.applyRunning(m, task, now, wasSilent)
	}
	p.endMissing(w, report, reported, r.sentAt)
	if wasSilent {
		w.forgetNeighbours()
	}
	p.observeNeighbours(w, report, now)
	if firstReport {
		wake(p.planDue)
		wake(p.saveDue)
	}
}

// endMissing ends the members that the report shows not to run, as it lists them
// neither among the running tasks nor among the ends. While it leaves out ends, a
// missing member may have ended, and that end decides whether it is tried again.
func (p *pool) endMissing(w *worker, report workflow.Report, reported map[attemptKey]bool, renewalSent time.Time) {
	if report.MoreEnds {
		p.scheduler.Count(endsLeftOut)
	}
	for key, m := range w.members {
		switch {
		case reported[key]:
		case report.MoreEnds:
			m.percentChangedAt = p.scheduler.Now() // not known to stall
		case m.cannotRun(report.Clock, renewalSent):
			p.logMissing(m, report)
			p.endMember(m, workflow.Void, "")
		}
	}
}

// logMissing logs that a member is taken for one that does not run, with what the
// report that leaves it out lists.
func (p *pool) logMissing(m *member, report workflow.Report) {
	p.scheduler.Log.Info().Str("event", "taskMissing").Str("request", string(m.task.Job)).
		Stringer("task", m.task).Int("attempt", m.attempt).Str("worker", string(m.worker.id)).Stringer("phase", m.phase).
		Int("listedRunning", len(report.Running)).Int("listedEnds", len(report.Ended)).Send()
}

// applyRestart marks the members of the worker's earlier incarnation as lost. A
// start order may still reach the new incarnation, whose clock begins again, so
// that the order does not expire as planned: members that the report lists go on,
// and the other starting ones are stopped before they can start.
func (p *pool) applyRestart(w *worker, report workflow.Report) {
	if w.incarnation != 0 {
		w.suspect(p.scheduler.Now())
	}
	w.incarnation, w.lastAppliedEnd, w.lastSavedEnd, w.lastAckedEnd = report.Incarnation, 0, 0, 0
	w.failures, w.failedJob, w.avoidUntil = 0, "", time.Time{}
	p.modelsOf(w).speeds.Restarted(p.scheduler.Now(), w.id)
	reported := make(map[attemptKey]bool)
	for _, task := range report.Running {
		reported[attemptKey{task.Task, task.Attempt}] = true
	}
	for _, end := range report.Ended {
		reported[attemptKey{end.Task, end.Attempt}] = true
	}
	for key, m := range w.members {
		switch {
		case m.incarnation == report.Incarnation:
		case m.phase == planned:
			p.endMember(m, workflow.Void, "") // the worker may be of another kind now
			continue
		case reported[key]:
		case m.phase == starting:
			p.work.addStop(m)
			m.startUntil = neverReached
			m.stopAnsweredAt, m.stopSentAt = time.Time{}, time.Time{}
		case report.MoreEnds: // the new incarnation may have run it, with an end not listed
		default:
			p.endMember(m, workflow.Lost, "")
		}
		m.incarnation = report.Incarnation
		m.mark, m.progress = progressMark{}, progress{} // by the clock of the former one
	}
}

// neverReached is a time that a worker's clock never reaches.
const neverReached = time.Duration(1<<63 - 1)

// applyEnd ends the member of a reported end. A worker repeats an end until it is
// acknowledged, so that known numbers are skipped.
func (p *pool) applyEnd(w *worker, end workflow.EndedTask) {
	if end.Number <= w.lastAppliedEnd {
		return
	}
	w.lastAppliedEnd = end.Number
	wake(p.saveDue)
	m, known := w.members[attemptKey{end.Task, end.Attempt}]
	if !known {
		if g := p.applyUnknownEnd(end); g != nil {
			p.noteEnd(g.record, w, end.Number)
		}
		return
	}
	p.scheduler.Log.Info().Str("event", "taskEnded").Str("request", string(m.task.Job)).
		Stringer("task", m.task).Int("attempt", m.attempt).Str("worker", string(w.id)).
		Int64("number", end.Number).Str("outcome", string(end.Outcome)).Send()
	m.group.job.begun = true
	p.updateWorkerHealth(w, m, end.Outcome)
	p.endMember(m, end.Outcome, end.Checkpoint)
	p.noteEnd(m.group.record, w, end.Number)
}

// applyRunning updates a member that the worker reports as running. The time during
// which the worker was silent does not count as a stall: it may have been suspended.
func (p *pool) applyRunning(m *member, task workflow.RunningTask, now time.Time, wasSilent bool) {
	if m.phase != running {
		m.confirm(now)
	}
	p.noteProgress(m, task.Percent)
	if task.Percent != m.percent || wasSilent {
		m.percent, m.percentChangedAt = task.Percent, now
	}
	m.progress.observe(task.Percent, now)
	g := m.group
	if task.Checkpoint != "" && task.Checkpoint != g.checkpoint && g.attempt == m.attempt {
		g.checkpoint = task.Checkpoint
	}
}

// cannotRun reports whether a member missing from a complete report neither runs nor
// can still start. That holds if the report was made after the last moment at which
// the member could have started.
func (m *member) cannotRun(reportedClock time.Duration, renewalSent time.Time) bool {
	switch m.phase {
	case recovering:
		return true // the renewal carried this term, so that older orders are refused
	case starting:
		return reportedClock > m.startUntil || !m.stopAnsweredAt.IsZero() && m.stopAnsweredAt.Before(renewalSent)
	case running:
		return m.confirmedAt.Before(renewalSent)
	default:
		return false
	}
}

// expireLeases marks members as lost whose worker's lease has run out.
func (p *pool) expireLeases(now time.Time) {
	for _, w := range p.workers {
		if now.Before(w.leaseExpiry) {
			continue
		}
		p.forgetUnknown(w)
		for _, m := range w.members {
			p.endMember(m, workflow.Lost, "")
		}
	}
}
