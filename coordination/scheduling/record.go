package scheduling

import (
	"time"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// record is the part of a job's progress that is stored under one key: the job's
// status in its record 0, and a number of groups, so that a value of the store holds it
// and a change of one group does not write all others. The pool's lock guards it.
type record struct {
	job      *job
	number   int
	groups   []*group
	revision keyvalue.Revision
	// changeCount counts the changes; it tells whether one came during a save.
	changeCount int
	// queuedAt is the record's position in the order in which records wait to be saved.
	queuedAt int
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

// recordAt returns the job's record with the number.
func (j *job) recordAt(number int) *record {
	r, found := j.records[number]
	if !found {
		r = &record{job: j, number: number}
		j.records[number] = r
	}
	return r
}

// recordOf returns the record of the group. Groups fill the records in the order of
// occurrence, step and index.
func (j *job) recordOf(id workflow.GroupID) *record {
	if j.RecordBytes == 0 {
		return j.recordAt(0)
	}
	if j.stepOffsets == nil {
		j.stepOffsets = append(j.stepOffsets, 0)
		for i := range j.Steps {
			s := &j.Steps[i]
			j.stepOffsets = append(j.stepOffsets, j.stepOffsets[i]+s.Groups()*s.RecordBytes())
		}
	}
	position := id.Occurrence*j.stepOffsets[len(j.Steps)] + j.stepOffsets[id.Step] + id.Index*j.Steps[id.Step].RecordBytes()
	return j.recordAt(position / j.RecordBytes)
}

// unsaved reports whether the job has unsaved changes.
func (p *pool) unsaved(j *job) bool {
	for _, r := range j.records {
		if _, dirty := p.dirty[r]; dirty {
			return true
		}
	}
	return false
}

// markDirty has the record saved.
func (p *pool) markDirty(r *record) {
	r.changeCount++
	if _, dirty := p.dirty[r]; !dirty {
		p.dirty[r] = struct{}{}
		p.queueSave(r)
	}
	wake(p.saveDue)
}

// queueSave puts the record behind all others that wait to be saved.
func (p *pool) queueSave(r *record) {
	p.saves.queued++
	r.queuedAt = p.saves.queued
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
	progress := workflow.Progress{Groups: make(map[workflow.GroupID]workflow.Group, len(r.groups))}
	if r.number == 0 {
		progress.Status = r.job.status
		if r.job.routing.PolicyVersion > r.job.PolicyVersion {
			progress.Routing = r.job.routing
		}
	}
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

// held reports whether the record was refused a moment ago, or its job's record 0, which
// is to be stored first.
func (r *record) held(now time.Time) bool {
	return now.Before(r.retryAt) || now.Before(r.job.recordAt(0).retryAt)
}
