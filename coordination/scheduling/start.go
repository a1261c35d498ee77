package scheduling

import (
	"context"
	"time"

	"comfreystream/state"
	"comfreystream/state/workflow"
)

const (
	// startValidity is how long an order to start stays valid at the worker;
	// a gang's members must all come within the shortest gang timeout, 3 s.
	startValidity = 1500 * time.Millisecond
	// firstStartTimeout bounds the first try, each further one has twice the
	// time: several round trips and a lost packet, all within the validity.
	firstStartTimeout = 200 * time.Millisecond
	startTries        = 3
)

// startGroup orders the members of a group whose attempt is on record and
// whose room is free; the lock is held.
func (p *pool) startGroup(g *group) {
	for _, v := range g.victims {
		if !v.gone() {
			return
		}
	}
	g.ordered, g.victims, g.placedAt = true, nil, p.scheduler.Now()
	p.agenda.watch(g)
	for _, m := range g.members {
		if m.phase != planned {
			continue
		}
		m.phase = ordered
		m.startUntil = m.worker.clockAt(g.placedAt) + startValidity
		order := StartOrder{
			Term: p.scheduler.Term, Task: m.task, Attempt: m.attempt,
			Spec: g.job.Spec, Checkpoint: g.checkpoint, Until: m.startUntil,
		}
		at := m.worker.info.Worker
		p.scheduler.loops.Go(func() { p.startMember(m, at, order) })
	}
}

// victim is an attempt that is stopped to make room.
type victim struct {
	group   *group
	attempt int
}

// gone reports whether the attempt takes no room any more.
func (v victim) gone() bool { return v.group.attempt != v.attempt || v.group.allEnded() }

// victimTimeout is how long stopped groups may take to end; then the group
// that waits for them is placed anew.
const victimTimeout = 1500 * time.Millisecond

// startOrGiveUp starts a group whose room may be free by now.
func (p *pool) startOrGiveUp(g *group, now time.Time) {
	p.startGroup(g)
	if !g.ordered && now.Sub(g.placedAt) > victimTimeout {
		p.stopGroup(g, reasonIncomplete)
	}
}

// startMember tries until the worker has answered or the order is void. A
// repeated order is harmless, as the worker knows the attempt's number.
func (p *pool) startMember(m *member, at workflow.Worker, order StartOrder) {
	ambiguous := false
	timeout := firstStartTimeout
	for range startTries {
		if !p.mayStart(m) {
			break
		}
		ctx, cancel := context.WithTimeout(p.scheduler.ctx, timeout)
		result, err := p.scheduler.Workers.Start(ctx, at, order)
		cancel()
		if err == nil {
			p.startAnswered(m, result, ambiguous)
			return
		}
		ambiguous = ambiguous || state.IsAmbiguous(err)
		timeout *= 2
		p.scheduler.Count(retryStart)
		p.scheduler.Log.Warn().Str("event", "startUnanswered").Str("request", string(m.task.Job)).
			Stringer("task", m.task).Int("attempt", m.attempt).Err(err).Send()
	}
	p.startGivenUp(m, ambiguous)
}

// mayStart is asked right before each order, as the process may have paused.
func (p *pool) mayStart(m *member) bool {
	if !p.scheduler.Authorised() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.phase == ordered && !m.stopWanted && m.group.phase == placed && m.worker.clockAt(p.scheduler.Now()) < m.startUntil
}

func (p *pool) startAnswered(m *member, result StartResult, ambiguous bool) {
	p.scheduler.Count(string(result))
	p.scheduler.Log.Info().Str("event", "startAnswered").Str("request", string(m.task.Job)).
		Stringer("task", m.task).Int("attempt", m.attempt).Str("worker", string(m.worker.id)).
		Str("result", string(result)).Send()
	if result == RefusedTerm {
		p.scheduler.end(ErrTermEnded)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.phase != ordered {
		return
	}
	if result == Started {
		m.phase, m.confirmed = running, p.scheduler.Now()
		m.percentAt = m.confirmed
		return
	}
	m.worker.refused(result, p.scheduler.Now())
	if !ambiguous {
		p.resolve(m, workflow.Void, "")
	}
}

// startGivenUp leaves a member that may have started to the worker's lists.
func (p *pool) startGivenUp(m *member, ambiguous bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.worker.avoidUntil = p.scheduler.Now().Add(unansweredPause)
	if m.phase != ordered || ambiguous {
		return
	}
	p.resolve(m, workflow.Void, "")
}
