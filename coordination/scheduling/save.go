package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

const (
	// saveBatchDelay delays a save so that it covers changes in quick succession.
	saveBatchDelay = 3 * time.Millisecond
	// saveRetryDelay is the time between a failed save and the next try.
	saveRetryDelay = 100 * time.Millisecond
	// refusedRetryDelay is the time between two saves of a record that the store
	// refuses.
	refusedRetryDelay = 5 * time.Second
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

// saveBatch is the content of one save: the changed records, and by worker the last
// end that they include.
type saveBatch struct {
	records []*record
	// changeCounts holds the records' change counts when they were collected.
	changeCounts []int
	updates      []ProgressUpdate
	ends         map[endSource]int64
}

// save stores the changed progress and reports whether nothing is left to be tried
// again soon.
func (p *pool) save() bool {
	if !p.scheduler.Authorised() {
		return false
	}
	b := p.collectChanges()
	var results []SaveResult
	if len(b.updates) > 0 {
		results = p.scheduler.Save(p.scheduler.ctx, b.updates)
	}
	for _, result := range results {
		if errors.Is(result.Err, ErrTermEnded) {
			p.scheduler.endTerm(result.Err)
			return false
		}
	}
	return p.applySaved(b, results)
}

// collectChanges snapshots the unsaved progress and the unsaved ends.
func (p *pool) collectChanges() saveBatch {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.scheduler.Now()
	b := saveBatch{ends: make(map[endSource]int64)}
	for r := range p.dirty {
		if !r.held(now) {
			b.records = append(b.records, r)
		}
	}
	slices.SortFunc(b.records, func(a, b *record) int { return cmp.Compare(a.number, b.number) })
	for _, r := range b.records {
		b.changeCounts = append(b.changeCounts, r.changeCount)
		b.updates = append(b.updates, ProgressUpdate{Job: r.job.ID, Record: r.number, Progress: r.progress(), Revision: r.revision})
	}
	for _, w := range p.workers {
		if w.lastAppliedEnd > w.lastSavedEnd {
			b.ends[endSource{w, w.incarnation}] = w.lastAppliedEnd
		}
	}
	return b
}

// applySaved starts the groups whose attempt is now stored, and marks ends as saved.
// A record that could not be saved holds up no other.
func (p *pool) applySaved(b saveBatch, results []SaveResult) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed, failure := 0, error(nil)
	for i, r := range b.records {
		r.revision = results[i].Revision
		switch err := results[i].Err; {
		case err == nil:
			if results[i].CheckpointsLeftOut {
				p.scheduler.Count(checkpointsLeftOut)
				p.scheduler.Log.Warn().Str("event", "checkpointsLeftOut").Str("request", string(r.job.ID)).Int("record", r.number).Send()
			}
			p.applySavedRecord(r, b.changeCounts[i], b.updates[i].Progress, b.ends)
		case keyvalue.IsRefused(err):
			p.holdRecord(r, err)
		default:
			failed, failure = failed+1, err
		}
	}
	p.applySavedEnds(b.ends)
	if failed > 0 && p.scheduler.ctx.Err() == nil {
		p.scheduler.Count(retrySave)
		p.scheduler.Log.Warn().Str("event", "saveFailed").Int("records", failed).Err(failure).Send()
	}
	now := p.scheduler.Now()
	for r := range p.dirty {
		if !r.held(now) {
			wake(p.saveDue)
			break
		}
	}
	return failed == 0
}

// applySavedRecord marks a record as saved, unless it has changed meanwhile, and
// starts its groups whose attempt is now stored.
func (p *pool) applySavedRecord(r *record, changeCount int, saved workflow.Progress, ends map[endSource]int64) {
	if r.changeCount == changeCount {
		delete(p.dirty, r)
		clear(r.unsavedEnds)
	}
	for source, first := range r.unsavedEnds {
		r.unsavedEnds[source] = max(first, ends[source]+1)
	}
	for id, stored := range saved.Groups {
		g := r.job.groups[id]
		if g.phase == saving && g.attempt == stored.Attempt {
			g.phase = placed
			p.startGroup(g)
		}
	}
}

// holdRecord releases what the groups of a refused record were assigned: they cannot
// start. The record is saved again later, since what it holds may shrink.
func (p *pool) holdRecord(r *record, cause error) {
	r.retryAt = p.scheduler.Now().Add(refusedRetryDelay)
	time.AfterFunc(refusedRetryDelay, func() { wake(p.saveDue) })
	p.scheduler.Count(recordRefused)
	p.scheduler.Log.Error().Str("event", "recordRefused").Str("request", string(r.job.ID)).Int("record", r.number).Int("groups", len(r.groups)).Err(cause).Send()
	for _, g := range r.groups {
		if g.phase == saving {
			p.stopGroup(g, reasonIncomplete)
		}
	}
}

// applySavedEnds marks the ends as saved whose effect is in no record that is still
// to be saved.
func (p *pool) applySavedEnds(ends map[endSource]int64) {
	for r := range p.dirty {
		for source, first := range r.unsavedEnds {
			if last, found := ends[source]; found && last >= first {
				ends[source] = first - 1
			}
		}
	}
	for source, last := range ends {
		if w := source.worker; w.incarnation == source.incarnation && last > w.lastSavedEnd {
			w.lastSavedEnd = last
			wake(w.renewDue)
		}
	}
}
