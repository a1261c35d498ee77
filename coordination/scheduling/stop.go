package scheduling

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/state/workflow"
)

// The reasons for which an attempt is stopped; each has its counter.
const (
	reasonCancelled  = "stopCancelled"
	reasonIncomplete = "stopIncomplete"
	reasonReclaimed  = "stopReclaimed"
	reasonStalled    = "stopStalled"
)

const (
	// stopRetry is the time after which an unanswered stop is sent again.
	stopRetry = 300 * time.Millisecond
	// stopTimeout bounds one stop.
	stopTimeout = 400 * time.Millisecond
)

// stopGroup ends the present attempt of a group.
func (p *pool) stopGroup(g *group, reason string) {
	switch g.phase {
	case waiting:
		if g.job.status.Final() {
			p.settle(g)
		}
		return
	case finished, stopping:
		return
	}
	p.scheduler.Count(reason)
	p.scheduler.Log.Info().Str("event", "attemptStopped").Str("request", string(g.job.ID)).
		Int("step", g.id.Step).Int("index", g.id.Index).Int("attempt", g.attempt).Str("reason", reason).Send()
	g.phase = stopping
	p.agenda.drop(g)
	for _, m := range g.members {
		switch m.phase {
		case planned:
			p.resolve(m, workflow.Void, "")
		case ended:
		default:
			p.agenda.stop(m)
		}
	}
	signal(p.planDue)
}

// sendStops sends each stop that is due; the lock is held.
func (p *pool) sendStops(now time.Time) {
	for m := range p.agenda.stops {
		if now.Sub(m.stopSent) >= stopRetry && !m.worker.info.isPlaceholder() {
			m.stopSent = now
			at := m.worker.info.Worker
			p.scheduler.loops.Go(func() { p.stopMember(m, at) })
		}
	}
}

func (p *pool) stopMember(m *member, at workflow.Worker) {
	if !p.scheduler.Authorised() {
		return
	}
	ctx, cancel := context.WithTimeout(p.scheduler.ctx, stopTimeout)
	defer cancel()
	order := StopOrder{Term: p.scheduler.Term, Task: m.task, Attempt: m.attempt}
	err := p.scheduler.Workers.Stop(ctx, at, order)
	switch {
	case err == nil:
		p.mu.Lock()
		defer p.mu.Unlock()
		if m.stopHeard.IsZero() {
			m.stopHeard = p.scheduler.Now()
		}
		signal(m.worker.look)
	case errors.Is(err, ErrTermEnded):
		p.scheduler.end(err)
	case p.scheduler.ctx.Err() == nil:
		p.scheduler.Count(retryStop)
		p.scheduler.Log.Warn().Str("event", "stopUnanswered").Str("request", string(m.task.Job)).
			Stringer("task", m.task).Int("attempt", m.attempt).Err(err).Send()
	}
}
