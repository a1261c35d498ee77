package scheduling

import (
	"time"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// record is the part of a job's progress that is stored under one key. The pool's
// lock guards it.
type record struct {
	job      *job
	groups   []*group
	revision keyvalue.Revision
	// changeCount counts the changes; it tells whether one came during a save.
	changeCount int
	// unsavedEnds holds the number of the first end, by worker, that the record shows
	// and the stored one may not.
	unsavedEnds map[endSource]int64
	// retryAt is when a record that the store refused is saved again. Until then
	// nothing of it is placed, as it could not start.
	retryAt time.Time
}

// endSource is what numbers ends: one incarnation of a worker.
type endSource struct {
	worker      *worker
	incarnation workflow.Incarnation
}

// markDirty has the record saved.
func (p *pool) markDirty(r *record) {
	r.changeCount++
	p.dirty[r] = struct{}{}
	wake(p.saveDue)
}

// noteEnd notes that the record is to be saved before the end is acknowledged.
func (p *pool) noteEnd(r *record, w *worker, number int64) {
	if _, dirty := p.dirty[r]; !dirty {
		return
	}
	source := endSource{w, w.incarnation}
	if _, noted := r.unsavedEnds[source]; noted {
		return
	}
	if r.unsavedEnds == nil {
		r.unsavedEnds = make(map[endSource]int64)
	}
	r.unsavedEnds[source] = number
}

// progress returns the record's content in the form that is stored.
func (r *record) progress() workflow.Progress {
	progress := workflow.Progress{Status: r.job.status, Groups: make(map[workflow.GroupID]workflow.Group, len(r.groups))}
	for _, g := range r.groups {
		if g.attempt > 0 {
			progress.Groups[g.id] = g.stored()
		}
	}
	return progress
}

// stored returns the group's state in the form that is stored.
func (g *group) stored() workflow.Group {
	stored := workflow.Group{
		Attempt: g.attempt, Failures: g.failures, FailedAttempt: g.failedAttempt, Done: g.done,
		Checkpoint: g.checkpoint,
	}
	if !stored.Done {
		for _, m := range g.members {
			stored.Placed = append(stored.Placed, workflow.WorkerIncarnation{Worker: m.worker.id, Incarnation: m.incarnation})
		}
	}
	return stored
}

// held reports whether the group's record was refused a moment ago.
func (g *group) held(now time.Time) bool { return now.Before(g.record.retryAt) }
