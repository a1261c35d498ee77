package jobstore

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// acceptance is the storing of a job by one submission.
type acceptance struct {
	store *Store
	id    workflow.ID
	text  []byte
	// refusal is the revision of the refusal after which the caller has returned; 0 is none.
	refusal keyvalue.Revision
	// uncertain is set after a try that may still take effect. A refusal that is met after
	// it came later than this submission.
	uncertain bool

	// stored is the record of a job that was there before; cancelled and refused say what
	// else kept the job from being stored.
	stored             []byte
	cancelled, refused bool
}

// try stores the job on the condition that there is none, that it was not cancelled, and
// that it was not refused since.
func (a *acceptance) try(ctx context.Context) error {
	for {
		change := keyvalue.Change{
			Conditions: []keyvalue.Condition{{Key: jobKey(a.id)}, {Key: cancelKey(a.id)}, {Key: refusalKey(a.id), Revision: a.refusal}},
			Puts:       []keyvalue.Put{{Key: jobKey(a.id), Value: a.text}},
		}
		if a.refusal != 0 {
			change.Deletes = []string{refusalKey(a.id)}
		}
		_, err := a.store.Store.Commit(ctx, change)
		var conflict *keyvalue.ConflictError
		if !errors.As(err, &conflict) {
			a.uncertain = a.uncertain || err != nil && state.IsAmbiguous(err)
			return err
		}
		if job, found := conflict.Find(jobKey(a.id)); found {
			a.stored = job.Value
			return nil
		}
		if _, a.cancelled = conflict.Find(cancelKey(a.id)); a.cancelled {
			return nil
		}
		refusal, _ := conflict.Find(refusalKey(a.id))
		if refusal.Revision == a.refusal {
			return state.NewStepError("store a job", netip.AddrPort{}, state.StoreUnavailable, err)
		}
		if a.uncertain {
			a.refused = true
			return nil
		}
		a.refusal = refusal.Revision
	}
}

// Refuse stores that a submission of the job is refused, so that no earlier one takes effect
// any more; a later one may. It changes nothing if the job is stored. The error is
// ambiguous if the refusal may have been stored or may still be.
func (st *Store) Refuse(ctx context.Context, id workflow.ID) (stored bool, err error) {
	err = st.retry(ctx, func(ctx context.Context) error {
		_, err := st.Store.Commit(ctx, keyvalue.Change{
			Conditions: []keyvalue.Condition{{Key: jobKey(id)}},
			Puts:       []keyvalue.Put{{Key: refusalKey(id), Value: []byte{1}}},
		})
		var conflict *keyvalue.ConflictError
		if errors.As(err, &conflict) {
			stored = true
			return nil
		}
		return err
	})
	return stored, err
}
