package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
	"comfreystream/state/workflow"
)

// IntakeHandler holds the callbacks of FollowIntake; every field must be set.
type IntakeHandler struct {
	// Loaded is called once with the stored progress, before any other field but Failed.
	Loaded    func(progress map[workflow.ID]StoredProgress)
	Accepted  func(job *workflow.Job)
	Cancelled func(id workflow.ID)
	// Fenced is called for each cancellation and refusal, with its revision.
	Fenced func(id workflow.ID, revision keyvalue.Revision)
	// Listed is called after each complete listing of the stored jobs and
	// cancellations.
	Listed func()
	// Failed is called when a call of the store fails or a job cannot be decoded.
	Failed func(err error)
}

// FollowIntake loads the stored progress and reports accepted jobs and cancellations until
// the context ends. It may report one several times, and reports a job before its
// cancellation. Progress and jobs are read at the same time, as only the planner that
// calls this changes the progress, and it does so for reported jobs only.
func (st *Store) FollowIntake(ctx context.Context, h IntakeHandler) {
	loaded := make(chan struct{})
	var loading sync.WaitGroup
	loading.Go(func() { st.loadForPlanner(ctx, h, loaded) })
	defer loading.Wait()
	report := func(items []keyvalue.Item, _ time.Time) {
		var cancels []workflow.ID
		for _, item := range items {
			id, suffix, known := parseIntakeKey(item.Key)
			switch {
			case !known || item.Deleted:
			case suffix == cancelSuffix:
				cancels = append(cancels, id)
				h.Fenced(id, item.Revision)
			case suffix == refusalSuffix:
				h.Fenced(id, item.Revision)
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
		select {
		case <-loaded:
		case <-ctx.Done():
			return
		}
		report(items, asOf)
		h.Listed()
	}
	f := keyvalue.Follower{Store: st.Store, Prefix: intakePrefix, Starts: st.IDStarts, Reset: reset, Apply: report, Failed: h.Failed, Recovered: func() {}}
	f.Run(ctx)
}

// loadForPlanner loads the progress, with retries, and closes loaded.
func (st *Store) loadForPlanner(ctx context.Context, h IntakeHandler, loaded chan<- struct{}) {
	for {
		progress, err := st.Load(ctx)
		if err == nil {
			h.Loaded(progress)
			close(loaded)
			return
		}
		if ctx.Err() != nil {
			return
		}
		h.Failed(errors.Wrap(err, "load the progress of the jobs"))
		pause.For(ctx, loadRetryPause)
	}
}
