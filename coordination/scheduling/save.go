package scheduling

import (
	"time"

	"github.com/pkg/errors"

	"comfreystream/state/workflow"
)

const (
	// saveBatchDelay delays a save so that it covers changes in quick succession.
	saveBatchDelay = 3 * time.Millisecond
	// saveRetryDelay is the time between a failed save and the next try.
	saveRetryDelay = 100 * time.Millisecond
)

// saveLoop saves the progress of jobs whenever it changes.
func (p *pool) saveLoop() {
	for {
		select {
		case <-p.scheduler.ctx.Done():
			return
		case <-p.saveDue:
		}
		delay := saveBatchDelay
		for {
			select {
			case <-p.scheduler.ctx.Done():
				return
			case <-time.After(delay):
			}
			if p.save() {
				break
			}
			delay = saveRetryDelay
		}
	}
}

// saveBatch is the content of one save: the changed jobs, and by worker the last
// end that their progress includes.
type saveBatch struct {
	jobs []*job
	// changeCounts holds the jobs' change counts when they were collected.
	changeCounts []int
	updates      []ProgressUpdate
	ends         map[*worker]int64
	incarnations map[*worker]workflow.Incarnation
}

// save stores all changed progress and reports whether that succeeded.
func (p *pool) save() bool {
	if !p.scheduler.Authorised() {
		return false
	}
	b := p.collectChanges()
	if len(b.updates) > 0 {
		revisions, err := p.scheduler.Save(p.scheduler.ctx, b.updates)
		p.mu.Lock()
		for i, revision := range revisions {
			b.jobs[i].revision = revision
		}
		p.mu.Unlock()
		if errors.Is(err, ErrTermEnded) {
			p.scheduler.endTerm(err)
			return false
		}
		if err != nil {
			if p.scheduler.ctx.Err() == nil {
				p.scheduler.Count(retrySave)
				p.scheduler.Log.Warn().Str("event", "saveFailed").Int("jobs", len(b.updates)).Err(err).Send()
			}
			return false
		}
	}
	p.applySaved(b)
	return true
}

// collectChanges snapshots the unsaved progress and the unsaved ends.
func (p *pool) collectChanges() saveBatch {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := saveBatch{ends: make(map[*worker]int64), incarnations: make(map[*worker]workflow.Incarnation)}
	for j := range p.dirty {
		b.jobs = append(b.jobs, j)
		b.changeCounts = append(b.changeCounts, j.changeCount)
		b.updates = append(b.updates, ProgressUpdate{Job: j.ID, Progress: j.progress(), Revision: j.revision})
	}
	for _, w := range p.workers {
		if w.lastAppliedEnd > w.lastSavedEnd {
			b.ends[w], b.incarnations[w] = w.lastAppliedEnd, w.incarnation
		}
	}
	return b
}

// applySaved marks the batch's ends as saved and starts the groups whose attempt
// is now stored.
func (p *pool) applySaved(b saveBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w, end := range b.ends {
		if w.incarnation == b.incarnations[w] {
			w.lastSavedEnd = end
			wake(w.renewDue)
		}
	}
	for i, j := range b.jobs {
		if j.changeCount == b.changeCounts[i] {
			delete(p.dirty, j)
		}
		for id, record := range b.updates[i].Progress.Groups {
			g := j.groups[id]
			if g.phase == saving && g.attempt == record.Attempt {
				g.phase = placed
				p.startGroup(g)
			}
		}
	}
	if len(p.dirty) > 0 {
		wake(p.saveDue)
	}
}

// progress returns the job's progress in the form that is stored.
func (j *job) progress() workflow.Progress {
	progress := workflow.Progress{Status: j.status, Groups: make(map[workflow.GroupID]workflow.Group, len(j.groups))}
	for id, g := range j.groups {
		if g.attempt == 0 {
			continue
		}
		record := workflow.Group{
			Attempt: g.attempt, Failures: g.failures, FailedAttempt: g.failedAttempt, Done: g.done,
			Checkpoint: g.checkpoint,
		}
		if !record.Done {
			for _, m := range g.members {
				record.Placed = append(record.Placed, workflow.WorkerIncarnation{Worker: m.worker.id, Incarnation: m.incarnation})
			}
		}
		progress.Groups[id] = record
	}
	return progress
}
