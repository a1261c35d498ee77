package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// RecordsPerChange is how many records one change of the store holds within its limit of
// 32 entries: a condition and a put for each record, and the condition of the term. A
// save takes as many; only a job with more unsaved records gets a larger one, as all of
// them go in one.
const RecordsPerChange = 15

// saveBatch is the content of one save: the changed records, and by worker the last
// end that they include.
type saveBatch struct {
	began   time.Time
	urgent  bool
	records []*record
	// changeCounts holds the records' change counts when they were collected.
	changeCounts []int
	updates      []ProgressUpdate
	ends         map[endSource]int64
}

// unsavedJob is a job with its unsaved records, by number.
type unsavedJob struct {
	job     *job
	records []*record
	// urgent is set if an attempt of priority 0 waits for the save.
	urgent bool
	// queuedAt is the lowest of the records' positions in the queue.
	queuedAt int
}

// collectChanges snapshots what the next save is to store, or returns nil. The job's
// status in record 0 must not be older in the store than the other records, so that
// all unsaved records of a job are in one save, and no other of them is under way.
func (p *pool) collectChanges(now time.Time) *saveBatch {
	s := &p.saves
	s.backlog = false
	slow := s.slow || len(s.underWay) > 0
	b := &saveBatch{began: now, ends: make(map[endSource]int64)}
	for _, u := range p.unsavedJobs(now) {
		switch {
		case len(b.records) == 0 && !u.urgent && !s.mayBeginOther(now):
			return nil
		case len(b.records) == 0:
			b.urgent = u.urgent
		case b.urgent && !u.urgent && slow:
			continue // an urgent start waits for no other record
		case len(b.records)+len(u.records) > RecordsPerChange:
			s.backlog = true
			continue
		}
		u.job.saving = true
		for _, r := range u.records {
			b.add(r)
		}
	}
	if len(b.records) == 0 {
		return nil
	}
	return b
}

// add adds the record as it is now.
func (b *saveBatch) add(r *record) {
	b.records = append(b.records, r)
	b.changeCounts = append(b.changeCounts, r.changeCount)
	b.updates = append(b.updates, ProgressUpdate{Job: r.job.ID, Record: r.number, Progress: r.progress(), Revision: r.revision})
	for source := range r.unsavedEnds {
		if source.incarnation == source.worker.incarnation {
			b.ends[source] = source.worker.lastAppliedEnd
		}
	}
}

// unsavedJobs returns the jobs of which records can be saved now: those with an urgent
// attempt first, then by how long they wait.
func (p *pool) unsavedJobs(now time.Time) []unsavedJob {
	positions := make(map[*job]int)
	var list []unsavedJob
	for r := range p.dirty {
		if r.job.saving || r.held(now) {
			continue
		}
		i, known := positions[r.job]
		if !known {
			i = len(list)
			positions[r.job] = i
			list = append(list, unsavedJob{job: r.job, queuedAt: r.queuedAt})
		}
		u := &list[i]
		u.records = append(u.records, r)
		u.queuedAt = min(u.queuedAt, r.queuedAt)
		u.urgent = u.urgent || r.hasUrgentStart()
	}
	for _, u := range list {
		slices.SortFunc(u.records, func(a, b *record) int { return cmp.Compare(a.number, b.number) })
	}
	slices.SortFunc(list, func(a, b unsavedJob) int {
		if a.urgent != b.urgent && a.urgent {
			return -1
		}
		if a.urgent != b.urgent {
			return 1
		}
		return cmp.Compare(a.queuedAt, b.queuedAt)
	})
	return list
}

// hasUrgentStart reports whether an attempt of priority 0 waits for the record's save.
func (r *record) hasUrgentStart() bool {
	return r.job.Priority == 0 && slices.ContainsFunc(r.groups, func(g *group) bool { return g.phase == saving })
}
