package scheduling

import (
	"time"

	"comfreystream/state/workflow"
)

// stallTimeout is how long a task's percent may stand still; the slowest work
// that is worth keeping, three times slower than 11 s, moves each 0.4 s.
const stallTimeout = 2500 * time.Millisecond

// noteHealth counts failures in a row, of different jobs, against the worker.
func (p *pool) noteHealth(w *worker, m *member, outcome workflow.Outcome) {
	switch outcome {
	case workflow.Done:
		w.failures, w.failedJob = 0, ""
	case workflow.Faulted:
		if w.failedJob != m.task.Job {
			w.failures++
		}
		w.failedJob = m.task.Job
		if w.failures >= suspectFailures {
			p.quarantine(w, "failures", unhealthyPause)
		}
	}
}

// quarantine keeps new work from the worker for a while.
func (p *pool) quarantine(w *worker, cause string, pause time.Duration) {
	w.avoidUntil = p.scheduler.Now().Add(pause)
	p.scheduler.Count(workerQuarantined)
	p.scheduler.Log.Warn().Str("event", "workerQuarantined").Str("worker", string(w.id)).
		Str("cause", cause).Int("failures", w.failures).Dur("pause", pause).Send()
}

// stopStalled stops groups of which a task has stood still, and keeps new
// work from the workers that are at fault.
func (p *pool) stopStalled(now time.Time) {
	if now.Sub(p.agenda.stallsSought) < planTick {
		return
	}
	p.agenda.stallsSought = now
	for g := range p.agenda.atWork {
		if !g.step.LongRunning {
			p.stopIfStalled(g, now)
		}
	}
}

func (p *pool) stopIfStalled(g *group, now time.Time) {
	stalled := false
	for _, m := range g.members {
		if m.phase != running || now.Sub(m.worker.heard) > heardWithin {
			return
		}
		if m.percent < 100 && now.Sub(m.percentAt) > stallTimeout && now.Sub(g.placedAt) > stallTimeout {
			stalled = true
		}
	}
	if !stalled {
		return
	}
	for _, m := range g.members {
		if now.Sub(m.percentAt) > stallTimeout {
			g.avoidWorker(m.worker.id)
			p.quarantine(m.worker, "stalled", unhealthyPause)
		}
	}
	p.stopGroup(g, reasonStalled)
}
