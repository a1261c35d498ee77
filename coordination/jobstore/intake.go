package jobstore

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

const (
	// tryTimeout bounds one try of a caller's request, including the relayed call.
	tryTimeout = 1200 * time.Millisecond
	// retryPause is the wait between tries.
	retryPause = 60 * time.Millisecond
	// retryLimit is how long a call that certainly had no effect is retried; after
	// that a caller has better chances at another instance.
	retryLimit = 400 * time.Millisecond
)

// Accept stores the job and returns it; if its ID is stored already, it returns the job
// that is stored, which may have another queue, service or body. The error is ambiguous
// if a job may have been stored or may still be. It has the reason bodyTooLarge if the
// store cannot hold the job or its progress, cancelled if a cancellation came first, and
// expectedWait if a refusal came between two tries.
func (st *Store) Accept(ctx context.Context, job *workflow.Job) (stored *workflow.Job, err error) {
	job.RecordBytes = st.recordBytes()
	text, err := st.EncodeJob(job)
	if err != nil {
		return nil, err
	}
	if err := st.checkSize(job, len(text)); err != nil {
		return nil, state.NewStepError("store a job", netip.AddrPort{}, state.BodyTooLarge, err)
	}
	a := acceptance{store: st, id: job.ID, text: text}
	if err := st.retry(ctx, a.try); err != nil {
		return nil, err
	}
	switch {
	case a.cancelled:
		return nil, state.NewStepError("store a job", netip.AddrPort{}, state.Cancelled, nil)
	case a.refused:
		return nil, state.NewStepError("store a job", netip.AddrPort{}, state.ExpectedWait, nil)
	case a.stored == nil:
		return job, nil
	}
	stored, err = st.DecodeJob(job.ID, a.stored)
	if err != nil {
		return nil, state.NewAmbiguousStepError("read the stored job", netip.AddrPort{}, state.StoreUnavailable, err)
	}
	return stored, nil
}

// recordBytes returns how large the records of a job's progress are by estimate: half
// of a value, as the last group of a record may exceed its share.
func (st *Store) recordBytes() int { return st.ValueBytes() / 2 }

// checkSize reports why the store cannot hold the job's own record, or the record of
// the progress of its largest gang.
func (st *Store) checkSize(job *workflow.Job, jobBytes int) error {
	limit := st.ValueBytes()
	if limit <= 0 {
		return nil
	}
	if jobBytes > limit {
		return errors.Errorf("the job's description takes %d bytes, the store has room for %d", jobBytes, limit)
	}
	for i := range job.Steps {
		if s := &job.Steps[i]; s.PlacementBytes() > st.recordBytes() {
			return errors.Errorf("step %d: the store has no room for the workers of a gang of %d", i, s.Tasks)
		}
	}
	return nil
}

// Cancel stores a cancellation of the job. If there is no such job, known is false and the
// cancellation keeps it from being stored, also by a write that is under way.
func (st *Store) Cancel(ctx context.Context, id workflow.ID) (known bool, err error) {
	job, _, err := st.get(ctx, jobKey(id))
	if err != nil {
		return false, err
	}
	revision := job.Revision
	err = st.retry(ctx, func(ctx context.Context) (err error) {
		revision, err = st.cancelAt(ctx, id, revision)
		return err
	})
	return revision != 0, err
}

// cancelAt stores a cancellation, for the job at the revision that was read last, 0 for
// none. It returns the revision for which it is stored.
func (st *Store) cancelAt(ctx context.Context, id workflow.ID, revision keyvalue.Revision) (keyvalue.Revision, error) {
	for {
		_, err := st.Store.Commit(ctx, keyvalue.Change{
			Conditions: []keyvalue.Condition{{Key: jobKey(id), Revision: revision}, {Key: cancelKey(id)}},
			Puts:       []keyvalue.Put{{Key: cancelKey(id), Value: []byte{1}}},
		})
		var conflict *keyvalue.ConflictError
		if !errors.As(err, &conflict) {
			return revision, err
		}
		job, _ := conflict.Find(jobKey(id))
		if _, cancelled := conflict.Find(cancelKey(id)); cancelled {
			return job.Revision, nil
		}
		if job.Revision == revision {
			return revision, state.NewStepError("store a cancellation", netip.AddrPort{}, state.StoreUnavailable, err)
		}
		// The job was stored or deleted since it was read, which happens once each.
		revision = job.Revision
	}
}

// Status returns the status of a job; known is false if there is no such job.
func (st *Store) Status(ctx context.Context, id workflow.ID) (status workflow.Status, known bool, err error) {
	item, known, err := st.get(ctx, progressKey(id, 0))
	if err != nil {
		return "", false, err
	}
	if known {
		status, err := st.DecodeStatus(item.Value)
		return status, true, err
	}
	_, known, err = st.get(ctx, jobKey(id))
	return workflow.Queued, known, err
}

// Pending returns the planner's figures of the waiting jobs. While no planner counts
// them, it returns an error with the reason noPlanner.
func (st *Store) Pending(ctx context.Context) (backlog.Figures, error) {
	item, known, err := st.get(ctx, pendingKey)
	if err != nil {
		return backlog.Figures{}, err
	}
	if !known {
		return backlog.Figures{}, state.NewStepError("read the numbers of waiting jobs", netip.AddrPort{}, state.NoPlanner, nil)
	}
	return st.DecodePending(item.Value)
}

// get reads a key, with retries; known is false if it does not exist. Its error is
// never ambiguous, as a read that was not answered changes nothing.
func (st *Store) get(ctx context.Context, key string) (item keyvalue.Item, known bool, err error) {
	err = st.retry(ctx, func(ctx context.Context) error {
		item, known, _, err = st.Store.Get(ctx, key)
		return err
	})
	if err != nil && state.IsAmbiguous(err) {
		err = state.NewStepError("read a job's record", netip.AddrPort{}, state.StoreUnavailable, err)
	}
	return item, known, err
}

// retry repeats a call until it succeeds, the store refuses it, the context ends, or
// retryLimit has passed and no try can have had an effect. The error is ambiguous if that of any try was.
func (st *Store) retry(ctx context.Context, call func(ctx context.Context) error) error {
	began := time.Now()
	var ambiguous error
	for {
		trying, cancel := context.WithTimeout(ctx, tryTimeout)
		err := call(trying)
		cancel()
		if err == nil {
			return nil
		}
		if state.IsAmbiguous(err) {
			ambiguous = err
		}
		if ambiguous == nil && (keyvalue.IsRefused(err) || time.Since(began) >= retryLimit) {
			return err
		}
		if pause.For(ctx, retryPause) {
			continue
		}
		if ambiguous != nil {
			return ambiguous
		}
		return err
	}
}
