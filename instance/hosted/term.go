package hosted

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/election"
	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/pause"
	"comfreystream/coordination/scheduling"
	"comfreystream/platform"
	"comfreystream/state/workflow"
)

const (
	// registryInterval is the time between reads of the workers' registry and of the
	// evacuations; it bounds how long it goes unnoticed that a worker is leaving.
	registryInterval = 500 * time.Millisecond
	// registryTimeout bounds one read of the registry.
	registryTimeout = 1200 * time.Millisecond
	// loadInterval is the time between log lines on the planner's load.
	loadInterval = 5 * time.Second
	// deleteInterval is the time between deletions of ended jobs.
	deleteInterval = 15 * time.Second
	// deleteMargin is how long ended jobs are kept beyond the platform's retention.
	deleteMargin = time.Minute
)

// term is the planner's work while this instance is the planner.
type term struct {
	instance  *Instance
	ctx       context.Context
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	scheduler *scheduling.Scheduler
	// condition holds in the store as long as the term goes on.
	condition keyvalue.Condition
	// progress is the progress stored when the term began; it may be read once loaded
	// is closed.
	progress map[workflow.ID]jobstore.StoredProgress
	loaded   chan struct{}
	// zones holds the availability zones of the registered workers; nil is not read yet.
	zones atomic.Pointer[map[string]bool]
	// listed is closed after the first listing of the stored jobs, by listOnce.
	listed   chan struct{}
	listOnce sync.Once
	began    time.Time
	// waits holds the newest waits by which jobs are refused; nil is none yet. observed
	// holds their gauges, for savePending alone.
	waits    atomic.Pointer[[]backlog.Wait]
	observed map[waitKey]time.Duration
	// returns remembers the refused jobs of all entries.
	returns backlog.Returns
	// decoding is held while a notified job is decoded.
	decoding sync.Mutex
	// tombstones holds the stored cancellations and refusals.
	tombstones jobstore.Tombstones
	// policyDue holds a value while the scheduler is to get the current configuration.
	policyDue chan struct{}
}

// beginTerm starts the scheduler. The candidate calls it and endTerm alternately.
func (i *Instance) beginTerm(revision keyvalue.Revision) {
	s := i.settings.Load()
	t := &term{instance: i, condition: keyvalue.Condition{Key: election.Key, Revision: revision}, loaded: make(chan struct{}), listed: make(chan struct{}), policyDue: make(chan struct{}, 1), began: time.Now()}
	t.ctx, t.cancel = context.WithCancel(i.ctx)
	t.scheduler = &scheduling.Scheduler{
		Term: scheduling.Term(revision), Cores: s.Cores,
		Bounds: scheduling.Bounds{
			LeaseLimit: s.LeaseLimit, StopLimit: s.StopLimit, Heartbeat: s.Heartbeat,
			ReclaimLimit: s.ReclaimLimit, FarFactor: s.FarFactor, Overlap: election.LeaseTTL,
			EvacuationAge: evacuationAge(s.EvacuateLimit),
		},
		Now: time.Now, WallClock: time.Now, Workers: i.workers.Calls(),
		Authorised: func() bool { return i.candidate.Valid(revision) },
		Save: func(ctx context.Context, updates []scheduling.ProgressUpdate) []scheduling.SaveResult {
			return i.plannerJobStore.Save(ctx, t.condition, updates)
		},
		Guarantee:   i.guarantee,
		OnTermEnded: func() { i.candidate.GiveUp(revision) },
		Count:       i.metrics.CountPlannerEvent, ObserveRound: i.metrics.ObservePlanningRound,
		Log: i.log,
	}
	t.scheduler.Open()
	i.term.Store(t)
	i.policyChanged()
	t.loops.Go(t.followPolicy)
	t.loops.Go(t.run)
	t.loops.Go(t.keepSpeeds)
	t.loops.Go(t.keepInterference)
	t.loops.Go(t.followEvacuations)
}

// endTerm stops the scheduler and waits for the term's goroutines.
func (i *Instance) endTerm() {
	t := i.term.Swap(nil)
	t.cancel()
	t.loops.Wait()
	_ = t.scheduler.Close()
}

// policyChanged has the planner, if this instance is it, apply the current configuration.
func (i *Instance) policyChanged() {
	if t := i.term.Load(); t != nil {
		select {
		case t.policyDue <- struct{}{}:
		default:
		}
	}
}

// followPolicy passes each configuration to the scheduler until the term ends.
func (t *term) followPolicy() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.policyDue:
		}
		if p := t.instance.policy.Current(); p != nil {
			t.scheduler.SetPolicy(p)
		}
	}
}

// guarantee returns the number of accelerators guaranteed to an organisation.
func (i *Instance) guarantee(organisation string) int {
	p := i.policy.Current()
	if p == nil {
		return 0
	}
	return p.Guarantees[organisation]
}

// run loads the stored progress and follows jobs and workers. What the store is asked
// for first is asked for at the same time, as each answer may take 390 ms.
func (t *term) run() {
	i := t.instance
	t.loops.Go(t.followWorkers)
	i.plannerJobStore.FollowIntake(t.ctx, jobstore.IntakeHandler{
		Loaded: func(progress map[workflow.ID]jobstore.StoredProgress) {
			t.progress = progress
			close(t.loaded)
		},
		Accepted:  func(job *workflow.Job) { t.addJob(job, jobStored) },
		Cancelled: func(id workflow.ID) { t.cancelJob(id, jobStored) },
		Fenced:    func(id workflow.ID, revision keyvalue.Revision) { t.tombstones.Add(id, revision, time.Now()) },
		Listed: func() {
			t.listOnce.Do(func() {
				i.log.Info().Str("event", "recordLoaded").Int("jobs", len(t.progress)).Dur("after", time.Since(t.began)).Send()
				close(t.listed)
				t.loops.Go(t.savePending)
				t.loops.Go(t.logLoad)
				t.loops.Go(t.deleteEnded)
			})
		},
		Failed: func(err error) { i.log.Warn().Str("event", "intakeUnwatched").Err(err).Send() },
	})
}

// jobSource says in the log from where the planner knows of a job or a cancellation.
type jobSource string

const (
	// jobStored is for what was read from the store, jobNotified for what an entry sent.
	jobStored   jobSource = "store"
	jobNotified jobSource = "notification"
)

// addJob passes a job to the scheduler, possibly again. Before the progress is loaded
// it ignores the job, as the listing that follows reports it.
func (t *term) addJob(job *workflow.Job, source jobSource) {
	select {
	case <-t.loaded:
		loaded := t.progress[job.ID]
		err := loaded.Err
		if err == nil {
			err = loaded.Progress.ValidateFor(job)
		}
		if err != nil {
			t.instance.log.Error().Str("event", "progressUnreadable").Str("request", string(job.ID)).Err(err).Send()
			return
		}
		if t.scheduler.Load(job, loaded.Progress, loaded.Revisions) {
			t.logJob("jobLoaded", job.ID, source, func(line *zerolog.Event) {
				line.Str("queue", job.Queue).Str("service", job.Service).Time("accepted", job.Accepted)
			})
		}
	default:
	}
}

func (t *term) cancelJob(id workflow.ID, source jobSource) {
	known := t.scheduler.Cancel(id)
	t.logJob("cancellationRead", id, source, func(line *zerolog.Event) { line.Bool("known", known) })
}

// logJob logs how the planner learnt of a job or a cancellation. What the first listing of
// a term reports is logged as a count alone.
func (t *term) logJob(event string, id workflow.ID, source jobSource, addFields func(line *zerolog.Event)) {
	select {
	case <-t.listed:
		line := t.instance.log.Info().Str("event", event).Str("request", string(id)).
			Int64("term", int64(t.condition.Revision)).Str("source", string(source))
		addFields(line)
		line.Send()
	default:
	}
}

// followWorkers reads the registry until the term ends.
func (t *term) followWorkers() {
	i := t.instance
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, registryTimeout)
		listedAt := time.Now()
		items, _, err := i.directStore.List(ctx, platform.WorkersPrefix)
		cancel()
		if err != nil {
			if t.ctx.Err() == nil {
				i.log.Warn().Str("event", "registryUnread").Err(err).Send()
			}
		} else {
			workers := i.decodeWorkers(items)
			t.zones.Store(zonesOf(workers))
			if !t.awaitListed(listedAt) {
				continue // this listing is too old by now
			}
			t.scheduler.SetWorkers(workers, listedAt)
		}
		pause.For(t.ctx, registryInterval)
	}
}

// awaitListed waits until the stored jobs were listed, as the workers must not be known
// before them. It returns false when the next reading of the registry is due.
func (t *term) awaitListed(readAt time.Time) bool {
	select {
	case <-t.listed:
		return true
	default:
	}
	due := time.NewTimer(registryInterval - time.Since(readAt))
	defer due.Stop()
	select {
	case <-t.listed:
		return true
	case <-due.C:
	case <-t.ctx.Done():
	}
	return false
}

func (i *Instance) decodeWorkers(items []keyvalue.Item) []workflow.Worker {
	workers := make([]workflow.Worker, 0, len(items))
	for _, item := range items {
		w, err := platform.DecodeWorker(item.Key, item.Value)
		if err != nil {
			i.log.Debug().Str("event", "registryEntryIgnored").Str("key", item.Key).Err(err).Send()
			continue
		}
		w.Beat = int64(item.Revision)
		workers = append(workers, w)
	}
	return workers
}

// logLoad logs how much the planner has to do, so that a planner under strain can be
// told from one that is cut off.
func (t *term) logLoad() {
	for pause.For(t.ctx, loadInterval) {
		for _, l := range t.scheduler.Loads() {
			t.instance.log.Info().Str("event", "plannerLoad").Int64("term", int64(t.condition.Revision)).Str("service", l.Service).
				Int("workers", l.Workers).Int("silent", l.Silent).Int("evacuated", l.Evacuated).Int("waiting", l.Waiting).Int("expired", l.Expired).Int("startsPending", l.StartsPending).
				Int("unsaved", l.Unsaved).Int("saves", l.Saves).Dur("longestSave", l.LongestSave).Dur("planToStored", l.PlanToStored).
				Int("interferencePairs", l.InterferencePairs).Dur("longestRound", l.LongestRound).Dur("renewWait", l.RenewWait).Send()
		}
		t.logWaits()
	}
}

// deleteEnded deletes the stored state of jobs whose retention has passed, and tombstones
// of the same age: no write of their jobs can be under way any more.
func (t *term) deleteEnded() {
	i := t.instance
	for pause.For(t.ctx, deleteInterval) {
		age := i.settings.Load().StatusRetention + deleteMargin
		// Tombstones of jobs that the planner has go with them.
		jobs, tombstones := t.scheduler.DeletableJobs(age), slices.DeleteFunc(t.tombstones.Due(time.Now().Add(-age)), t.scheduler.Has)
		if len(jobs) > 0 && i.candidate.Valid(t.condition.Revision) {
			deleted, err := i.plannerJobStore.Delete(t.ctx, t.condition, jobs)
			t.scheduler.Forget(deleted)
			t.tombstones.Remove(deleted)
			t.logDeletion("recordDeleted", len(deleted), err)
		}
		if len(tombstones) > 0 && i.candidate.Valid(t.condition.Revision) {
			settled, err := i.plannerJobStore.DeleteTombstones(t.ctx, t.condition, tombstones)
			t.tombstones.Remove(settled)
			t.logDeletion("tombstonesDeleted", len(settled), err)
		}
	}
}

func (t *term) logDeletion(event string, jobs int, err error) {
	line := t.instance.log.Info()
	if err != nil {
		line = t.instance.log.Warn().Err(err)
	}
	line.Str("event", event).Int("jobs", jobs).Send()
}
