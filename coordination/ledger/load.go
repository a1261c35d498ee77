package ledger

import (
	"context"

	"github.com/pkg/errors"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

// Load returns the saved jobs of the zone that have not ended, and the outcomes of
// the last OutcomeRetention. It may be called at any time. It fails if the store
// returns stale data, even on a planner that has read nothing before.
func (l *Ledger) Load(ctx context.Context) (jobs []state.Job, ended []state.Outcome, err error) {
	if err := l.writeMark(ctx); err != nil {
		return nil, nil, err
	}
	entries, latest, err := l.Storage.List(ctx, storage.ForJob, l.jobPrefix())
	if err != nil {
		return nil, nil, err
	}
	if err := l.checkVersion(latest); err != nil {
		return nil, nil, err
	}
	var hasSeparateAnswers bool
	for _, entry := range entries {
		segment, err := l.Codec.DecodeSegment(entry.Value)
		if err != nil {
			return nil, nil, state.NewStepError("decode "+entry.Key, l.Storage.Peer, state.StoreUnavailable, err)
		}
		l.trackSegment(entry, segment)
		for _, item := range segment.Items {
			switch {
			case item.Job != nil:
				jobs = append(jobs, *item.Job)
			case l.Now().Sub(item.Ended) < OutcomeRetention:
				ended = append(ended, item.Outcome)
				hasSeparateAnswers = hasSeparateAnswers || item.HasSeparateAnswer
			}
		}
	}
	if !hasSeparateAnswers {
		return jobs, ended, nil
	}
	return jobs, ended, l.addSeparateAnswers(ctx, ended)
}

// addSeparateAnswers adds the answers that are stored under keys of their own.
func (l *Ledger) addSeparateAnswers(ctx context.Context, ended []state.Outcome) error {
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

// writeMark writes the zone's mark, so that the version of a list shows whether it
// is older than this write.
func (l *Ledger) writeMark(ctx context.Context) error {
	marked, err := l.Storage.Update(ctx, storage.ForJob, state.Entry{Key: "ledger/" + l.zone}, 0, func(state.Entry) ([]byte, bool, error) {
		return []byte{}, true, nil
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestVersion = max(l.latestVersion, marked.Version)
	return nil
}

// checkVersion returns an error if a list of that version is stale.
func (l *Ledger) checkVersion(latest state.Version) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if latest < l.latestVersion {
		return state.NewStepError("list "+l.jobPrefix(), l.Storage.Peer, state.StoreUnavailable, &storage.StaleReadError{Returned: latest, Known: l.latestVersion})
	}
	return nil
}

// readSegment returns a segment and its entry, which it reads unless it is known.
func (l *Ledger) readSegment(ctx context.Context, known state.Entry) (state.Entry, Segment, error) {
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

// rereadAfterConflict reads a segment that another planner has changed. It returns
// an err that is not a conflict as it is.
func (l *Ledger) rereadAfterConflict(ctx context.Context, key string, err error) (state.Entry, error) {
	var conflict *state.WriteConflict
	if !errors.As(err, &conflict) {
		return state.Entry{}, err
	}
	return l.Storage.ReadAtLeast(ctx, storage.ForJob, key, conflict.Current)
}
