package scheduling

import (
	"time"

	"github.com/pkg/errors"

	"comfreystream/state/workflow"
)

const (
	// savePause gathers the changes of a moment into one write.
	savePause = 3 * time.Millisecond
	// saveRetry is the time after which a failed save is tried again.
	saveRetry = 100 * time.Millisecond
)

// saveLoop puts progress on record as it changes.
func (p *pool) saveLoop() {
	for {
		select {
		case <-p.scheduler.ctx.Done():
			return
		case <-p.saveDue:
		}
		pause := savePause
		for {
			select {
			case <-p.scheduler.ctx.Done():
				return
			case <-time.After(pause):
			}
			if p.save() {
				break
			}
			pause = saveRetry
		}
	}
}

// batch is what one save takes: the jobs, how far they had come, and the
// ends that were taken in by then.
type batch struct {
	jobs    []*job
	changes []int
	saves   []Save
	applied map[*worker]int64
	lives   map[*worker]workflow.Incarnation
}

// save reports whether everything that had changed is on record.
func (p *pool) save() bool {
	if !p.scheduler.Authorised() {
		return false
	}
	b := p.collect()
	if len(b.saves) > 0 {
		revisions, err := p.scheduler.Save(p.scheduler.ctx, b.saves)
		p.mu.Lock()
		for i, revision := range revisions {
			b.jobs[i].revision = revision
		}
		p.mu.Unlock()
		if errors.Is(err, ErrTermEnded) {
			p.scheduler.end(err)
			return false
		}
		if err != nil {
			if p.scheduler.ctx.Err() == nil {
				p.scheduler.Count(retrySave)
				p.scheduler.Log.Warn().Str("event", "saveFailed").Int("jobs", len(b.saves)).Err(err).Send()
			}
			return false
		}
	}
	p.saved(b)
	return true
}

func (p *pool) collect() batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := batch{applied: make(map[*worker]int64), lives: make(map[*worker]workflow.Incarnation)}
	for j := range p.dirty {
		b.jobs = append(b.jobs, j)
		b.changes = append(b.changes, j.dirtied)
		b.saves = append(b.saves, Save{Job: j.ID, Progress: j.progress(), Revision: j.revision})
	}
	for _, w := range p.workers {
		if w.applied > w.acknowledged {
			b.applied[w], b.lives[w] = w.applied, w.life
		}
	}
	return b
}

// saved acknowledges ends and starts what was waiting for its record.
func (p *pool) saved(b batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w, applied := range b.applied {
		if w.life == b.lives[w] {
			w.acknowledged = applied
			signal(w.look)
		}
	}
	for i, j := range b.jobs {
		if j.dirtied == b.changes[i] {
			delete(p.dirty, j)
		}
		for id, record := range b.saves[i].Progress.Groups {
			g := j.groups[id]
			if g.phase == saving && g.attempt == record.Attempt {
				g.phase = placed
				p.startGroup(g)
			}
		}
	}
	if len(p.dirty) > 0 {
		signal(p.saveDue)
	}
}

// progress returns the record of the job as it stands.
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
				record.Placed = append(record.Placed, workflow.WorkerLife{Worker: m.worker.id, Life: m.life})
			}
		}
		progress.Groups[id] = record
	}
	return progress
}
