package scheduling

import (
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
)

const (
	// saveBatchDelay delays a save so that it covers changes in quick succession.
	saveBatchDelay = 3 * time.Millisecond
	// saveRetryDelay is the time between a failed save and the next one.
	saveRetryDelay = 100 * time.Millisecond
	// refusedRetryDelay is the time between two saves of a record that the store
	// refuses.
	refusedRetryDelay = 5 * time.Second
	// slowAnswer is after how long without an answer the store counts as slow: ten
	// times what it takes in calm conditions.
	slowAnswer = 40 * time.Millisecond
	// maxSaves is how many saves are under way at a time while the store is slow. With
	// answers after 390 ms they store 300 records per second.
	maxSaves = 8
	// reservedSaves is how many of them only urgent records may use, so that an urgent
	// start does not wait for an answer to other work.
	reservedSaves = 2
	// throttleTime is for how long fewer saves are under way after the store has turned
	// one away for too many calls.
	throttleTime = time.Second
)

// saveState is what the pool knows of its saves. The pool's lock guards it.
type saveState struct {
	// underWay holds the saves without an answer.
	underWay map[*saveBatch]struct{}
	// queued counts the records that were put in the queue.
	queued int
	// slow is set while answers take longer than slowAnswer.
	slow bool
	// backlog is set if the newest save had no room for all unsaved records.
	backlog bool
	// notBefore is when the next save may begin after one has failed.
	notBefore time.Time
	// limit is how many saves may be under way until limitedUntil, limitedAt is when it
	// was last halved.
	limit                   int
	limitedAt, limitedUntil time.Time
	// longestSave and longestUnstored are the longest times for an answer, and from the
	// plan of an attempt until it was stored, since the load was last asked for.
	longestSave, longestUnstored time.Duration
}

// saveLoop begins saves whenever progress changes. In calm conditions one save is under
// way at a time, each with what has changed during the one before it.
func (p *pool) saveLoop() {
	for {
		select {
		case <-p.scheduler.ctx.Done():
			return
		case <-p.saveDue:
		}
		if p.isMerged() {
			return
		}
		p.mu.Lock()
		allowed, backlog := p.saves.mayBegin(p.scheduler.Now()), p.saves.backlog
		p.mu.Unlock()
		if !allowed {
			continue // the end of the wait, or the answer to a save, sets saveDue again
		}
		if !backlog && !pause.For(p.scheduler.ctx, saveBatchDelay) {
			return
		}
		for p.beginSave() {
		}
	}
}

// mayBegin reports whether another save may begin: none is under way, or the store has
// left one unanswered for slowAnswer.
func (s *saveState) mayBegin(now time.Time) bool {
	if len(s.underWay) == 0 || now.Before(s.notBefore) {
		return !now.Before(s.notBefore)
	}
	return len(s.underWay) < s.maxUnderWay(now) && s.longestUnanswered(now) >= slowAnswer
}

// maxUnderWay returns how many saves may be under way.
func (s *saveState) maxUnderWay(now time.Time) int {
	if now.Before(s.limitedUntil) {
		return s.limit
	}
	return maxSaves
}

// longestUnanswered returns for how long the oldest save has been under way.
func (s *saveState) longestUnanswered(now time.Time) (longest time.Duration) {
	for b := range s.underWay {
		longest = max(longest, now.Sub(b.began))
	}
	return longest
}

// mayBeginOther reports whether a save without urgent records may begin.
func (s *saveState) mayBeginOther(now time.Time) bool {
	others := 0
	for b := range s.underWay {
		if !b.urgent {
			others++
		}
	}
	return others < max(s.maxUnderWay(now)-reservedSaves, 1)
}

// throttle halves the number of saves under way, once for all saves that began before it
// was last halved.
func (s *saveState) throttle(b *saveBatch, now time.Time) (limit int, halved bool) {
	if b.began.Before(s.limitedAt) {
		return s.limit, false
	}
	s.limit = max(s.maxUnderWay(now)/2, 1)
	s.limitedAt, s.limitedUntil = now, now.Add(throttleTime)
	return s.limit, true
}

// beginSave begins a save of changed records, and reports whether another may follow at
// once.
func (p *pool) beginSave() bool {
	authorised := p.scheduler.Authorised()
	p = p.lock()
	defer p.mu.Unlock()
	now := p.scheduler.Now()
	if !authorised {
		p.delaySaves(now)
		return false
	}
	p.applySavedEnds()
	if !p.saves.mayBegin(now) {
		return false
	}
	b := p.collectChanges(now)
	if b == nil {
		return false
	}
	if len(p.saves.underWay) > 0 {
		p.scheduler.Count(saveOverlapped)
	}
	p.saves.underWay[b] = struct{}{}
	p.scheduler.goroutines.Go(func() { p.save(b) })
	return true
}

// delaySaves lets no save begin for saveRetryDelay. The caller holds the lock.
func (p *pool) delaySaves(now time.Time) {
	p.saves.notBefore = now.Add(saveRetryDelay)
	time.AfterFunc(saveRetryDelay, p.wakeSave)
}

// save stores a batch and applies the outcome.
func (p *pool) save(b *saveBatch) {
	unanswered := time.AfterFunc(slowAnswer, p.wakeSave)
	results := p.scheduler.Save(p.scheduler.ctx, b.updates)
	unanswered.Stop()
	for _, result := range results {
		if errors.Is(result.Err, ErrTermEnded) {
			p.scheduler.endTerm(result.Err)
			p = p.lock()
			defer p.mu.Unlock()
			p.endSave(b)
			p.delaySaves(p.scheduler.Now())
			return
		}
	}
	p.applySaved(b, results)
}

// endSave notes that a save is not under way any more. The caller holds the lock.
func (p *pool) endSave(b *saveBatch) {
	took := p.scheduler.Now().Sub(b.began)
	p.saves.slow = took >= slowAnswer
	p.saves.longestSave = max(p.saves.longestSave, took)
	delete(p.saves.underWay, b)
	for _, r := range b.records {
		r.job.saving = false
	}
	wake(p.saveDue)
}
