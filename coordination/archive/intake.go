package archive

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

const (
	// tryTimeout bounds one call for a caller, directly and through another entry.
	tryTimeout = 1200 * time.Millisecond
	// tryPause is the time between tries.
	tryPause = 60 * time.Millisecond
	// refusalLimit is how long a call that surely did nothing is tried again;
	// callers do better to ask another instance then.
	refusalLimit = 400 * time.Millisecond
)

// Accept puts the job on record; the same identity again is the same job. Its
// error is ambiguous if the job may be on record or still come there.
func (a *Archive) Accept(ctx context.Context, job *workflow.Job) error {
	text, err := a.EncodeJob(job)
	if err != nil {
		return err
	}
	return a.create(ctx, keyvalue.Change{
		Conditions: []keyvalue.Condition{{Key: jobKey(job.ID)}},
		Puts:       []keyvalue.Put{{Key: jobKey(job.ID), Value: text}},
	})
}

// Cancel puts the wish on record; known is false if there is no such job.
func (a *Archive) Cancel(ctx context.Context, id workflow.ID) (known bool, err error) {
	_, known, err = a.get(ctx, jobKey(id))
	if err != nil || !known {
		return known, err
	}
	return true, a.create(ctx, keyvalue.Change{
		Conditions: []keyvalue.Condition{{Key: cancelKey(id)}},
		Puts:       []keyvalue.Put{{Key: cancelKey(id), Value: []byte{1}}},
	})
}

// Status returns how far a job is; known is false if there is none.
func (a *Archive) Status(ctx context.Context, id workflow.ID) (status workflow.Status, known bool, err error) {
	item, known, err := a.get(ctx, progressKey(id))
	if err != nil {
		return "", false, err
	}
	if known {
		status, err := a.DecodeStatus(item.Value)
		return status, true, err
	}
	_, known, err = a.get(ctx, jobKey(id))
	return workflow.Queued, known, err
}

// Pending returns the jobs without a started task, by queue.
func (a *Archive) Pending(ctx context.Context) (pending map[string]int, err error) {
	item, known, err := a.get(ctx, pendingKey)
	if err != nil || !known {
		return nil, err
	}
	return a.DecodePending(item.Value)
}

// get reads a key for a caller; known is false if there is none.
func (a *Archive) get(ctx context.Context, key string) (item keyvalue.Item, known bool, err error) {
	err = a.retry(ctx, func(ctx context.Context) error {
		item, known, _, err = a.Store.Get(ctx, key)
		return err
	})
	return item, known, err
}

// create writes keys that may exist already; then there is nothing to do. It
// is repeated until it is settled, which is harmless.
func (a *Archive) create(ctx context.Context, change keyvalue.Change) error {
	return a.retry(ctx, func(ctx context.Context) error {
		_, err := a.Store.Commit(ctx, change)
		var conflict *keyvalue.ConflictError
		if errors.As(err, &conflict) {
			return nil
		}
		return err
	})
}

// retry repeats a call until it succeeds, the context ends, or it surely did
// nothing for a while. Its error is ambiguous if any try was.
func (a *Archive) retry(ctx context.Context, call func(ctx context.Context) error) error {
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
		if ambiguous == nil && time.Since(began) >= refusalLimit {
			return err
		}
		if pause.For(ctx, tryPause) {
			continue
		}
		if ambiguous != nil {
			return ambiguous
		}
		return err
	}
}
