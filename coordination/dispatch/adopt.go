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
	// taken is set once the gang was found whole.
	taken bool
}

// adopt notes a part of an unknown job; once all its parts are there and none
// has failed, the job is taken over as running or ended.
func (d *Dispatcher) adopt(rack string, t state.Task) {
	attempt := state.JobAttempt{Job: t.Lease.Job, Attempt: t.Lease.Attempt}
	var a *adoption
	d.adopting.Update(attempt, func(known *adoption, found bool) (*adoption, bool) {
		if !found {
			known = newAdoption(attempt, t.Job, d.Now())
		}
		a = known
		return known, true
	})
	if !a.add(rack, t) {
		return
	}
	d.takeOver(a, attempt)
	// Only now may the recovery end: whoever asks for the job then finds it.
	d.adopting.Delete(attempt)
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
	whole := members == a.job.Members && !a.taken
	a.taken = a.taken || whole
	return whole
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

// takeOver makes an adopted gang a running job of this planner.
func (d *Dispatcher) takeOver(a *adoption, attempt state.JobAttempt) {
	placements := a.placements()
	r := newRecord(&a.job)
	r.attempt = attempt.Attempt
	r.base = attempt.Attempt - 1
	r.claimed = !a.job.Idempotent
	r.placements = placements
	r.parts = a.copyParts()
	r.begun = d.Now()
	r.adopted = true
	r.lifecycle = state.RecoveredLifecycle(attempt.Attempt)
	r.apply(state.MembersAdopted)
	if !d.records.PutNew(a.job.ID, r) {
		// The job was queued meanwhile: it is not to run beside itself.
		d.tellRacks(placements, func(o *outbox) { o.stop = append(o.stop, attempt) })
		return
	}
	d.Event("jobAdopted", a.job.ID, "")
	d.Planner.Restore(a.job, attempt.Attempt, placements, r.begun)
	d.tellRacks(placements, func(o *outbox) { o.whole = append(o.whole, attempt) })
	d.followAdopted(r, attempt.Attempt)
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
		if _, dropped := d.adopting.Delete(a.name); !dropped {
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
