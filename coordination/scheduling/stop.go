package scheduling

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/state/workflow"
)

// The reasons for stopping an attempt, which are also counted events.
const (
	reasonCancelled  = "stopCancelled"
	reasonIncomplete = "stopIncomplete"
	reasonReclaimed  = "stopReclaimed"
	reasonStalled    = "stopStalled"
	// reasonDisplaced: a guaranteed group makes room for another and is placed elsewhere.
	reasonDisplaced = "stopDisplaced"
	// reasonMoved: the work finishes earlier on faster workers, after a new start.
	reasonMoved = "stopMoved"
	// reasonEvacuated: the attempt was placed in a zone that is evacuated and was not sent.
	reasonEvacuated = "stopEvacuated"
	// reasonLeaving: a worker of the attempt leaves before the attempt can end.
	reasonLeaving = "stopLeaving"
	// reasonAlreadyDone: an attempt that was taken for lost has done the work.
	reasonAlreadyDone = "stopAlreadyDone"
)

const (
	// stopRetryInterval is the time after which a stop is sent again while the
	// member has not ended.
	stopRetryInterval = 300 * time.Millisecond
	// stopTimeout bounds one stop call.
	stopTimeout = 400 * time.Millisecond
	// maxStopSenders is how many stops are sent to a worker at a time. It leaves most of
	// the 64 connections that a worker accepts to starts and renewals.
	maxStopSenders = 16
)

// stopGroup stops the current attempt of a group, or rules out further attempts if
// it has none and its job has ended.
func (p *pool) stopGroup(g *group, reason string) {
	switch g.phase {
	case waiting:
		if g.job.status.Final() {
			p.closeGroup(g)
		}
		return
	case finished, stopping:
		return
	}
	p.scheduler.Count(reason)
	p.scheduler.Log.Info().Str("event", "attemptStopped").Str("request", string(g.job.ID)).
		Int("step", g.id.Step).Int("index", g.id.Index).Int("attempt", g.attempt).Str("reason", reason).Send()
	g.phase = stopping
	p.work.remove(g)
	for _, m := range g.members {
		switch m.phase {
		case planned:
			p.endMember(m, workflow.Void, "")
		case ended:
		default:
			p.work.addStop(m)
		}
	}
	wake(p.planDue)
}

// sendStops begins to send the stops that are due, a few at a time to each worker: one
// accepts a limited number of connections. The caller holds the lock.
func (p *pool) sendStops(now time.Time) {
	for m := range p.work.stops {
		w := m.worker
		if w.stopSenders < maxStopSenders && p.stopDue(m, now) {
			w.stopSenders++
			m.stopSentAt = now
			p.scheduler.goroutines.Go(func() { p.sendStopsTo(w, m) })
		}
	}
}

// stopDue reports whether a stop of the member is to be sent, or sent again. One that
// was answered takes effect within StopLimit.
func (p *pool) stopDue(m *member, now time.Time) bool {
	interval := stopRetryInterval
	if !m.stopAnsweredAt.IsZero() {
		interval = max(interval, p.scheduler.Bounds.StopLimit)
	}
	return now.Sub(m.stopSentAt) >= interval && !m.worker.info.isPlaceholder()
}

// sendStopsTo stops the member and then others on its worker, until none is due.
func (p *pool) sendStopsTo(w *worker, m *member) {
	for m != nil {
		p = p.lock()
		target := w.info.Worker
		p.mu.Unlock()
		p.stopMember(m, target)
		m = p.nextStop(w)
	}
}

// nextStop returns a member on the worker whose stop is due, or ends the sender.
func (p *pool) nextStop(w *worker) *member {
	p = p.lock()
	defer p.mu.Unlock()
	now := p.scheduler.Now()
	for _, m := range w.members {
		if _, wanted := p.work.stops[m]; wanted && p.scheduler.ctx.Err() == nil && p.stopDue(m, now) {
			m.stopSentAt = now
			return m
		}
	}
	w.stopSenders--
	return nil
}

// stopMember sends one stop. The member ends once the worker's reports show it.
func (p *pool) stopMember(m *member, target workflow.Worker) {
	if !p.scheduler.Authorised() {
		return
	}
	ctx, cancel := context.WithTimeout(p.scheduler.ctx, stopTimeout)
	defer cancel()
	order := StopOrder{Term: p.scheduler.Term, Task: m.task, Attempt: m.attempt}
	err := p.scheduler.Workers.Stop(ctx, target, order)
	switch {
	case err == nil:
		p.handleStopAnswer(m)
	case errors.Is(err, ErrTermEnded):
		p.scheduler.endTerm(err)
	case p.scheduler.ctx.Err() == nil:
		p.scheduler.Count(retryStop)
		p.scheduler.Log.Warn().Str("event", "stopUnanswered").Str("request", string(m.task.Job)).
			Stringer("task", m.task).Int("attempt", m.attempt).Err(err).Send()
	}
}

// handleStopAnswer notes the answer to a stop. For a member whose start is
// unconfirmed, it asks the worker at once whether the member has ended: if it had
// never begun, there is no end that would cut short the wait of a renewal.
func (p *pool) handleStopAnswer(m *member) {
	p = p.lock()
	first := m.stopAnsweredAt.IsZero()
	if first {
		m.stopAnsweredAt = p.scheduler.Now()
	}
	confirm := first && m.phase == starting && p.renewWait() > minRenewWait
	wake(m.worker.renewDue)
	p.mu.Unlock()
	if !confirm {
		return
	}
	if err := p.renew(m.worker, false); errors.Is(err, ErrTermEnded) {
		p.scheduler.endTerm(err)
	}
}
