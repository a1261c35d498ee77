package ledger

import (
	"context"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

const (
	// inlineAnswerBytes is the largest answer that is stored within a segment.
	inlineAnswerBytes = 2 << 10
	// maxAnswerBytes leaves 8 KiB of the store's limit of 1 MiB for the envelope.
	maxAnswerBytes = 1<<20 - 8<<10
)

func (l *Ledger) jobPrefix() string    { return "job/" + l.zone + "/" }
func (l *Ledger) answerPrefix() string { return "answer/" + l.zone + "/" }

// writeBatch saves jobs in a new segment, so that the write cannot conflict with others.
func (l *Ledger) writeBatch(ctx context.Context, batch []*pendingSave) {
	key := l.jobPrefix() + string(l.Storage.NewWriteID())
	segment := Segment{Items: make([]Item, len(batch))}
	for i, s := range batch {
		segment.Items[i] = Item{ID: s.job.ID, Job: s.job}
	}
	written, err := l.put(ctx, state.Entry{Key: key}, segment)
	ambiguous := state.IsAmbiguous(err)
	if err == nil {
		l.trackSegment(written, segment)
	}
	abandoned := l.reportResults(batch, err, ambiguous)
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

// reportResults passes the result to the callers of a batch and returns the jobs that
// were or may have been written although their callers have stopped waiting.
func (l *Ledger) reportResults(batch []*pendingSave, err error, ambiguous bool) (abandoned []state.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range batch {
		switch {
		case s.abandoned:
			abandoned = append(abandoned, s.job.ID)
		case err != nil:
			s.done <- l.notDurableError(s.job.ID, err, ambiguous)
		default:
			s.done <- nil
		}
	}
	if err != nil && !ambiguous {
		return nil
	}
	return abandoned
}

// trackSegment records where the unfinished jobs of a segment are stored.
func (l *Ledger) trackSegment(entry state.Entry, segment Segment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestVersion = max(l.latestVersion, entry.Version)
	for i := range segment.Items {
		if segment.Items[i].Job == nil {
			continue
		}
		l.segmentKeys[segment.Items[i].ID] = entry.Key
		if entry.Version > l.segments[entry.Key].Version {
			l.segments[entry.Key] = entry
		}
	}
}

// updateTracking records a changed segment and drops its ended jobs.
func (l *Ledger) updateTracking(entry state.Entry, segment Segment, allEnded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestVersion = max(l.latestVersion, entry.Version)
	l.segments[entry.Key] = entry
	if allEnded {
		delete(l.segments, entry.Key)
	}
	for i := range segment.Items {
		if segment.Items[i].Job == nil {
			delete(l.segmentKeys, segment.Items[i].ID)
		}
	}
}

// writeOutcomes replaces jobs of one segment by their outcomes.
func (l *Ledger) writeOutcomes(ctx context.Context, key string, batch []*pendingOutcome) {
	lease, err := l.lease.Current(ctx, l.Now())
	if err == nil {
		err = l.finishSegment(ctx, key, batch, lease)
		l.lease.DropIfLapsed(err, lease)
	}
	for _, p := range batch {
		p.done <- err
	}
}

func (l *Ledger) finishSegment(ctx context.Context, key string, batch []*pendingOutcome, lease state.StoreLease) error {
	outcomes := make(map[state.JobID]Item, len(batch))
	for _, p := range batch {
		item, err := l.outcomeItem(ctx, p, lease)
		if err != nil {
			return err
		}
		outcomes[p.job] = item
	}
	return l.editSegment(ctx, key, lease, func(s *Segment) bool { return s.applyOutcomes(outcomes) })
}

// outcomeItem returns the segment's item for an outcome, after writing a large answer
// to a key of its own.
func (l *Ledger) outcomeItem(ctx context.Context, p *pendingOutcome, lease state.StoreLease) (Item, error) {
	item := Item{ID: p.job, Ended: l.Now(), Outcome: p.outcome}
	answer := p.outcome.Answer
	if len(answer) <= inlineAnswerBytes {
		return item, nil
	}
	item.Outcome.Answer = nil
	if len(answer) > maxAnswerBytes {
		return item, nil
	}
	item.HasSeparateAnswer = true
	_, err := l.Storage.Update(ctx, storage.ForJob, state.Entry{Key: l.answerPrefix() + string(p.job)}, lease, func(current state.Entry) ([]byte, bool, error) {
		return answer, current.Version == 0, nil
	})
	return item, err
}

// editSegment changes a segment and retries after conflicts. Once all jobs of the
// segment have ended, it writes the segment under the lease, so that it expires.
func (l *Ledger) editSegment(ctx context.Context, key string, lease state.StoreLease, change func(s *Segment) (allEnded bool)) error {
	l.mu.Lock()
	known := l.segments[key]
	l.mu.Unlock()
	known.Key = key
	for {
		current, segment, err := l.readSegment(ctx, known)
		if err != nil {
			return err
		}
		allEnded := change(&segment)
		value, err := l.Codec.EncodeSegment(segment)
		if err != nil {
			return state.NewStepError("encode segment", l.Storage.Peer, state.BadRequest, err)
		}
		valueLease := state.StoreLease(0)
		if allEnded {
			valueLease = lease
		}
		written, err := l.Storage.Put(ctx, storage.ForJob, current, value, valueLease)
		if err == nil {
			l.updateTracking(written, segment, allEnded)
			return nil
		}
		if known, err = l.rereadAfterConflict(ctx, key, err); err != nil {
			return err
		}
	}
}
