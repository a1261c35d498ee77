package ledger

import (
	"context"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

const (
	// inlineAnswerBytes is the largest answer that is kept within a segment.
	inlineAnswerBytes = 2 << 10
	maxAnswerBytes    = 1<<20 - 8<<10
)

func (l *Ledger) jobPrefix() string    { return "job/" + l.zone + "/" }
func (l *Ledger) answerPrefix() string { return "answer/" + l.zone + "/" }

// writeBatch saves jobs in a segment of their own, so that no other writer races for it.
func (l *Ledger) writeBatch(ctx context.Context, batch []*save) {
	key := l.jobPrefix() + string(l.Storage.NewWriteID())
	segment := Segment{Items: make([]Item, len(batch))}
	for i, s := range batch {
		segment.Items[i] = Item{ID: s.job.ID, Job: s.job}
	}
	written, err := l.put(ctx, state.Entry{Key: key}, segment)
	ambiguous := state.IsAmbiguous(err)
	if err == nil {
		l.remember(written, segment)
	}
	abandoned := l.answer(batch, err, ambiguous)
	if ambiguous || len(abandoned) > 0 {
		l.withdrawals.Go(func() { l.withdraw(key, abandoned, ambiguous) })
	}
}

func (l *Ledger) put(ctx context.Context, previous state.Entry, segment Segment) (state.Entry, error) {
	value, err := l.Codec.EncodeSegment(segment)
	if err != nil {
		return state.Entry{}, state.NewStepError("encode segment", l.Storage.Peer, state.BadRequest, err)
	}
	return l.Storage.Put(ctx, storage.ForJob, previous, value, 0)
}

// answer tells the callers of a batch, and returns the jobs of those that have given up.
func (l *Ledger) answer(batch []*save, err error, ambiguous bool) (abandoned []state.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range batch {
		switch {
		case s.abandoned:
			abandoned = append(abandoned, s.job.ID)
		case err != nil:
			s.done <- l.notDurable(s.job.ID, err, ambiguous)
		default:
			s.done <- nil
		}
	}
	if err != nil && !ambiguous {
		return nil
	}
	return abandoned
}

func (l *Ledger) remember(entry state.Entry, segment Segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = max(l.latest, entry.Version)
	for i := range segment.Items {
		if segment.Items[i].Job == nil {
			continue
		}
		l.where[segment.Items[i].ID] = entry.Key
		if entry.Version > l.segments[entry.Key].Version {
			l.segments[entry.Key] = entry
		}
	}
}

func (l *Ledger) forget(entry state.Entry, segment Segment, allEnded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = max(l.latest, entry.Version)
	l.segments[entry.Key] = entry
	if allEnded {
		delete(l.segments, entry.Key)
	}
	for i := range segment.Items {
		if segment.Items[i].Job == nil {
			delete(l.where, segment.Items[i].ID)
		}
	}
}

// writeOutcomes puts outcomes in place of their jobs in one segment.
func (l *Ledger) writeOutcomes(ctx context.Context, key string, batch []*finish) {
	lease, err := l.lease.Current(ctx, l.Now())
	if err == nil {
		err = l.finishSegment(ctx, key, batch, lease)
		l.lease.Check(err, lease)
	}
	for _, f := range batch {
		f.done <- err
	}
}

func (l *Ledger) finishSegment(ctx context.Context, key string, batch []*finish, lease state.StoreLease) error {
	outcomes := make(map[state.JobID]Item, len(batch))
	for _, f := range batch {
		item, err := l.itemOf(ctx, f, lease)
		if err != nil {
			return err
		}
		outcomes[f.job] = item
	}
	return l.edit(ctx, key, lease, func(s *Segment) bool { return s.finish(outcomes) })
}

// itemOf returns the outcome as it is kept in the segment; a large answer goes
// to a key of its own first.
func (l *Ledger) itemOf(ctx context.Context, f *finish, lease state.StoreLease) (Item, error) {
	item := Item{ID: f.job, Ended: l.Now(), Outcome: f.outcome}
	answer := f.outcome.Answer
	if len(answer) <= inlineAnswerBytes {
		return item, nil
	}
	item.Outcome.Answer = nil
	if len(answer) > maxAnswerBytes {
		return item, nil
	}
	item.AnswerApart = true
	_, err := l.Storage.Update(ctx, storage.ForJob, state.Entry{Key: l.answerPrefix() + string(f.job)}, lease, func(current state.Entry) ([]byte, bool, error) {
		return answer, current.Version == 0, nil
	})
	return item, err
}

// edit changes a segment; once all of its jobs have ended it is kept for
// OutcomeRetention only.
func (l *Ledger) edit(ctx context.Context, key string, lease state.StoreLease, change func(s *Segment) (allEnded bool)) error {
	l.mu.Lock()
	known := l.segments[key]
	l.mu.Unlock()
	known.Key = key
	for {
		current, segment, err := l.decode(ctx, known)
		if err != nil {
			return err
		}
		allEnded := change(&segment)
		value, err := l.Codec.EncodeSegment(segment)
		if err != nil {
			return state.NewStepError("encode segment", l.Storage.Peer, state.BadRequest, err)
		}
		under := state.StoreLease(0)
		if allEnded {
			under = lease
		}
		written, err := l.Storage.Put(ctx, storage.ForJob, current, value, under)
		if err == nil {
			l.forget(written, segment, allEnded)
			return nil
		}
		if known, err = l.afterConflict(ctx, key, err); err != nil {
			return err
		}
	}
}
