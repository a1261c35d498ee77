package scheduling

import (
	"time"

	"comfreystream/state/workflow"
)

// minStallTimeout is the least time that a task may report the same percentage. The
// slowest task worth keeping, an 11 s task at a third of its speed, gains a percent
// every 0.4 s.
const minStallTimeout = 2500 * time.Millisecond

// updateWorkerHealth counts a worker's consecutive failures, skipping a repeated
// failure of the same job, and quarantines the worker if there are too many.
func (p *pool) updateWorkerHealth(w *worker, m *member, outcome workflow.Outcome) {
	switch outcome {
	case workflow.Done:
		w.failures, w.failedJob = 0, ""
		w.suspectUntil = time.Time{}
	case workflow.Faulted:
		if w.failedJob != m.task.Job {
			w.failures++
		}
		w.failedJob = m.task.Job
		w.suspect(p.scheduler.Now())
		if w.failures >= unhealthyFailures {
			p.quarantine(w, "failures", unhealthyPause)
		}
	}
}

// quarantine excludes the worker from placement for the length of the pause.
func (p *pool) quarantine(w *worker, cause string, pause time.Duration) {
	w.avoidFor(p.scheduler.Now(), pause)
	p.scheduler.Count(workerQuarantined)
	p.scheduler.Log.Warn().Str("event", "workerQuarantined").Str("worker", string(w.id)).
		Str("cause", cause).Int("failures", w.failures).Dur("pause", pause).Send()
}

// stopStalled stops the groups that have a stalled task and quarantines the
// workers of the stalled tasks. It checks at most once per planInterval.
func (p *pool) stopStalled(now time.Time) {
	if now.Sub(p.work.stallsCheckedAt) < planInterval {
		return
	}
	p.work.stallsCheckedAt = now
	for g := range p.work.started {
		if !g.step.LongRunning {
			p.stopIfStalled(g, now)
		}
	}
}

// stopIfStalled stops a group that has a stalled task. It leaves a group alone
// unless all members run and all their workers report, since a silent worker's
// percentages are out of date.
func (p *pool) stopIfStalled(g *group, now time.Time) {
	stalled := false
	maxReportAge, stallTimeout := p.maxReportAge(), p.stallTimeout()
	for _, m := range g.members {
		if m.phase != running || now.Sub(m.worker.reportedAt) > maxReportAge {
			return
		}
		if m.percent < 100 && now.Sub(m.percentChangedAt) > stallTimeout && now.Sub(g.placedAt) > stallTimeout {
			stalled = true
		}
	}
	if !stalled {
		return
	}
	for _, m := range g.members {
		if now.Sub(m.percentChangedAt) > stallTimeout {
			g.noteFailure(m.worker.id, now)
			p.quarantine(m.worker, "stalled", unhealthyPause)
		}
	}
	p.stopGroup(g, reasonStalled)
}
