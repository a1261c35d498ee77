package jobstore

import (
	"context"
	"maps"

	"github.com/pkg/errors"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
)

// PendingRecord keeps the stored figures of the waiting jobs up to date during a term. It
// must not be used by several goroutines at once.
type PendingRecord struct {
	Store *Store
	// Term holds in the store as long as the term goes on.
	Term keyvalue.Condition

	// stored holds the figures that are certainly in the store, at the revision; nil is
	// not known.
	stored   *backlog.Figures
	revision keyvalue.Revision
}

// Update stores the figures until the lease ends, which is that of the term. It makes no
// call if they are in the store already and no job is refused by them, which takes figures
// of a known age. The error is scheduling.ErrTermEnded if the term is over.
func (r *PendingRecord) Update(ctx context.Context, lease keyvalue.LeaseID, figures backlog.Figures) error {
	if r.stored != nil && maps.Equal(figures.Pending, r.stored.Pending) && len(figures.Waits)+len(r.stored.Waits) == 0 {
		return nil
	}
	text, err := r.Store.EncodePending(figures)
	if err != nil {
		return err
	}
	// After an error the store may hold these figures, or get them late.
	r.stored = nil
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := r.replace(ctx, keyvalue.Put{Key: pendingKey, Value: text, Lease: lease}); err != nil {
		return err
	}
	r.stored = &figures
	return nil
}

// replace writes the key in place of what the store holds. That is an earlier write of this
// term, which nobody else writes in, so that a conflict only says at which revision.
func (r *PendingRecord) replace(ctx context.Context, put keyvalue.Put) error {
	for {
		revision, err := r.Store.Store.Commit(ctx, keyvalue.Change{
			Conditions: []keyvalue.Condition{r.Term, {Key: pendingKey, Revision: r.revision}},
			Puts:       []keyvalue.Put{put},
		})
		if err == nil {
			r.revision = revision
			return nil
		}
		var conflict *keyvalue.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		if term, _ := conflict.Find(r.Term.Key); term.Revision != r.Term.Revision {
			return scheduling.ErrTermEnded
		}
		item, _ := conflict.Find(pendingKey)
		if item.Revision == r.revision {
			return err
		}
		r.revision = item.Revision
	}
}
