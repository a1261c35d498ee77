package dispatch

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/coordination/admission"
	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// loadWait is how long a job to be accepted waits for the saved ones to be
// known; it leaves the answer time to reach the entry that asked.
const loadWait = 2 * time.Second

// Submit takes a job in. It may be called again with the same job, by an entry
// that lost the first answer or the first planner: again says so. A refusal is
// the job's outcome; an error means that this entry is not the zone's planner
// or that it gives the zone up.
func (d *Dispatcher) Submit(ctx context.Context, job state.Job, again bool) error {
	if d.ctx.Err() != nil {
		return d.moved("submit")
	}
	if again {
		if err := d.awaitRecovery(ctx); err != nil {
			return err
		}
	}
	if d.records.Len() >= maxRecords {
		d.Count(state.QueueFull)
		return stepError("submit", state.QueueFull)
	}
	r := newRecord(&job)
	if again {
		r.inherit(d.began)
	}
	if !d.records.PutNew(job.ID, r) {
		return nil
	}
	d.Event("jobSubmitted", job.ID, "")
	if again {
		// It was admitted before.
		d.spawn(func() { d.queue(r) })
		return nil
	}
	d.spawn(func() { d.enter(r) })
	return nil
}

// Accept takes in a job whose caller does not wait: it is saved before Accept
// returns nil, and refused, not run, with an error otherwise.
func (d *Dispatcher) Accept(ctx context.Context, job state.Job) error {
	if d.ctx.Err() != nil {
		return d.moved("accept")
	}
	if err := d.awaitLoad(ctx); err != nil {
		return err
	}
	if _, known := d.records.Get(job.ID); known {
		return nil
	}
	if reason := d.admit(&job); reason != "" {
		return stepError("accept", reason)
	}
	if err := d.Ledger.Save(ctx, &job); err != nil {
		d.Count(state.NotDurable)
		return err
	}
	if d.ctx.Err() != nil {
		// The next planner may have read the saved jobs already: it must be told.
		return d.moved("accept")
	}
	r := newRecord(&job)
	r.saved = true
	if !d.records.PutNew(job.ID, r) {
		return nil
	}
	d.Event("jobAccepted", job.ID, "")
	d.spawn(func() { d.queue(r) })
	return nil
}

// enter admits, claims and queues a job whose caller waits.
func (d *Dispatcher) enter(r *record) {
	select {
	case <-d.governed:
	default:
		d.finish(r, r.refusal(state.NoManifest))
		return
	}
	if reason := d.admit(&r.job); reason != "" {
		d.finish(r, r.refusal(reason))
		return
	}
	d.queue(r)
}

// queue hands a job to the planner, once the zone's workers are known: until
// then the planner can't tell which jobs can never run.
func (d *Dispatcher) queue(r *record) {
	if d.awaitRecovery(d.ctx) != nil {
		return
	}
	d.Retries.FirstAttempt(r.job.Organisation)
	reason := d.plan(r)
	if d.ctx.Err() != nil {
		return
	}
	if reason != "" {
		d.finish(r, r.refusal(reason))
		return
	}
	if r.isCancelled() {
		d.cancelQueued(r)
	}
	d.Signal()
}

// plan hands a job to the planner. That nothing can hold it is believed only
// once every expected worker is known, or when they had time enough to be. For a
// job that another planner took in the time does not count: a planner that hears
// of some workers only may have been replaced without knowing.
func (d *Dispatcher) plan(r *record) state.Reason {
	for {
		reason := d.Planner.SubmitAfter(r.snapshot(), r.base)
		known := d.allListed() || !r.inherited && d.anyListed() && d.Now().Sub(d.began) > fitsGrace
		if reason != state.NeverFits || known || !pause.For(d.ctx, fitsPause) {
			return reason
		}
	}
}

// awaitRecovery waits until there is a manifest and the racks of the zone have
// been reported, or the window for that ends.
func (d *Dispatcher) awaitRecovery(ctx context.Context) error {
	for _, ready := range []chan struct{}{d.governed, d.recovered} {
		select {
		case <-ready:
		case <-d.ctx.Done():
			return d.moved("recover")
		case <-ctx.Done():
			return d.moved("recover")
		}
	}
	return nil
}

// awaitLoad waits until the saved jobs of the zone are known, at most for one
// call to the store: while it is away the caller hears so instead of waiting.
func (d *Dispatcher) awaitLoad(ctx context.Context) error {
	if err := d.awaitRecovery(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	select {
	case <-d.loaded:
		return nil
	case <-d.ctx.Done():
		return d.moved("load")
	case <-ctx.Done():
		return state.NewStepError("load", netip.AddrPort{}, state.NotDurable, ctx.Err())
	}
}

// admit returns why the job may not join the queue, or "".
func (d *Dispatcher) admit(job *state.Job) state.Reason {
	demand := d.Planner.Demand(job.Organisation)
	return d.Admission.Admit(job, admission.QueueView{
		Jobs: demand.Jobs, OrganisationJobs: demand.OrganisationJobs,
		Share: demand.Share, FairShare: demand.FairShare,
		Wait: d.waits.expected(job.Urgency, demand.Jobs),
	})
}
