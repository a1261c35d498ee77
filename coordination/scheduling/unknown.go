package scheduling

import (
	"slices"
	"time"

	"comfreystream/state/workflow"
)

// An attempt is unknown to the planner if it was taken for one that cannot run, or
// is of an earlier planner. That planner may still give orders during the overlap,
// and a worker that has restarted does not refuse them as older until it hears from
// this one.

// reportUnknown stops an attempt that belongs to no group of this planner. Its task
// gets no other attempt as long as a worker reports it, or may have an end of it that
// its reports leave out.
func (p *pool) reportUnknown(w *worker, task workflow.RunningTask, now time.Time) {
	if !slices.Contains(w.unknownTasks, task.Task) {
		w.unknownTasks = append(w.unknownTasks, task.Task)
		p.unknownRuns[task.Task]++
	}
	unknown := &member{task: task.Task, attempt: task.Attempt, worker: w}
	if now.Sub(w.unknownStopSentAt) < stopRetryInterval {
		return
	}
	w.unknownStopSentAt = now
	p.scheduler.Count(unknownAttemptStopped)
	p.scheduler.Log.Warn().Str("event", "strangerStopped").Stringer("task", task.Task).
		Int("attempt", task.Attempt).Str("worker", string(w.id)).Send()
	target := w.info.Worker
	p.scheduler.goroutines.Go(func() { p.stopMember(unknown, target) })
}

// forgetUnknown forgets the unknown attempts that the worker reported.
func (p *pool) forgetUnknown(w *worker) {
	for _, task := range w.unknownTasks {
		if p.unknownRuns[task]--; p.unknownRuns[task] <= 0 {
			delete(p.unknownRuns, task)
		}
	}
	w.unknownTasks = nil
}

// runsUnknown reports whether a worker runs an unknown attempt of one of the
// group's tasks.
func (p *pool) runsUnknown(g *group) bool {
	if len(p.unknownRuns) == 0 {
		return false
	}
	for _, task := range g.job.Members(g.id) {
		if p.unknownRuns[task] > 0 {
			return true
		}
	}
	return false
}

// applyUnknownEnd applies the end of an unknown attempt before it is acknowledged:
// work that is done is not done again, and a failure counts. It returns the group that
// the end may have changed, or nil.
func (p *pool) applyUnknownEnd(end workflow.EndedTask) *group {
	j, known := p.jobs[end.Task.Job]
	if !known || j.status.Final() || end.Task.Step < 0 || end.Task.Step >= len(j.Steps) {
		return nil
	}
	g := j.groups[j.GroupOf(end.Task)]
	if g == nil || g.done || g.step.LongRunning {
		return nil
	}
	switch end.Outcome {
	case workflow.Done:
		p.stopGroup(g, reasonAlreadyDone)
		p.completeGroup(g)
	case workflow.Faulted:
		p.countUnknownFailure(g, end.Attempt)
	}
	return g
}

func (p *pool) countUnknownFailure(g *group, attempt int) {
	if !g.assumedEnds[attempt] && attempt <= g.failedAttempt {
		return // counted with another member
	}
	delete(g.assumedEnds, attempt)
	g.failedAttempt = max(g.failedAttempt, attempt)
	g.failures++
	p.markDirty(g.record)
	if g.phase == waiting && g.failures >= g.job.MaxAttempts {
		p.closeGroup(g)
		p.endJob(g.job, workflow.Failed)
	}
}
