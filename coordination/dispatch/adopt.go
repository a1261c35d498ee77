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

// adoption collects the parts of a gang that an earlier planner started.
type adoption struct {
	mu    sync.Mutex
	name  state.JobAttempt
	since time.Time
	job   state.Job
	parts map[netip.AddrPort]state.Task
	racks map[netip.AddrPort]string
	// record is the job's, once the gang is whole; it is registered unless the
	// job was queued meanwhile.
	record     *record
	registered bool
}

// adopt notes a part of an unknown job; once all its parts are there and none
// has failed, the job is taken over as running or ended. It returns the job's
// record if it was taken over meanwhile, by the report of another rack: the task
// is a part of that one then.
func (d *Dispatcher) adopt(rack string, t state.Task) (known *record) {
	attempt := state.JobAttempt{Job: t.Lease.Job, Attempt: t.Lease.Attempt}
	known, a := d.collect(rack, t, attempt)
	if a == nil {
		return known
	}
	d.takeOver(a, attempt)
	return nil
}

// collect adds a part under the lock of all adoptions, so that no part falls
// between a gang that has just been found whole and its record. It returns the
// record that is known, or the adoption that this part made whole.
func (d *Dispatcher) collect(rack string, t state.Task, attempt state.JobAttempt) (known *record, whole *adoption) {
	d.adoptions.Lock()
	defer d.adoptions.Unlock()
	if known, found := d.records.Get(attempt.Job); found {
		return known, nil
	}
	a := d.gather(rack, t, attempt)
	if a == nil {
		return nil, nil
	}
	a.record = newAdopted(a, attempt, d.Now())
	a.registered = d.records.PutNew(attempt.Job, a.record)
	d.adopting.Delete(attempt)
	return nil, a
}

// gather adds a part and returns the adoption once it is whole; the caller has
// the lock of all adoptions.
func (d *Dispatcher) gather(rack string, t state.Task, attempt state.JobAttempt) (whole *adoption) {
	a, found := d.adopting.Get(attempt)
	if !found {
		a = newAdoption(attempt, t.Job, d.Now())
		d.adopting.Put(attempt, a)
	}
	if !a.add(rack, t) {
		return nil
	}
	return a
}

func newAdoption(name state.JobAttempt, job state.Job, now time.Time) *adoption {
	return &adoption{
		name: name, since: now, job: job,
		parts: make(map[netip.AddrPort]state.Task), racks: make(map[netip.AddrPort]string),
	}
}

// add notes a part and reports whether it made the gang whole.
func (a *adoption) add(rack string, t state.Task) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parts[t.Lease.Worker] = t
	a.racks[t.Lease.Worker] = rack
	members := 0
	for _, part := range a.parts {
		if part.Phase != state.TaskRunning && part.Phase != state.TaskDone {
			return false
		}
		members += part.Lease.Members
	}
	return members == a.job.Members
}

// copyParts returns the parts apart from the adoption, which a report that is
// being taken in may still change.
func (a *adoption) copyParts() map[netip.AddrPort]state.Task {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.parts)
}

func (a *adoption) placements() (placements []state.Placement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, part := range a.parts {
		placements = append(placements, state.Placement{Worker: address, Rack: a.racks[address], Members: part.Lease.Members})
	}
	return placements
}

// newAdopted returns the record of an adopted gang; it counts as whole only
// once the planner knows of its places.
func newAdopted(a *adoption, attempt state.JobAttempt, now time.Time) *record {
	r := newRecord(&a.job)
	r.runAs(a, attempt, now)
	return r
}

// runAs makes the gang the record's attempt; the caller has the lock.
func (r *record) runAs(a *adoption, attempt state.JobAttempt, now time.Time) {
	r.attempt = attempt.Attempt
	r.base = attempt.Attempt - 1
	r.claimed = !a.job.Idempotent
	r.placements = a.placements()
	r.parts = a.copyParts()
	r.begun = now
	r.whole, r.stopping, r.stopReason = false, false, ""
	r.adopted = true
	r.lifecycle = state.RecoveredLifecycle(attempt.Attempt)
	r.apply(state.MembersAdopted)
}

// takeOver makes an adopted gang a running job of this planner.
func (d *Dispatcher) takeOver(a *adoption, attempt state.JobAttempt) {
	r := a.record
	if !a.registered {
		// The job was queued meanwhile: it is not to run beside itself.
		d.tellRacks(r.placements, func(o *outbox) { o.stop = append(o.stop, attempt) })
		return
	}
	d.Event("jobAdopted", a.job.ID, "")
	d.Planner.Restore(a.job, attempt.Attempt, r.placements, r.begun)
	d.tellRacks(r.placements, func(o *outbox) { o.whole = append(o.whole, attempt) })
	d.followAdopted(r, attempt.Attempt)
}

// adoptWaiting notes a part of a gang whose job waits here for the claim that
// another planner took: that one started it after this one had heard of the racks.
func (d *Dispatcher) adoptWaiting(r *record, rack string, t state.Task) {
	attempt := state.JobAttempt{Job: t.Lease.Job, Attempt: t.Lease.Attempt}
	d.adoptions.Lock()
	if a := r.found; a != nil && a.name == attempt {
		a.add(rack, t)
	} else if a := d.gather(rack, t, attempt); a != nil {
		d.adopting.Delete(attempt)
		r.found = a
	}
	d.adoptions.Unlock()
	d.takeFound(r)
}

// takeFound takes a waiting job's gang over once the job is in the queue; one
// that is being placed comes back to it, as its claim lets nothing start.
func (d *Dispatcher) takeFound(r *record) {
	d.adoptions.Lock()
	a := r.found
	if a == nil || !d.Planner.Withdraw(r.job.ID) {
		d.adoptions.Unlock()
		return
	}
	r.mu.Lock()
	r.runAs(a, a.name, d.Now())
	r.mu.Unlock()
	r.found = nil
	d.adoptions.Unlock()
	a.record, a.registered = r, true
	d.takeOver(a, a.name)
}

// waitsFor reports whether the job may have been started only under the attempt,
// by another planner, and must not be started here.
func (r *record) waitsFor(attempt state.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	foreign := attempt <= r.base || attempt > r.attempt
	return foreign && r.inherited && !r.job.Idempotent && !r.claimed && r.ended.IsZero()
}

// followAdopted acts on what was reported of a gang while it was being adopted:
// before the planner knows of its places, none of it may be given free.
func (d *Dispatcher) followAdopted(r *record, attempt state.Attempt) {
	r.mu.Lock()
	r.whole = true
	effect, stopReason := r.effect(), r.stopReason
	r.mu.Unlock()
	if stopReason != "" {
		d.spawn(func() { d.stopAttempt(r, attempt, stopReason, nil) })
		return
	}
	d.follow(r, attempt, effect)
}

// dropIncomplete has gangs stopped whose parts did not all turn up.
func (d *Dispatcher) dropIncomplete() {
	for _, a := range d.adopting.Values() {
		if d.Now().Sub(a.since) < adoptionGrace {
			continue
		}
		d.adoptions.Lock()
		_, dropped := d.adopting.Delete(a.name)
		d.adoptions.Unlock()
		if !dropped {
			continue
		}
		d.Event("gangIncomplete", a.name.Job, state.WorkerLost)
		d.tellRacks(a.placements(), func(o *outbox) { o.stop = append(o.stop, a.name) })
	}
}

// reloadLoop takes up the saved jobs of the zone that no worker runs.
func (d *Dispatcher) reloadLoop() {
	if d.awaitRecovery(d.ctx) != nil {
		return
	}
	d.persist(d.reload)
	if d.ctx.Err() != nil {
		return
	}
	close(d.loaded)
	for pause.For(d.ctx, reloadInterval) {
		d.persist(d.reload)
	}
}

func (d *Dispatcher) reload(ctx context.Context) error {
	jobs, ended, err := d.Ledger.Load(ctx)
	if err != nil {
		return err
	}
	for _, outcome := range ended {
		d.restoreEnded(outcome)
	}
	for _, job := range jobs {
		d.restoreSaved(job)
	}
	return nil
}

func (d *Dispatcher) restoreEnded(outcome state.Outcome) {
	r := newRecord(&state.Job{ID: outcome.Job})
	r.end(outcome, d.Now())
	r.settled = true
	d.records.PutNew(outcome.Job, r)
}

func (d *Dispatcher) restoreSaved(job state.Job) {
	r := newRecord(&job)
	r.inherit(d.began)
	r.saved = true
	if d.records.PutNew(job.ID, r) {
		d.Event("jobReloaded", job.ID, "")
		d.spawn(func() { d.queue(r) })
		return
	}
	known, _ := d.records.Get(job.ID)
	known.mu.Lock()
	defer known.mu.Unlock()
	known.saved = true
	if known.settled {
		// It ended before anyone knew that it was saved.
		known.settled = false
		d.spawn(func() { d.settle(known) })
	}
}
