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
	store  *Store
	writer keyvalue.TermWriter
	// written holds the figures that are certainly in the store; nil is not known.
	written *backlog.Figures
}

// NewPendingRecord returns the record for a term, whose condition holds in the store as long
// as it goes on.
func (st *Store) NewPendingRecord(term keyvalue.Condition) *PendingRecord {
	return &PendingRecord{store: st, writer: keyvalue.TermWriter{Store: st.Store, Term: term}}
}

// Update stores the figures until the lease ends, which is that of the term. It makes no
// call if they are in the store already and no job is refused by them, which takes figures
// of a known age. The error is scheduling.ErrTermEnded if the term is over.
func (r *PendingRecord) Update(ctx context.Context, lease keyvalue.LeaseID, figures backlog.Figures) error {
	if r.written != nil && maps.Equal(figures.Pending, r.written.Pending) && len(figures.Waits)+len(r.written.Waits) == 0 {
		return nil
	}
	text, err := r.store.EncodePending(figures)
	if err != nil {
		return err
	}
	// After an error the store may hold these figures, or get them late.
	r.written = nil
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err = r.writer.Put(ctx, keyvalue.Put{Key: pendingKey, Value: text, Lease: lease})
	var conflict *keyvalue.ConflictError
	if errors.As(err, &conflict) {
		return scheduling.ErrTermEnded
	}
	if err == nil {
		r.written = &figures
	}
	return err
}
