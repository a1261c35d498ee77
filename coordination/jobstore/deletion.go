package jobstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/state/workflow"
)

const (
	// jobsPerDelete and recordsPerDelete keep a change within the store's limit of 32
	// entries: three keys for each job or one for each record, and the condition of
	// the term.
	jobsPerDelete    = 10
	recordsPerDelete = 31
)

// Delete deletes all keys of the jobs while the term's condition holds. It
// returns the jobs deleted, which are some of them after an error.
func (st *Store) Delete(ctx context.Context, term keyvalue.Condition, jobs []scheduling.StoredJob) ([]workflow.ID, error) {
	var deleted []workflow.ID
	for chunk := range slices.Chunk(jobs, jobsPerDelete) {
		var further, last []string
		ids := make([]workflow.ID, 0, len(chunk))
		for _, job := range chunk {
			ids = append(ids, job.ID)
			last = append(last, jobKey(job.ID), cancelKey(job.ID), progressKey(job.ID, 0))
			for _, record := range job.Records {
				if record != 0 {
					further = append(further, progressKey(job.ID, record))
				}
			}
		}
		// The record with the final status goes last, so that what is left after a failure
		// is never taken for a job to be run.
		for keys := range slices.Chunk(further, recordsPerDelete) {
			if err := st.deleteKeys(ctx, term, keys); err != nil {
				return deleted, err
			}
		}
		if err := st.deleteKeys(ctx, term, last); err != nil {
			return deleted, err
		}
		deleted = append(deleted, ids...)
	}
	return deleted, nil
}

func (st *Store) deleteKeys(ctx context.Context, term keyvalue.Condition, keys []string) error {
	return st.commitTimed(ctx, keyvalue.Change{Conditions: []keyvalue.Condition{term}, Deletes: keys})
}

// commitTimed makes a change whose revision is of no interest, within saveTimeout.
func (st *Store) commitTimed(ctx context.Context, change keyvalue.Change) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	_, err := st.Store.Commit(ctx, change)
	return err
}

// Tombstones holds the jobs of which cancellations or refusals are stored. These keep a
// write that is under way from storing the job, and are deleted once there can be none. The
// zero value is ready for use; it is safe for concurrent use.
type Tombstones struct {
	mu    sync.Mutex
	known map[workflow.ID]tombstone
}

// tombstone is when a job's newest cancellation or refusal was first seen.
type tombstone struct {
	revision keyvalue.Revision
	since    time.Time
}

// Add notes a cancellation or refusal. One that is noted already, which a later listing
// has again, does not become younger.
func (t *Tombstones) Add(id workflow.ID, revision keyvalue.Revision, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known == nil {
		t.known = make(map[workflow.ID]tombstone)
	}
	if t.known[id].revision < revision {
		t.known[id] = tombstone{revision, now}
	}
}

// Due returns the tombstones that were noted before the time.
func (t *Tombstones) Due(before time.Time) (ids []workflow.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, stone := range t.known {
		if stone.since.Before(before) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Remove forgets tombstones.
func (t *Tombstones) Remove(ids []workflow.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		delete(t.known, id)
	}
}

// tombstonesPerDelete keeps a change within the store's limit of 32 entries: a condition and
// two deletes for each, and the condition of the term.
const tombstonesPerDelete = 10

// DeleteTombstones deletes tombstones while the term's condition holds; those of a job that
// is stored go with it. It returns the jobs that are settled, which are some of them after
// an error.
func (st *Store) DeleteTombstones(ctx context.Context, term keyvalue.Condition, ids []workflow.ID) (settled []workflow.ID, err error) {
	for chunk := range slices.Chunk(ids, tombstonesPerDelete) {
		if err := st.deleteTombstones(ctx, term, chunk); err != nil {
			return settled, err
		}
		settled = append(settled, chunk...)
	}
	return settled, nil
}

// deleteTombstones deletes one change's tombstones; a conflict names those that stay.
func (st *Store) deleteTombstones(ctx context.Context, term keyvalue.Condition, ids []workflow.ID) error {
	for len(ids) > 0 {
		err := st.commitDeletion(ctx, term, ids)
		var conflict *keyvalue.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		left := slices.DeleteFunc(slices.Clone(ids), func(id workflow.ID) bool {
			_, stored := conflict.Find(jobKey(id))
			return stored
		})
		if len(left) == len(ids) {
			return err // the term is over
		}
		ids = left
	}
	return nil
}

func (st *Store) commitDeletion(ctx context.Context, term keyvalue.Condition, ids []workflow.ID) error {
	change := keyvalue.Change{Conditions: []keyvalue.Condition{term}}
	for _, id := range ids {
		change.Conditions = append(change.Conditions, keyvalue.Condition{Key: jobKey(id)})
		change.Deletes = append(change.Deletes, cancelKey(id), refusalKey(id))
	}
	return st.commitTimed(ctx, change)
}
