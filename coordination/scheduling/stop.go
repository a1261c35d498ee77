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
	// reasonAlreadyDone: an attempt that was taken for lost has done the work.
	reasonAlreadyDone = "stopAlreadyDone"
)

const (
	// stopRetryInterval is the time after which a stop is sent again while the
	// member has not ended.
	stopRetryInterval = 300 * time.Millisecond
	// stopTimeout bounds one stop call.
	stopTimeout = 400 * time.Millisecond
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

// sendStops sends the stops that are due. The caller holds the lock.
func (p *pool) sendStops(now time.Time) {
	for m := range p.work.stops {
		if now.Sub(m.stopSentAt) >= stopRetryInterval && !m.worker.info.isPlaceholder() {
			m.stopSentAt = now
			target := m.worker.info.Worker
			p.scheduler.goroutines.Go(func() { p.stopMember(m, target) })
		}
	}
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
	p.mu.Lock()
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
