package scheduling

import (
	"time"

	"comfreystream/state/workflow"
)

const (
	// minStallTimeout is the least time that a task may report the same percentage. The
	// slowest of the short tasks, 11 s at a third of the usual speed, gain a percent every 0.4 s.
	minStallTimeout = 2500 * time.Millisecond
	// maxSlowdown is how many times as long as so far a percent of a task's work may take: its
	// worker may turn slow, or get other work.
	maxSlowdown = 4
	// undeclaredFraction is the part of its declared run time for which a task may report the
	// same percentage while its rate is not known. A percent may take ten times as long as
	// declared, and twice that on a slow worker.
	undeclaredFraction = 0.22
	// maxStallDoublings bounds how often the time doubles with the stalls of a group.
	maxStallDoublings = 12
)

// stallTimeout returns how long the member may report the same percentage. It follows the
// rate of the member, or the declared run time as long as that is not known. It doubles with
// each stall of the group, so that a task which only is slower than expected ends at last.
// Within it, at least one renewal is answered by a worker that is not silent.
func (p *pool) stallTimeout(m *member) time.Duration {
	g := m.group
	expected := scale(g.step.Estimate, undeclaredFraction)
	if perPercent, known := m.progress.perPercent(m.percentChangedAt); known {
		expected = maxSlowdown * perPercent
	}
	return max(minStallTimeout, p.maxReportAge(), expected) << min(g.stalls, maxStallDoublings)
}

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
	maxReportAge := p.maxReportAge()
	var stalled []*member
	for _, m := range g.members {
		if m.phase != running || now.Sub(m.worker.reportedAt) > maxReportAge {
			return
		}
		unchanged := now.Sub(latest(m.percentChangedAt, g.placedAt))
		if m.percent < 100 && unchanged > minStallTimeout && unchanged > p.stallTimeout(m) {
			stalled = append(stalled, m)
		}
	}
	if len(stalled) == 0 {
		return
	}
	for _, m := range stalled {
		p.scheduler.Log.Warn().Str("event", "taskStalled").Str("request", string(g.job.ID)).Stringer("task", m.task).Int("attempt", m.attempt).
			Str("worker", string(m.worker.id)).Int("percent", m.percent).Dur("unchanged", now.Sub(m.percentChangedAt)).
			Dur("timeout", p.stallTimeout(m)).Dur("estimate", g.step.Estimate).Int("stalls", g.stalls).Send()
		g.noteFailure(m.worker.id, now)
		p.quarantine(m.worker, "stalled", unhealthyPause)
	}
	g.stalls++
	p.stopGroup(g, reasonStalled)
}
