package dispatch

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// adoption collects the reported tasks of a gang that another planner started.
type adoption struct {
	mu            sync.Mutex
	attempt       state.JobAttempt
	firstReported time.Time
	job           state.Job
	tasks         map[netip.AddrPort]state.Task
	racks         map[netip.AddrPort]string
	// record is the job's record, set once every member has been reported.
	// registered is false if the job was queued here in the meantime.
	record     *record
	registered bool
}

// adoptTask adds a task of an unknown job. Once every member has been reported
// and none has failed, the job becomes a running or ended job of this planner.
// If a concurrent report of another rack has registered the job, adoptTask
// returns its record, to which the task belongs.
func (d *Dispatcher) adoptTask(rack string, t state.Task) (known *record) {
	attempt := state.JobAttempt{Job: t.Lease.Job, Attempt: t.Lease.Attempt}
	known, a := d.addUnknownTask(rack, t, attempt)
	if a == nil {
		return known
	}
	d.registerAdopted(a, attempt)
	return nil
}

// addUnknownTask adds a task while it holds adoptionsMu, so that no task is lost
// between the completion of a gang and the registration of its record. It
// returns the registered record, or the adoption that this task completed.
func (d *Dispatcher) addUnknownTask(rack string, t state.Task, attempt state.JobAttempt) (known *record, complete *adoption) {
	d.adoptionsMu.Lock()
	defer d.adoptionsMu.Unlock()
	if known, found := d.records.Get(attempt.Job); found {
		return known, nil
	}
	a := d.addToAdoption(rack, t, attempt)
	if a == nil {
		return nil, nil
	}
	a.record = newAdoptedRecord(a, attempt, d.Now())
	a.registered = d.records.PutNew(attempt.Job, a.record)
	d.adoptions.Delete(attempt)
	return nil, a
}

// addToAdoption adds a task and returns the adoption once it is complete; the
// caller holds adoptionsMu.
func (d *Dispatcher) addToAdoption(rack string, t state.Task, attempt state.JobAttempt) (complete *adoption) {
	a, found := d.adoptions.Get(attempt)
	if !found {
		a = newAdoption(attempt, t.Job, d.Now())
		d.adoptions.Put(attempt, a)
	}
	if !a.add(rack, t) {
		return nil
	}
	return a
}

func newAdoption(attempt state.JobAttempt, job state.Job, now time.Time) *adoption {
	return &adoption{
		attempt: attempt, firstReported: now, job: job,
		tasks: make(map[netip.AddrPort]state.Task), racks: make(map[netip.AddrPort]string),
	}
}

// add adds a task and reports whether every member of the gang runs or is done.
func (a *adoption) add(rack string, t state.Task) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tasks[t.Lease.Worker] = t
	a.racks[t.Lease.Worker] = rack
	members := 0
	for _, task := range a.tasks {
		if task.Phase != state.TaskRunning && task.Phase != state.TaskDone {
			return false
		}
		members += task.Lease.Members
	}
	return members == a.job.Members
}

// copyTasks returns a copy, since a concurrent report may still add tasks.
func (a *adoption) copyTasks() map[netip.AddrPort]state.Task {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.tasks)
}

func (a *adoption) placements() (placements []state.Placement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, task := range a.tasks {
		placements = append(placements, state.Placement{Worker: address, Rack: a.racks[address], Members: task.Lease.Members})
	}
	return placements
}

// newAdoptedRecord returns the record of an adopted gang. It is marked as fully
// started only after the planner has reserved its placements.
func newAdoptedRecord(a *adoption, attempt state.JobAttempt, now time.Time) *record {
	r := newRecord(&a.job)
	r.setAdoptedAttempt(a, attempt, now)
	return r
}

// setAdoptedAttempt makes the gang the record's current attempt; the caller
// holds r.mu.
func (r *record) setAdoptedAttempt(a *adoption, attempt state.JobAttempt, now time.Time) {
	r.attempt = attempt.Attempt
	r.lastForeignAttempt = attempt.Attempt - 1
	r.claimed = !a.job.Idempotent
	r.placements = a.placements()
	r.tasks = a.copyTasks()
	r.attemptStarted = now
	r.fullyStarted, r.ending, r.stopReason = false, false, ""
	r.adopted = true
	r.lifecycle = state.RecoveredLifecycle(attempt.Attempt)
	r.applyEvent(state.MembersAdopted)
}

// registerAdopted makes an adopted gang a running job of this planner.
func (d *Dispatcher) registerAdopted(a *adoption, attempt state.JobAttempt) {
	r := a.record
	if !a.registered {
		// The job was queued in the meantime and must not run twice.
		d.updateOutboxes(r.placements, func(o *outbox) { o.stop = append(o.stop, attempt) })
		return
	}
	d.Event("jobAdopted", a.job.ID, "")
	d.Planner.Restore(a.job, attempt.Attempt, r.placements, r.attemptStarted)
	d.updateOutboxes(r.placements, func(o *outbox) { o.renew = append(o.renew, attempt) })
	d.handleAdoptedEffect(r, attempt.Attempt)
}

// adoptForQueuedJob adds a task of a gang that another planner started after
// this one had received the racks' reports. The job is queued here, and the
// other planner's claim keeps it from starting.
func (d *Dispatcher) adoptForQueuedJob(r *record, rack string, t state.Task) {
	attempt := state.JobAttempt{Job: t.Lease.Job, Attempt: t.Lease.Attempt}
	d.adoptionsMu.Lock()
	if a := r.foundGang; a != nil && a.attempt == attempt {
		a.add(rack, t)
	} else if a := d.addToAdoption(rack, t, attempt); a != nil {
		d.adoptions.Delete(attempt)
		r.foundGang = a
	}
	d.adoptionsMu.Unlock()
	d.takeOverFoundGang(r)
}

// takeOverFoundGang adopts the gang found for a queued job, if the planner has
// the job in its queue. A job that is being placed returns to the queue, because
// the claim refuses its start; requeueOrFinish then calls this again.
func (d *Dispatcher) takeOverFoundGang(r *record) {
	d.adoptionsMu.Lock()
	a := r.foundGang
	if a == nil || !d.Planner.Withdraw(r.job.ID) {
		d.adoptionsMu.Unlock()
		return
	}
	r.mu.Lock()
	r.setAdoptedAttempt(a, a.attempt, d.Now())
	r.mu.Unlock()
	r.foundGang = nil
	d.adoptionsMu.Unlock()
	a.record, a.registered = r, true
	d.registerAdopted(a, a.attempt)
}

// startedElsewhere reports whether the attempt is another planner's start of a
// non-idempotent job that this planner has neither claimed nor ended.
func (r *record) startedElsewhere(attempt state.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	otherPlanner := attempt <= r.lastForeignAttempt || attempt > r.attempt
	return otherPlanner && r.inherited && !r.job.Idempotent && !r.claimed && r.ended.IsZero()
}

// handleAdoptedEffect acts on tasks that were reported while the gang was being
// adopted. It runs after Planner.Restore, since the capacity may be freed only
// once the planner has reserved it.
func (d *Dispatcher) handleAdoptedEffect(r *record, attempt state.Attempt) {
	r.mu.Lock()
	r.fullyStarted = true
	effect, stopReason := r.evaluateTasks(), r.stopReason
	r.mu.Unlock()
	if stopReason != "" {
		d.spawn(func() { d.stopAttempt(r, attempt, stopReason, nil) })
		return
	}
	d.handleEffect(r, attempt, effect)
}

// stopIncompleteGangs has gangs stopped whose tasks were not all reported in
// time.
func (d *Dispatcher) stopIncompleteGangs() {
	for _, a := range d.adoptions.Values() {
		if d.Now().Sub(a.firstReported) < adoptionTimeout {
			continue
		}
		d.adoptionsMu.Lock()
		_, dropped := d.adoptions.Delete(a.attempt)
		d.adoptionsMu.Unlock()
		if !dropped {
			continue
		}
		d.Event("gangIncomplete", a.attempt.Job, state.WorkerLost)
		d.updateOutboxes(a.placements(), func(o *outbox) { o.stop = append(o.stop, a.attempt) })
	}
}

// reloadLoop queues the saved jobs of the zone that no worker runs.
func (d *Dispatcher) reloadLoop() {
	if d.awaitReady(d.ctx) != nil {
		return
	}
	d.retryWrite(d.reload)
	if d.ctx.Err() != nil {
		return
	}
	close(d.savedJobsLoaded)
	for pause.For(d.ctx, reloadInterval) {
		d.retryWrite(d.reload)
	}
}

func (d *Dispatcher) reload(ctx context.Context) error {
	jobs, ended, err := d.Ledger.Load(ctx)
	if err != nil {
		return err
	}
	for _, outcome := range ended {
		d.restoreEndedJob(outcome)
	}
	for _, job := range jobs {
		d.restoreSavedJob(job)
	}
	return nil
}

func (d *Dispatcher) restoreEndedJob(outcome state.Outcome) {
	r := newRecord(&state.Job{ID: outcome.Job})
	r.setOutcome(outcome, d.Now())
	r.outcomeRecorded = true
	d.records.PutNew(outcome.Job, r)
}

func (d *Dispatcher) restoreSavedJob(job state.Job) {
	r := newRecord(&job)
	r.markInherited(d.tookOverAt)
	r.saved = true
	if d.records.PutNew(job.ID, r) {
		d.Event("jobReloaded", job.ID, "")
		d.spawn(func() { d.queueJob(r) })
		return
	}
	known, _ := d.records.Get(job.ID)
	known.mu.Lock()
	defer known.mu.Unlock()
	known.saved = true
	if known.outcomeRecorded {
		// The job ended before this planner knew that it was saved: the
		// outcome has to be recorded in the ledger too.
		known.outcomeRecorded = false
		d.spawn(func() { d.recordOutcome(known) })
	}
}
