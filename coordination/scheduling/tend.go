package scheduling

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
	"comfreystream/state/workflow"
)

const (
	// renewWait is how long a renewal waits for an end; the lease is renewed
	// that often, so that a cut of nearly its length does not end it.
	renewWait = 500 * time.Millisecond
	// renewTimeout adds what a slow link may take.
	renewTimeout = renewWait + 300*time.Millisecond
	// acknowledgeWithin is how old a report may be whose ends are acknowledged:
	// the worker may have started anew since, and its numbers with it. It is
	// below the time in which a new life could start and end a task.
	acknowledgeWithin = 600 * time.Millisecond
	// recordWait bounds the wait for the record between renewals.
	recordWait = 250 * time.Millisecond
	// renewPause is the time between failed renewals.
	renewPause = 150 * time.Millisecond
)

// tend renews the worker's lease and takes its reports until the term ends.
func (p *pool) tend(w *worker) {
	silent := false
	for p.scheduler.ctx.Err() == nil {
		err := p.renew(w)
		if err == nil {
			if silent {
				p.scheduler.Log.Info().Str("event", "workerRegained").Str("worker", string(w.id)).Send()
			}
			silent = false
			p.awaitRecord(w)
			continue
		}
		if errors.Is(err, ErrTermEnded) {
			p.scheduler.end(err)
			return
		}
		if !silent && p.scheduler.ctx.Err() == nil {
			silent = true
			p.scheduler.Count(workerSilent)
			p.scheduler.Log.Warn().Str("event", "workerLost").Str("worker", string(w.id)).Err(err).Send()
		}
		pause.For(p.scheduler.ctx, renewPause)
	}
}

// awaitRecord waits until the ends that were listed are on record, as the
// worker would list them again at once, but no longer than leases allow.
func (p *pool) awaitRecord(w *worker) {
	p.mu.Lock()
	recorded := w.acknowledged >= w.applied
	p.mu.Unlock()
	if recorded {
		return
	}
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-p.scheduler.ctx.Done():
	case <-w.look:
	case <-timer.C:
	}
}

// renew makes one call; it asks for no wait when something awaits its answer.
func (p *pool) renew(w *worker) error {
	if !p.scheduler.Authorised() {
		return errors.New("the term is not sure to go on")
	}
	p.mu.Lock()
	now := p.scheduler.Now()
	order := RenewOrder{Term: p.scheduler.Term, Wait: renewWait}
	if now.Sub(w.heard) <= acknowledgeWithin {
		order.Acknowledged = w.acknowledged
	}
	if w.awaitsAnswer() {
		order.Wait = 0
	}
	if now.Sub(w.heard) <= heardWithin {
		// A silent worker's lease is left to run out, so that its end is known.
		order.Until = w.clockAt(now) + p.scheduler.Bounds.LeaseLimit
		w.leaseEnds = p.leaseEnd(now)
	} else {
		order.Wait = 0
	}
	at := w.info.Worker
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.scheduler.ctx, renewTimeout)
	defer cancel()
	report, err := p.scheduler.Workers.Renew(ctx, at, order)
	if err != nil {
		return err
	}
	p.take(w, report, now)
	return nil
}

// awaitsAnswer reports whether a stop was answered whose end is not listed.
func (w *worker) awaitsAnswer() bool {
	for _, m := range w.members {
		if !m.stopHeard.IsZero() && m.phase == ordered {
			return true
		}
	}
	return false
}

// take applies a report whose call was sent at the time.
func (p *pool) take(w *worker, report workflow.Report, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.scheduler.Now()
	first := w.heard.IsZero()
	if report.Life != w.life {
		p.newLife(w, report)
		first = true
	}
	w.heard, w.clock = now, report.Clock
	for _, end := range report.Ends {
		p.takeEnd(w, end)
	}
	listed := make(map[attemptKey]bool, len(report.Running))
	w.strangers = false
	for _, task := range report.Running {
		key := attemptKey{task.Task, task.Attempt}
		listed[key] = true
		m, known := w.members[key]
		if !known {
			p.stopStranger(w, task, now)
			continue
		}
		p.takeRunning(m, task, now)
	}
	for key, m := range w.members {
		if !listed[key] && m.gone(report.Clock, sent) {
			p.resolve(m, workflow.Void, "")
		}
	}
	if first {
		signal(p.planDue)
		signal(p.saveDue)
	}
}

// newLife ends all that ran in the worker's earlier life. An order to start
// may reach the new life all the same, whose clock begins anew: what is listed
// there goes on, and what may still come is stopped before it does.
func (p *pool) newLife(w *worker, report workflow.Report) {
	w.life, w.applied, w.acknowledged = report.Life, 0, 0
	w.failures, w.failedJob, w.avoidUntil = 0, "", time.Time{}
	listed := make(map[attemptKey]bool)
	for _, task := range report.Running {
		listed[attemptKey{task.Task, task.Attempt}] = true
	}
	for _, end := range report.Ends {
		listed[attemptKey{end.Task, end.Attempt}] = true
	}
	for key, m := range w.members {
		switch {
		case m.life == report.Life || m.phase == planned:
		case listed[key]:
		case m.phase == ordered:
			p.agenda.stop(m)
			m.startUntil = never
			m.stopHeard, m.stopSent = time.Time{}, time.Time{}
		default:
			p.resolve(m, workflow.Lost, "")
		}
		m.life = report.Life
	}
}

// never is a time of a worker's clock that does not come.
const never = time.Duration(1<<63 - 1)

func (p *pool) takeEnd(w *worker, end workflow.End) {
	if end.Number <= w.applied {
		return
	}
	w.applied = end.Number
	signal(p.saveDue)
	m, known := w.members[attemptKey{end.Task, end.Attempt}]
	if !known {
		return
	}
	p.scheduler.Log.Info().Str("event", "taskEnded").Str("request", string(m.task.Job)).
		Stringer("task", m.task).Int("attempt", m.attempt).Str("worker", string(w.id)).
		Int64("number", end.Number).Str("outcome", string(end.Outcome)).Send()
	p.noteHealth(w, m, end.Outcome)
	p.resolve(m, end.Outcome, end.Checkpoint)
}

func (p *pool) takeRunning(m *member, task workflow.RunningTask, now time.Time) {
	if m.phase != running {
		m.phase, m.confirmed, m.percentAt = running, now, now
	}
	if task.Percent != m.percent {
		m.percent, m.percentAt = task.Percent, now
	}
	g := m.group
	if task.Checkpoint != "" && task.Checkpoint != g.checkpoint && g.attempt == m.attempt {
		g.checkpoint = task.Checkpoint
	}
}

// gone reports whether a member that a report does not list can be neither
// running nor about to start: the report was made after the last chance.
func (m *member) gone(clock time.Duration, sent time.Time) bool {
	switch m.phase {
	case recovering:
		return true // the report carried this term, so older orders are refused
	case ordered:
		return clock > m.startUntil || !m.stopHeard.IsZero() && m.stopHeard.Before(sent)
	case running:
		return m.confirmed.Before(sent)
	default:
		return false
	}
}

// stopStranger stops an attempt that no group of this term has.
func (p *pool) stopStranger(w *worker, task workflow.RunningTask, now time.Time) {
	w.strangers = true
	stranger := &member{task: task.Task, attempt: task.Attempt, worker: w}
	if now.Sub(w.strangerStopSent) < stopRetry {
		return
	}
	w.strangerStopSent = now
	p.scheduler.Count(strangerStopped)
	p.scheduler.Log.Warn().Str("event", "strangerStopped").Stringer("task", task.Task).
		Int("attempt", task.Attempt).Str("worker", string(w.id)).Send()
	at := w.info.Worker
	p.scheduler.loops.Go(func() { p.stopMember(stranger, at) })
}

// expireLeases ends what ran on workers that were not heard for a whole lease.
func (p *pool) expireLeases(now time.Time) {
	for _, w := range p.workers {
		if len(w.members) == 0 || now.Before(w.leaseEnds) {
			continue
		}
		for _, m := range w.members {
			p.resolve(m, workflow.Lost, "")
		}
	}
}
