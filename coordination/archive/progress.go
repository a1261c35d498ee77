package archive

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/state/workflow"
)

const (
	// jobsPerChange is bounded by the store's 32 entries a change: two a job,
	// and the seat's condition.
	jobsPerChange = 15
	// saveTimeout bounds one change.
	saveTimeout = time.Second
	// loadTimeout bounds the listing of all progress.
	loadTimeout = 5 * time.Second
)

// Loaded is a job's progress as it is on record.
type Loaded struct {
	Progress workflow.Progress
	Revision keyvalue.Revision
}

// Load reads the progress of all jobs; only the holder of the seat may rely on it.
func (a *Archive) Load(ctx context.Context) (map[workflow.ID]Loaded, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	items, _, err := a.Store.List(ctx, progressPrefix)
	if err != nil {
		return nil, err
	}
	all := make(map[workflow.ID]Loaded, len(items))
	for _, item := range items {
		progress, err := a.DecodeProgress(item.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "load %s", item.Key)
		}
		all[workflow.ID(item.Key[len(progressPrefix):])] = Loaded{progress, item.Revision}
	}
	return all, nil
}

// Save puts progress on record while the seat's condition holds, and returns
// the new revisions of those saved, in order. It returns
// scheduling.ErrTermEnded once the seat is another's.
func (a *Archive) Save(ctx context.Context, seat keyvalue.Condition, saves []scheduling.Save) ([]keyvalue.Revision, error) {
	revisions := make([]keyvalue.Revision, 0, len(saves))
	for part := range slices.Chunk(saves, jobsPerChange) {
		saved, err := a.savePart(ctx, seat, part)
		revisions = append(revisions, saved...)
		if err != nil {
			return revisions, err
		}
	}
	return revisions, nil
}

// savePart writes one change. Its conditions on the jobs' own keys keep a
// write that comes late from undoing a newer one.
func (a *Archive) savePart(ctx context.Context, seat keyvalue.Condition, saves []scheduling.Save) ([]keyvalue.Revision, error) {
	change := keyvalue.Change{Conditions: []keyvalue.Condition{seat}}
	for _, s := range saves {
		text, err := a.EncodeProgress(s.Progress)
		if err != nil {
			return nil, err
		}
		change.Conditions = append(change.Conditions, keyvalue.Condition{Key: progressKey(s.Job), Revision: s.Revision})
		change.Puts = append(change.Puts, keyvalue.Put{Key: progressKey(s.Job), Value: text})
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	revision, err := a.Store.Commit(ctx, change)
	var conflict *keyvalue.ConflictError
	switch {
	case errors.As(err, &conflict):
		return currentRevisions(seat, conflict, saves)
	case err != nil:
		return nil, err
	}
	revisions := make([]keyvalue.Revision, len(saves))
	for i := range revisions {
		revisions[i] = revision
	}
	return revisions, nil
}

// ErrOvertaken says that an earlier write without an answer was carried out;
// the same can be saved again over the revisions returned with it.
var ErrOvertaken = errors.New("an earlier write was carried out")

// currentRevisions tells the loss of the seat from an own write that was
// carried out without an answer.
func currentRevisions(seat keyvalue.Condition, conflict *keyvalue.ConflictError, saves []scheduling.Save) ([]keyvalue.Revision, error) {
	if item, found := conflict.Find(seat.Key); !found || item.Revision != seat.Revision {
		return nil, scheduling.ErrTermEnded
	}
	revisions := make([]keyvalue.Revision, len(saves))
	for i, s := range saves {
		if item, found := conflict.Find(progressKey(s.Job)); found {
			revisions[i] = item.Revision
		}
	}
	return revisions, ErrOvertaken
}

// jobsPerDeletion is bounded by the store's 32 entries a change: three keys a
// job, and the seat's condition.
const jobsPerDeletion = 10

// Delete removes all that is on record of jobs; it returns those that are gone.
func (a *Archive) Delete(ctx context.Context, seat keyvalue.Condition, ids []workflow.ID) ([]workflow.ID, error) {
	var gone []workflow.ID
	for part := range slices.Chunk(ids, jobsPerDeletion) {
		change := keyvalue.Change{Conditions: []keyvalue.Condition{seat}}
		for _, id := range part {
			change.Deletes = append(change.Deletes, jobKey(id), cancelKey(id), progressKey(id))
		}
		deleting, cancel := context.WithTimeout(ctx, saveTimeout)
		_, err := a.Store.Commit(deleting, change)
		cancel()
		if err != nil {
			return gone, err
		}
		gone = append(gone, part...)
	}
	return gone, nil
}

// SavePending puts the number of waiting jobs on record.
func (a *Archive) SavePending(ctx context.Context, seat keyvalue.Condition, pending map[string]int) error {
	text, err := a.EncodePending(pending)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	_, err = a.Store.Commit(ctx, keyvalue.Change{
		Conditions: []keyvalue.Condition{seat},
		Puts:       []keyvalue.Put{{Key: pendingKey, Value: text}},
	})
	return err
}

// Listener hears what comes into the archive; every field must be set.
type Listener struct {
	Accepted  func(job *workflow.Job)
	Cancelled func(id workflow.ID)
	// Complete is called whenever all that was on record has been told.
	Complete func()
	Failed   func(err error)
}

// FollowIntake tells accepted jobs and cancellations, some of them again,
// until the context ends. A job comes before its cancellation.
func (a *Archive) FollowIntake(ctx context.Context, l Listener) {
	take := func(items []keyvalue.Item, _ time.Time) {
		var cancels []workflow.ID
		for _, item := range items {
			id, isCancel, known := intakeOf(item.Key)
			switch {
			case !known || item.Deleted:
			case isCancel:
				cancels = append(cancels, id)
			default:
				job, err := a.DecodeJob(id, item.Value)
				if err != nil {
					l.Failed(err)
					continue
				}
				l.Accepted(job)
			}
		}
		for _, id := range cancels {
			l.Cancelled(id)
		}
	}
	reset := func(items []keyvalue.Item, asOf time.Time) {
		take(items, asOf)
		l.Complete()
	}
	f := keyvalue.Follower{Store: a.Store, Prefix: intakePrefix, Reset: reset, Apply: take, Failed: l.Failed, Recovered: func() {}}
	f.Run(ctx)
}
