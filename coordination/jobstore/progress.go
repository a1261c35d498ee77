package jobstore

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

const (
	// saveTimeout bounds the commit of one change.
	saveTimeout = time.Second
	// loadTimeout bounds the listing of all progress.
	loadTimeout = 5 * time.Second
	// loadRetryPause is the wait after a failed load of the progress.
	loadRetryPause = 100 * time.Millisecond
)

// StoredProgress is a job's progress in the store.
type StoredProgress struct {
	Progress workflow.Progress
	// Revisions holds the revisions of the records by number.
	Revisions map[int]keyvalue.Revision
	// Err is set if a record cannot be decoded; nothing may be started then, as the
	// job's tasks may have run.
	Err error
}

// Load reads the progress of all jobs; only for the planner is it certain to be
// current, as nobody else may save progress.
func (st *Store) Load(ctx context.Context) (map[workflow.ID]StoredProgress, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	items, _, err := st.Store.ListParts(ctx, progressPrefix, st.IDStarts)
	if err != nil {
		return nil, err
	}
	all := make(map[workflow.ID]StoredProgress, len(items))
	for _, item := range items {
		if id, number, known := parseProgressKey(item.Key); known {
			all[id] = st.addRecord(all[id], number, item)
		}
	}
	return all, nil
}

// addRecord adds the record in the item to the job's progress.
func (st *Store) addRecord(job StoredProgress, number int, item keyvalue.Item) StoredProgress {
	if job.Revisions == nil {
		job.Revisions = make(map[int]keyvalue.Revision)
	}
	job.Revisions[number] = item.Revision
	part, err := st.DecodeProgress(item.Value)
	if err != nil {
		job.Err = errors.Wrapf(err, "decode progress at key %s", item.Key)
		return job
	}
	if number == 0 {
		job.Progress.Status, job.Progress.Routing = part.Status, part.Routing
	}
	if job.Progress.Groups == nil {
		job.Progress.Groups = make(map[workflow.GroupID]workflow.Group, len(part.Groups))
	}
	maps.Copy(job.Progress.Groups, part.Groups)
	return job
}

// Save stores progress while the term's condition holds, which is that the planner's
// key is unchanged; else the results have scheduling.ErrTermEnded. What the store
// refuses does not keep the rest from being stored; once the store cannot be
// reached, the rest is not tried.
func (st *Store) Save(ctx context.Context, term keyvalue.Condition, updates []scheduling.ProgressUpdate) []scheduling.SaveResult {
	s := saver{store: st, term: term, updates: updates, results: make([]scheduling.SaveResult, len(updates)), statusUnsaved: make(map[workflow.ID]error)}
	var chunk []encodedUpdate
	chunkBytes, limit := 0, st.ValueBytes()
	for i, update := range updates {
		s.results[i].Revision = update.Revision
		value, leftOut, err := st.encode(update)
		if err != nil {
			s.setError(i, err)
			continue
		}
		s.results[i].CheckpointsLeftOut = leftOut
		if len(chunk) == scheduling.RecordsPerChange || limit > 0 && len(chunk) > 0 && chunkBytes+len(value) > limit {
			s.save(ctx, chunk)
			chunk, chunkBytes = nil, 0
		}
		chunk, chunkBytes = append(chunk, encodedUpdate{i, value}), chunkBytes+len(value)
	}
	s.save(ctx, chunk)
	return s.results
}

// encode returns the update's record. It leaves out the checkpoints if the record is
// too large with them: the work may be done again from its start. The error has
// the reason badRequest.
func (st *Store) encode(update scheduling.ProgressUpdate) (value []byte, checkpointsLeftOut bool, err error) {
	limit := st.ValueBytes()
	value, err = st.EncodeProgress(update.Progress)
	if err == nil && limit > 0 && len(value) > limit {
		checkpointsLeftOut = true
		value, err = st.EncodeProgress(update.Progress.WithoutCheckpoints())
	}
	if err == nil && limit > 0 && len(value) > limit {
		err = errors.Errorf("%d bytes, the store takes %d", len(value), limit)
	}
	if err != nil {
		return nil, false, state.NewStepError("encode the progress of job "+string(update.Job), netip.AddrPort{}, state.BadRequest, err)
	}
	return value, checkpointsLeftOut, nil
}

// encodedUpdate is the record of the update at the index.
type encodedUpdate struct {
	index int
	value []byte
}

// saver saves a list of updates.
type saver struct {
	store   *Store
	term    keyvalue.Condition
	updates []scheduling.ProgressUpdate
	results []scheduling.SaveResult
	// statusUnsaved holds the errors of jobs whose record 0 was not saved.
	statusUnsaved map[workflow.ID]error
	// failure is the error of the first change that did not reach the store, or the end
	// of the term.
	failure error
}

// save saves some updates in one change. If the store refuses it, each is saved by
// itself.
func (s *saver) save(ctx context.Context, chunk []encodedUpdate) {
	if s.failure != nil {
		s.setErrors(chunk, s.failure)
		return
	}
	chunk = slices.DeleteFunc(chunk, s.waitsForStatus)
	if len(chunk) == 0 {
		return
	}
	revision, err := s.commit(ctx, chunk)
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		for _, u := range chunk {
			s.results[u.index].Revision = revision
		}
	case errors.As(err, &conflict):
		s.applyConflict(chunk, conflict)
	case keyvalue.IsRefused(err) && len(chunk) > 1:
		for i := range chunk {
			s.save(ctx, chunk[i:i+1])
		}
	case keyvalue.IsRefused(err):
		s.setErrors(chunk, err)
	default:
		s.failure = err
		s.setErrors(chunk, err)
	}
}

// waitsForStatus reports whether the update must not be saved yet, because its job's
// record 0 was not.
func (s *saver) waitsForStatus(u encodedUpdate) bool {
	err, unsaved := s.statusUnsaved[s.updates[u.index].Job]
	if unsaved {
		s.results[u.index].Err = err
	}
	return unsaved
}

func (s *saver) setErrors(chunk []encodedUpdate, err error) {
	for _, u := range chunk {
		s.setError(u.index, err)
	}
}

func (s *saver) setError(index int, err error) {
	s.results[index].Err = err
	if s.updates[index].Record == 0 {
		s.statusUnsaved[s.updates[index].Job] = err
	}
}

// commit makes one change. The conditions on the records' own keys keep a delayed
// write from overwriting a newer one.
func (s *saver) commit(ctx context.Context, chunk []encodedUpdate) (keyvalue.Revision, error) {
	change := keyvalue.Change{Conditions: []keyvalue.Condition{s.term}}
	largest := chunk[0]
	for _, u := range chunk {
		update := s.updates[u.index]
		change.Conditions = append(change.Conditions, keyvalue.Condition{Key: progressKey(update.Job, update.Record), Revision: update.Revision})
		change.Puts = append(change.Puts, keyvalue.Put{Key: progressKey(update.Job, update.Record), Value: u.value})
		if len(u.value) > len(largest.value) {
			largest = u
		}
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	revision, err := s.store.Store.Commit(ctx, change)
	return revision, errors.Wrapf(err, "save %d records, the largest with %d bytes of job %s", len(chunk), len(largest.value), s.updates[largest.index].Job)
}

// ErrStaleRevision means that an earlier save took effect although its answer was
// lost. The save can be repeated with the revision in the result.
var ErrStaleRevision = errors.New("an earlier save without an answer has changed the revision")

// applyConflict sets the stored revisions and ErrStaleRevision, or
// scheduling.ErrTermEnded if the planner's key has changed.
func (s *saver) applyConflict(chunk []encodedUpdate, conflict *keyvalue.ConflictError) {
	if item, found := conflict.Find(s.term.Key); !found || item.Revision != s.term.Revision {
		s.failure = scheduling.ErrTermEnded
		s.setErrors(chunk, s.failure)
		return
	}
	for _, u := range chunk {
		item, _ := conflict.Find(progressKey(s.updates[u.index].Job, s.updates[u.index].Record))
		s.results[u.index].Revision = item.Revision
	}
	s.setErrors(chunk, ErrStaleRevision)
}
