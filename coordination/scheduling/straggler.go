package scheduling

import (
	"math"
	"time"
)

// maxMoves is how often one group is moved off slow workers: a second move means that the
// estimates are wrong.
const maxMoves = 1

// moveOverhead is what a move takes besides the stop: a save, a planning round and the starts.
const moveOverhead = 100 * time.Millisecond

// moveStragglers stops urgent groups that will miss their deadline on the workers where they
// run and would meet it on faster ones that are free now, even after the stop. It answers
// work that began on workers of unknown speed, or on one that has turned slow. It stops
// nothing while the evacuations are not known, as nothing may start then.
func (p *pool) moveStragglers(now time.Time) {
	if now.Sub(p.stragglersCheckedAt) < fitInterval {
		return
	}
	p.stragglersCheckedAt = now
	if p.scheduler.orderValidity(now) == 0 || p.saves.slow || p.saves.longestUnanswered(now) >= slowAnswer {
		return // the work could not start again soon
	}
	for g := range p.work.started {
		if g.job.Priority != 0 || g.phase != placed || g.moves >= maxMoves {
			continue
		}
		if choice := p.fasterPlacement(g, now); choice != nil {
			g.moves++
			g.avoidSlowest(now)
			p.stopGroup(g, reasonMoved)
			// The workers are reserved during this check, so that no other group is
			// stopped for the same ones.
			needs := g.step.Needs()
			for _, w := range choice.workers {
				w.used = w.used.Plus(needs)
				defer func() { w.used = w.used.Minus(needs) }()
			}
		}
	}
}

// alikeSlow is the least part of the slowest member's run time at which another member counts
// as equally slow.
const alikeSlow = 0.9

// avoidSlowest keeps the group's next attempt off the workers that held up this one.
func (g *group) avoidSlowest(now time.Time) {
	slowest := g.slowestMember()
	for _, m := range g.members {
		if m.alike(slowest) {
			g.noteFailure(m.worker.id, now)
		}
	}
}

// alike reports whether the member is about as slow as the slowest of its group.
func (m *member) alike(slowest *member) bool {
	return float64(m.runTime) >= alikeSlow*float64(slowest.runTime)
}

// fasterPlacement returns a placement on free workers where the group would meet its deadline,
// or nil if there is none or it does so where it runs, by the progress of its slowest member.
func (p *pool) fasterPlacement(g *group, now time.Time) *placement {
	slowest := g.slowestMember()
	if slowest == nil {
		return nil
	}
	done := float64(slowest.percent) / 100
	end := slowest.percentChangedAt.Add(time.Duration((1 - done) * float64(slowest.runTime)))
	work := p.workOf(g)
	deadline := g.deadline().Add(time.Duration(g.job.Stretch * float64(work-g.step.Estimate)))
	if !end.After(deadline) {
		return nil
	}
	if service := g.job.routing.Service; p.round.at != now || p.round.service != service {
		p.round = p.newRound(service, now)
	}
	choice := p.placeAgain(g, slowest, now)
	if choice == nil {
		return nil
	}
	factor := 0.0
	for _, w := range choice.workers {
		factor = max(factor, p.estimateSpeed(w).Factor*math.Exp(w.slowdown))
	}
	remaining := time.Duration(factor * float64(work))
	if g.checkpoint != "" {
		remaining = time.Duration(factor * (1 - done) * float64(work))
	}
	moved := now.Add(p.scheduler.Bounds.StopLimit + moveOverhead + remaining)
	if moved.After(deadline) {
		return nil
	}
	return choice
}

// placeAgain returns where the group would be placed if it had been stopped. The room of
// its slowest members is left out, as the next attempt avoids their workers.
func (p *pool) placeAgain(g *group, slowest *member, now time.Time) *placement {
	needs := g.step.Needs()
	for _, m := range g.members {
		if !m.alike(slowest) {
			m.worker.used = m.worker.used.Minus(needs)
			defer func() { m.worker.used = m.worker.used.Plus(needs) }()
		}
	}
	return p.place(g, now)
}

// workOf returns the run time of the group's work on a typical worker by the progress of its
// members, as the declared one is only an estimate. Members of a gang have equal work; the
// least is taken, since a worker may have turned slow only now.
func (p *pool) workOf(g *group) (work time.Duration) {
	for _, m := range g.members {
		typical := time.Duration(float64(m.runTime) / p.estimateSpeed(m.worker).Factor)
		if work == 0 || typical < work {
			work = typical
		}
	}
	return work
}

// slowestMember returns the member with the longest known run time, or nil if one is not
// known yet or no member runs.
func (g *group) slowestMember() (slowest *member) {
	for _, m := range g.members {
		if m.phase != running || m.runTime == 0 {
			return nil
		}
		if slowest == nil || m.runTime > slowest.runTime {
			slowest = m
		}
	}
	return slowest
}
