package hosted

import (
	"context"
	"maps"
	"sync"
	"time"

	"comfreystream/coordination/archive"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
	"comfreystream/coordination/scheduling"
	"comfreystream/coordination/seat"
	"comfreystream/platform"
	"comfreystream/state/workflow"
)

const (
	// loadRetry is the time between tries to read what is on record.
	loadRetry = 100 * time.Millisecond
	// registryInterval is how often the workers' registry is read; a leaving
	// worker is known within it.
	registryInterval = 500 * time.Millisecond
	// registryTimeout bounds one read.
	registryTimeout = 1200 * time.Millisecond
	// pendingInterval is how often the number of waiting jobs is recorded.
	pendingInterval = time.Second
	// deleteInterval is how often ended jobs are looked for, deleteMargin what
	// they are kept for beyond the platform's bound.
	deleteInterval = 15 * time.Second
	deleteMargin   = time.Minute
)

// term is the planner's work while this instance has the seat.
type term struct {
	instance  *Instance
	ctx       context.Context
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	scheduler *scheduling.Scheduler
	// condition holds in the store as long as the term goes on.
	condition keyvalue.Condition
	// progress is what was on record when the term began; it is set once loaded
	// is closed.
	progress map[workflow.ID]archive.StoredProgress
	loaded   chan struct{}
	complete sync.Once
}

// beginTerm starts to plan; the candidate calls it and endTerm in turn.
func (i *Instance) beginTerm(revision keyvalue.Revision) {
	s := i.settings.Load()
	t := &term{instance: i, condition: keyvalue.Condition{Key: seat.Key, Revision: revision}, loaded: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancel(i.ctx)
	t.scheduler = &scheduling.Scheduler{
		Term: scheduling.Term(revision),
		Bounds: scheduling.Bounds{
			LeaseLimit: s.LeaseLimit, StopLimit: s.StopLimit,
			ReclaimLimit: s.ReclaimLimit, FarFactor: s.FarFactor, Overlap: seat.LeaseTTL,
		},
		Now: time.Now, Wall: time.Now, Workers: i.workers.Calls(),
		Authorised: func() bool { return i.candidate.Valid(revision) },
		Save: func(ctx context.Context, saves []scheduling.Save) ([]keyvalue.Revision, error) {
			return i.plans.Save(ctx, t.condition, saves)
		},
		Guarantee: i.guarantee,
		Ended:     func() { i.candidate.GiveUp(revision) },
		Count:     i.metrics.CountPlanner,
		Log:       i.log,
	}
	t.scheduler.Open()
	i.term.Store(t)
	t.loops.Go(t.plan)
}

func (i *Instance) endTerm() {
	t := i.term.Swap(nil)
	t.cancel()
	t.loops.Wait()
	_ = t.scheduler.Close()
}

// guarantee returns what an organisation can always have.
func (i *Instance) guarantee(organisation string) int {
	p := i.book.Current()
	if p == nil {
		return 0
	}
	return p.Guarantees[organisation]
}

// plan loads what is on record, then follows jobs and workers.
func (t *term) plan() {
	i := t.instance
	for t.ctx.Err() == nil {
		var err error
		if t.progress, err = i.plans.Load(t.ctx); err == nil {
			close(t.loaded)
			break
		}
		i.log.Warn().Str("event", "progressNotLoaded").Err(err).Send()
		pause.For(t.ctx, loadRetry)
	}
	i.plans.FollowIntake(t.ctx, archive.IntakeHandler{
		Accepted:  t.accepted,
		Cancelled: t.cancelled,
		Listed: func() {
			t.complete.Do(func() {
				i.log.Info().Str("event", "recordLoaded").Int("jobs", len(t.progress)).Send()
				t.loops.Go(t.followWorkers)
				t.loops.Go(t.recordPending)
				t.loops.Go(t.deleteSettled)
			})
		},
		Failed: func(err error) { i.log.Warn().Str("event", "intakeUnwatched").Err(err).Send() },
	})
}

// accepted takes a job, perhaps again; before the record is loaded it is left
// to the listing that follows.
func (t *term) accepted(job *workflow.Job) {
	select {
	case <-t.loaded:
		loaded := t.progress[job.ID]
		t.scheduler.Load(job, loaded.Progress, loaded.Revision)
	default:
	}
}

func (t *term) cancelled(id workflow.ID) { t.scheduler.Cancel(id) }

// followWorkers reads the registry until the term ends.
func (t *term) followWorkers() {
	i := t.instance
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, registryTimeout)
		items, _, err := i.direct.List(ctx, platform.WorkersPrefix)
		cancel()
		if err != nil {
			if t.ctx.Err() == nil {
				i.log.Warn().Str("event", "registryUnread").Err(err).Send()
			}
		} else {
			t.scheduler.SetWorkers(i.decodeWorkers(items))
		}
		pause.For(t.ctx, registryInterval)
	}
}

func (i *Instance) decodeWorkers(items []keyvalue.Item) []workflow.Worker {
	workers := make([]workflow.Worker, 0, len(items))
	for _, item := range items {
		w, err := platform.DecodeWorker(item.Key, item.Value)
		if err != nil {
			i.log.Debug().Str("event", "registryEntryIgnored").Str("key", item.Key).Err(err).Send()
			continue
		}
		workers = append(workers, w)
	}
	return workers
}

// recordPending puts the number of waiting jobs on record when it has changed.
func (t *term) recordPending() {
	i := t.instance
	var last map[string]int
	for t.ctx.Err() == nil {
		pending := t.scheduler.Pending()
		if !maps.Equal(pending, last) && i.candidate.Valid(t.condition.Revision) {
			if err := i.plans.SavePending(t.ctx, t.condition, pending); err == nil {
				last = pending
			} else if t.ctx.Err() == nil {
				i.log.Warn().Str("event", "pendingNotRecorded").Err(err).Send()
			}
		}
		pause.For(t.ctx, pendingInterval)
	}
}

// deleteSettled removes the record of jobs that ended long ago.
func (t *term) deleteSettled() {
	i := t.instance
	for pause.For(t.ctx, deleteInterval) {
		ids := t.scheduler.Settled(i.settings.Load().StatusRetention + deleteMargin)
		if len(ids) == 0 || !i.candidate.Valid(t.condition.Revision) {
			continue
		}
		gone, err := i.plans.Delete(t.ctx, t.condition, ids)
		t.scheduler.Forget(gone)
		line := i.log.Info()
		if err != nil {
			line = i.log.Warn().Err(err)
		}
		line.Str("event", "recordDeleted").Int("jobs", len(gone)).Send()
	}
}
