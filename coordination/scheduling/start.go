package scheduling

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

const (
	// startValidity is how long a worker may carry out a start order. All members
	// of a gang must start within the shortest gang timeout, 3 s.
	startValidity = 1500 * time.Millisecond
	// firstStartTimeout bounds the first try; each further try gets twice the time.
	// It covers several round trips and a lost packet, and all tries together take
	// less than startValidity.
	firstStartTimeout = 200 * time.Millisecond
	maxStartTries     = 3
	// maxStartSenders is how many starts are sent to a worker at a time. Together with the
	// stops and renewals they stay under the 64 connections that a worker accepts.
	maxStartSenders = 32
)

// startGroup starts the members of a group whose attempt is stored, once its
// victims have ended and no other attempt may run. The caller holds the lock.
func (p *pool) startGroup(g *group) {
	if p.mayRunElsewhere(g, p.scheduler.Now()) {
		return
	}
	for _, v := range g.victims {
		if !v.hasReleased(g) {
			return
		}
	}
	now := p.scheduler.Now()
	validity := p.scheduler.orderValidity(now)
	if p.stopEvacuated(g) || validity == 0 {
		return
	}
	g.startsSent, g.victims, g.placedAt = true, nil, now
	p.work.addStarted(g)
	for _, m := range g.members {
		if m.phase != planned {
			continue
		}
		m.phase = starting
		m.startUntil = m.worker.estimateClock(now) + validity
		m.worker.extendByStart(now)
		order := StartOrder{
			Term: p.scheduler.Term, Task: m.task, Attempt: m.attempt,
			Spec: g.job.Spec, Checkpoint: g.checkpoint, Until: m.startUntil,
		}
		target := m.worker.info.Worker
		p.startsPending++
		p.scheduler.goroutines.Go(func() { p.startMember(m, target, order) })
	}
}

// victim is an attempt that is stopped to free its capacity.
type victim struct {
	group   *group
	attempt int
}

// hasReleased reports whether the attempt has released the capacity on the workers of
// the group that waits for it. Members of it elsewhere may be on a worker that has gone
// and count as running until its lease has run out.
func (v victim) hasReleased(g *group) bool {
	if v.group.attempt != v.attempt {
		return true
	}
	for _, m := range v.group.members {
		if m.phase != ended && slices.ContainsFunc(g.members, func(own *member) bool { return own.worker == m.worker }) {
			return false
		}
	}
	return true
}

// victimTimeout is how long victims may take to end. After that, the group that
// waits for them is placed again.
const victimTimeout = 1500 * time.Millisecond

// startOrAbandon starts a group if its victims have ended and no other attempt may run,
// and gives up the attempt if that takes too long.
func (p *pool) startOrAbandon(g *group, now time.Time) {
	p.startGroup(g)
	if !g.startsSent && now.Sub(latest(g.placedAt, g.earlier.since)) > victimTimeout {
		p.stopGroup(g, reasonIncomplete)
	}
}

// startMember sends a start order until the worker answers or the order becomes
// invalid. A repeated order is harmless, since the worker recognises the attempt; it is
// held back while the worker may have restarted.
func (p *pool) startMember(m *member, target workflow.Worker, order StartOrder) {
	sent, ambiguous := false, false
	timeout := firstStartTimeout
	for range maxStartTries {
		if sent && p.mayHaveRestarted(m.worker) {
			pause.For(p.scheduler.ctx, timeout)
			timeout *= 2
			continue
		}
		result, err := p.tryStart(m, target, order, timeout)
		if errors.Is(err, errNotSent) {
			break
		}
		sent = true
		if err == nil {
			p.handleStartAnswer(m, result, ambiguous)
			return
		}
		ambiguous = ambiguous || state.IsAmbiguous(err)
		timeout *= 2
		p.scheduler.Count(retryStart)
		p.scheduler.Log.Warn().Str("event", "startUnanswered").Str("request", string(m.task.Job)).
			Stringer("task", m.task).Int("attempt", m.attempt).Err(err).Send()
	}
	p.abandonStart(m, sent, ambiguous)
}

// errNotSent means that a start order was no longer valid when its turn came.
var errNotSent = errors.New("the start order is not valid any more")

// tryStart sends the order once its turn has come; the time limit begins then.
func (p *pool) tryStart(m *member, target workflow.Worker, order StartOrder, timeout time.Duration) (StartResult, error) {
	releaseWorker, ok := acquire(p.scheduler.ctx, m.worker.starts)
	if !ok {
		return "", errNotSent
	}
	defer releaseWorker()
	release, ok := acquire(p.scheduler.ctx, p.scheduler.starts)
	if !ok {
		return "", errNotSent
	}
	defer release()
	if !p.mayStart(m) {
		return "", errNotSent
	}
	ctx, cancel := context.WithTimeout(p.scheduler.ctx, timeout)
	defer cancel()
	return p.scheduler.Workers.Start(ctx, target, order)
}

// mayStart reports whether the order is still valid and its worker not in an evacuated
// zone. It is called right before each try, since the process may have been paused.
func (p *pool) mayStart(m *member) bool {
	if !p.scheduler.Authorised() {
		return false
	}
	p = p.lock()
	defer p.mu.Unlock()
	return m.phase == starting && !m.stopWanted && m.group.phase == placed && !p.evacuated(m.worker) && m.worker.estimateClock(p.scheduler.Now()) < m.startUntil
}

// handleStartAnswer applies the worker's answer. After an ambiguous earlier try, a
// refusal does not prove that the member is not running: the reports show that.
func (p *pool) handleStartAnswer(m *member, result StartResult, ambiguous bool) {
	p.scheduler.Count(string(result))
	p.scheduler.Log.Info().Str("event", "startAnswered").Str("request", string(m.task.Job)).
		Stringer("task", m.task).Int("attempt", m.attempt).Str("worker", string(m.worker.id)).
		Str("result", string(result)).Send()
	if result == RefusedTerm {
		p.scheduler.endTerm(ErrTermEnded)
		return
	}
	p = p.lock()
	defer p.mu.Unlock()
	p.endPendingStart()
	if m.phase != starting {
		return
	}
	if result == Started {
		m.confirm(p.scheduler.Now())
		return
	}
	m.worker.recordRefusal(result, p.scheduler.Now())
	if !ambiguous {
		p.endMember(m, workflow.Void, "")
	}
}

// abandonStart ends a member whose start was not answered. If the member may have
// started, it waits for the worker's next reports instead.
func (p *pool) abandonStart(m *member, sent, ambiguous bool) {
	p = p.lock()
	defer p.mu.Unlock()
	p.endPendingStart()
	if sent {
		m.worker.avoidFor(p.scheduler.Now(), unansweredPause)
	}
	if m.phase != starting || ambiguous {
		return
	}
	p.endMember(m, workflow.Void, "")
}

// endPendingStart counts one start less without an answer, and has a round placed
// what waited for that. The caller holds the lock.
func (p *pool) endPendingStart() {
	p.startsPending--
	if p.startsPending == startBacklog/2 {
		wake(p.planDue)
	}
}
