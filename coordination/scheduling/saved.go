package scheduling

import (
	"time"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// applySaved starts the groups whose attempt is now stored, and marks ends as saved.
// A record that could not be saved holds up no other.
func (p *pool) applySaved(b *saveBatch, results []SaveResult) {
	p = p.lock()
	defer p.mu.Unlock()
	p.endSave(b)
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
	p.applySavedEnds()
	if failed > 0 && p.scheduler.ctx.Err() == nil {
		p.applyFailure(b, failed, failure)
	}
}

// applyFailure delays the next save, and allows fewer at a time if the store has turned
// this one away for too many calls.
func (p *pool) applyFailure(b *saveBatch, failed int, failure error) {
	now := p.scheduler.Now()
	p.delaySaves(now)
	p.scheduler.Count(retrySave)
	p.scheduler.Log.Warn().Str("event", "saveFailed").Int("records", failed).Dur("after", now.Sub(b.began)).Err(failure).Send()
	if !keyvalue.IsThrottled(failure) {
		return
	}
	if limit, halved := p.saves.throttle(b, now); halved {
		p.scheduler.Count(saveThrottled)
		p.scheduler.Log.Warn().Str("event", "savesThrottled").Int("limit", limit).Send()
	}
}

// applySavedRecord marks a record as saved, unless it has changed meanwhile, and
// starts its groups whose attempt is now stored.
func (p *pool) applySavedRecord(r *record, changeCount int, saved workflow.Progress, ends map[endSource]int64) {
	if r.changeCount == changeCount {
		delete(p.dirty, r)
		clear(r.unsavedEnds)
	} else {
		p.queueSave(r)
	}
	for source, first := range r.unsavedEnds {
		r.unsavedEnds[source] = max(first, ends[source]+1)
	}
	for id, stored := range saved.Groups {
		g := r.job.groups[id]
		if g.phase == saving && g.attempt == stored.Attempt {
			p.saves.longestUnstored = max(p.saves.longestUnstored, p.scheduler.Now().Sub(g.placedAt))
			g.phase = placed
			p.startGroup(g)
		}
	}
}

// holdRecord releases what the groups of a refused record were assigned: they cannot
// start. The record is saved again later, since what it holds may shrink.
func (p *pool) holdRecord(r *record, cause error) {
	r.retryAt = p.scheduler.Now().Add(refusedRetryDelay)
	time.AfterFunc(refusedRetryDelay, p.wakeSave)
	p.scheduler.Count(recordRefused)
	p.scheduler.Log.Error().Str("event", "recordRefused").Str("request", string(r.job.ID)).Int("record", r.number).Int("groups", len(r.groups)).Err(cause).Send()
	for _, g := range r.groups {
		if g.phase == saving {
			p.stopGroup(g, reasonIncomplete)
		}
	}
}

// applySavedEnds marks the ends as saved whose effect is in no record that is still
// to be saved. A record counts as such until the answer to its save.
func (p *pool) applySavedEnds() {
	unsaved := make(map[endSource]int64)
	for r := range p.dirty {
		for source, first := range r.unsavedEnds {
			if known, found := unsaved[source]; !found || first < known {
				unsaved[source] = first
			}
		}
	}
	for _, w := range p.workers {
		last := w.lastAppliedEnd
		if first, found := unsaved[endSource{w, w.incarnation}]; found {
			last = min(last, first-1)
		}
		if last > w.lastSavedEnd {
			w.lastSavedEnd = last
			wake(w.renewDue)
		}
	}
}
