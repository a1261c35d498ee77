package jobstore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/state/workflow"
)

const (
	// jobsPerSave keeps a change within the store's limit of 32 entries: a
	// condition and a put for each job, and the condition of the term.
	jobsPerSave = 15
	// saveTimeout bounds the commit of one change.
	saveTimeout = time.Second
	// loadTimeout bounds the listing of all progress.
	loadTimeout = 5 * time.Second
)

// StoredProgress is a job's progress in the store.
type StoredProgress struct {
	Progress workflow.Progress
	Revision keyvalue.Revision
	// Err is set if the progress cannot be decoded; nothing may be started then, as
	// the job's tasks may have run.
	Err error
}

// Load reads the progress of all jobs; only for the planner is it certain to be
// current, as nobody else may save progress.
func (st *Store) Load(ctx context.Context) (map[workflow.ID]StoredProgress, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	items, _, err := st.Store.List(ctx, progressPrefix)
	if err != nil {
		return nil, err
	}
	all := make(map[workflow.ID]StoredProgress, len(items))
	for _, item := range items {
		progress, err := st.DecodeProgress(item.Value)
		all[workflow.ID(item.Key[len(progressPrefix):])] = StoredProgress{
			progress, item.Revision, errors.Wrapf(err, "decode progress at key %s", item.Key),
		}
	}
	return all, nil
}

// Save stores progress while the term's condition holds, which is that the planner's
// key is unchanged. It returns the new revisions of the jobs saved, in order, and
// scheduling.ErrTermEnded if the key has changed.
func (st *Store) Save(ctx context.Context, term keyvalue.Condition, updates []scheduling.ProgressUpdate) ([]keyvalue.Revision, error) {
	revisions := make([]keyvalue.Revision, 0, len(updates))
	for chunk := range slices.Chunk(updates, jobsPerSave) {
		saved, err := st.saveChunk(ctx, term, chunk)
		revisions = append(revisions, saved...)
		if err != nil {
			return revisions, err
		}
	}
	return revisions, nil
}

// saveChunk saves the progress of up to jobsPerSave jobs in one change. The
// conditions on the jobs' own keys keep a delayed write from overwriting a newer one.
func (st *Store) saveChunk(ctx context.Context, term keyvalue.Condition, updates []scheduling.ProgressUpdate) ([]keyvalue.Revision, error) {
	change := keyvalue.Change{Conditions: []keyvalue.Condition{term}}
	for _, s := range updates {
		text, err := st.EncodeProgress(s.Progress)
		if err != nil {
			return nil, err
		}
		change.Conditions = append(change.Conditions, keyvalue.Condition{Key: progressKey(s.Job), Revision: s.Revision})
		change.Puts = append(change.Puts, keyvalue.Put{Key: progressKey(s.Job), Value: text})
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	revision, err := st.Store.Commit(ctx, change)
	var conflict *keyvalue.ConflictError
	switch {
	case errors.As(err, &conflict):
		return currentRevisions(term, conflict, updates)
	case err != nil:
		largest := slices.MaxFunc(change.Puts, func(a, b keyvalue.Put) int { return cmp.Compare(len(a.Value), len(b.Value)) })
		return nil, errors.Wrapf(err, "save %d records, the largest with %d bytes at key %s", len(updates), len(largest.Value), largest.Key)
	}
	revisions := make([]keyvalue.Revision, len(updates))
	for i := range revisions {
		revisions[i] = revision
	}
	return revisions, nil
}

// ErrStaleRevision means that an earlier save took effect although its answer was
// lost. The save can be repeated with the revisions returned with this error.
var ErrStaleRevision = errors.New("an earlier save without an answer has changed the revision")

// currentRevisions returns the stored revisions of the updates' jobs and
// ErrStaleRevision, or scheduling.ErrTermEnded if the planner's key has changed.
func currentRevisions(term keyvalue.Condition, conflict *keyvalue.ConflictError, updates []scheduling.ProgressUpdate) ([]keyvalue.Revision, error) {
	if item, found := conflict.Find(term.Key); !found || item.Revision != term.Revision {
		return nil, scheduling.ErrTermEnded
	}
	revisions := make([]keyvalue.Revision, len(updates))
	for i, s := range updates {
		if item, found := conflict.Find(progressKey(s.Job)); found {
			revisions[i] = item.Revision
		}
	}
	return revisions, ErrStaleRevision
}

// jobsPerDelete keeps a change within the store's limit of 32 entries: three keys
// for each job and the condition of the term.
const jobsPerDelete = 10

// Delete deletes all keys of the jobs while the term's condition holds. It
// returns the jobs deleted, which are some of them after an error.
func (st *Store) Delete(ctx context.Context, term keyvalue.Condition, ids []workflow.ID) ([]workflow.ID, error) {
	var deleted []workflow.ID
	for chunk := range slices.Chunk(ids, jobsPerDelete) {
		change := keyvalue.Change{Conditions: []keyvalue.Condition{term}}
		for _, id := range chunk {
			change.Deletes = append(change.Deletes, jobKey(id), cancelKey(id), progressKey(id))
		}
		deleting, cancel := context.WithTimeout(ctx, saveTimeout)
		_, err := st.Store.Commit(deleting, change)
		cancel()
		if err != nil {
			return deleted, err
		}
		deleted = append(deleted, chunk...)
	}
	return deleted, nil
}

// SavePending stores the number of jobs without a started task, by queue, until the
// lease ends, which is that of the term.
func (st *Store) SavePending(ctx context.Context, term keyvalue.Condition, lease keyvalue.LeaseID, pending map[string]int) error {
	text, err := st.EncodePending(pending)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	_, err = st.Store.Commit(ctx, keyvalue.Change{
		Conditions: []keyvalue.Condition{term},
		Puts:       []keyvalue.Put{{Key: pendingKey, Value: text, Lease: lease}},
	})
	return err
}

// IntakeHandler holds the callbacks of FollowIntake; every field must be set.
type IntakeHandler struct {
	Accepted  func(job *workflow.Job)
	Cancelled func(id workflow.ID)
	// Listed is called after each complete listing of the stored jobs and
	// cancellations.
	Listed func()
	// Failed is called when a call of the store fails or a job cannot be decoded.
	Failed func(err error)
}

// FollowIntake reports accepted jobs and cancellations until the context ends. It
// may report one several times, and reports a job before its cancellation.
func (st *Store) FollowIntake(ctx context.Context, h IntakeHandler) {
	report := func(items []keyvalue.Item, _ time.Time) {
		var cancels []workflow.ID
		for _, item := range items {
			id, isCancel, known := parseIntakeKey(item.Key)
			switch {
			case !known || item.Deleted:
			case isCancel:
				cancels = append(cancels, id)
			default:
				job, err := st.DecodeJob(id, item.Value)
				if err != nil {
					h.Failed(err)
					continue
				}
				h.Accepted(job)
			}
		}
		for _, id := range cancels {
			h.Cancelled(id)
		}
	}
	reset := func(items []keyvalue.Item, asOf time.Time) {
		report(items, asOf)
		h.Listed()
	}
	f := keyvalue.Follower{Store: st.Store, Prefix: intakePrefix, Reset: reset, Apply: report, Failed: h.Failed, Recovered: func() {}}
	f.Run(ctx)
}
