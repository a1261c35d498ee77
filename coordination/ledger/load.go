package ledger

import (
	"context"

	"github.com/pkg/errors"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

// Load returns the saved jobs of the zone that have not ended, and the
// outcomes of the last OutcomeRetention. It may be called at any time; a store
// that answers old data is an error, also towards a planner that is new.
func (l *Ledger) Load(ctx context.Context) (jobs []state.Job, ended []state.Outcome, err error) {
	if err := l.mark(ctx); err != nil {
		return nil, nil, err
	}
	entries, latest, err := l.Storage.List(ctx, storage.ForJob, l.jobPrefix())
	if err != nil {
		return nil, nil, err
	}
	if err := l.checkNotOld(latest); err != nil {
		return nil, nil, err
	}
	var apart bool
	for _, entry := range entries {
		segment, err := l.Codec.DecodeSegment(entry.Value)
		if err != nil {
			return nil, nil, state.NewStepError("decode "+entry.Key, l.Storage.Peer, state.StoreUnavailable, err)
		}
		l.remember(entry, segment)
		for _, item := range segment.Items {
			switch {
			case item.Job != nil:
				jobs = append(jobs, *item.Job)
			case l.Now().Sub(item.Ended) < OutcomeRetention:
				ended = append(ended, item.Outcome)
				apart = apart || item.AnswerApart
			}
		}
	}
	if !apart {
		return jobs, ended, nil
	}
	return jobs, ended, l.fillAnswers(ctx, ended)
}

// fillAnswers adds the answers that are kept apart.
func (l *Ledger) fillAnswers(ctx context.Context, ended []state.Outcome) error {
	entries, _, err := l.Storage.List(ctx, storage.ForJob, l.answerPrefix())
	if err != nil {
		return err
	}
	answers := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		answers[entry.Key] = entry.Value
	}
	for i := range ended {
		if answer, found := answers[l.answerPrefix()+string(ended[i].Job)]; found {
			ended[i].Answer = answer
		}
	}
	return nil
}

// mark writes a key, so that a list that is older than the write shows itself by its version.
func (l *Ledger) mark(ctx context.Context) error {
	marked, err := l.Storage.Update(ctx, storage.ForJob, state.Entry{Key: "ledger/" + l.zone}, 0, func(state.Entry) ([]byte, bool, error) {
		return []byte{}, true, nil
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = max(l.latest, marked.Version)
	return nil
}

func (l *Ledger) checkNotOld(latest state.Version) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if latest < l.latest {
		return state.NewStepError("list "+l.jobPrefix(), l.Storage.Peer, state.StoreUnavailable, &storage.OldData{Answered: latest, Known: l.latest})
	}
	return nil
}

// decode returns a segment and its entry, which is read unless it is known.
func (l *Ledger) decode(ctx context.Context, known state.Entry) (state.Entry, Segment, error) {
	current := known
	if known.Version == 0 {
		var err error
		if current, err = l.Storage.Get(ctx, storage.ForJob, known.Key); err != nil || current.Version == 0 {
			return current, Segment{}, err
		}
	}
	segment, err := l.Codec.DecodeSegment(current.Value)
	if err != nil {
		err = state.NewStepError("decode "+known.Key, l.Storage.Peer, state.StoreUnavailable, err)
	}
	return current, segment, err
}

// afterConflict reads a segment again that another planner has written.
func (l *Ledger) afterConflict(ctx context.Context, key string, err error) (state.Entry, error) {
	var conflict *state.WriteConflict
	if !errors.As(err, &conflict) {
		return state.Entry{}, err
	}
	return l.Storage.ReadFrom(ctx, storage.ForJob, key, conflict.Current)
}
