package dispatch

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/coordination/admission"
	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// savedJobsTimeout bounds how long Accept waits for the saved jobs to be read;
// it leaves time for the answer to reach the calling entry.
const savedJobsTimeout = 2 * time.Second

// Submit queues a job whose caller waits. An entry that lost the first answer or
// the first planner submits the job again with resubmitted set. A refusal is the
// job's outcome; an error means that this entry is not the zone's planner or is
// giving up the role.
func (d *Dispatcher) Submit(ctx context.Context, job state.Job, resubmitted bool) error {
	if d.ctx.Err() != nil {
		return d.homeMovedError("submit")
	}
	if resubmitted {
		if err := d.awaitReady(ctx); err != nil {
			return err
		}
	}
	if d.records.Len() >= maxRecords {
		d.Count(state.QueueFull)
		return stepError("submit", state.QueueFull)
	}
	r := newRecord(&job)
	if resubmitted {
		r.markInherited(d.tookOverAt)
	}
	if !d.records.PutNew(job.ID, r) {
		return nil
	}
	d.Event("jobSubmitted", job.ID, "")
	if resubmitted {
		// The job has already been admitted.
		d.spawn(func() { d.queueJob(r) })
		return nil
	}
	d.spawn(func() { d.admitAndQueue(r) })
	return nil
}

// Accept queues a job whose caller does not wait. The job is saved before Accept
// returns nil; a refused job gets an error and does not run.
func (d *Dispatcher) Accept(ctx context.Context, job state.Job) error {
	if d.ctx.Err() != nil {
		return d.homeMovedError("accept")
	}
	if err := d.awaitSavedJobs(ctx); err != nil {
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
		// The next planner may have read the saved jobs before this one was
		// saved: the caller must submit the job there.
		return d.homeMovedError("accept")
	}
	r := newRecord(&job)
	r.saved = true
	if !d.records.PutNew(job.ID, r) {
		return nil
	}
	d.Event("jobAccepted", job.ID, "")
	d.spawn(func() { d.queueJob(r) })
	return nil
}

// admitAndQueue admits and queues a job whose caller waits.
func (d *Dispatcher) admitAndQueue(r *record) {
	select {
	case <-d.manifestApplied:
	default:
		d.finishJob(r, r.refusal(state.NoManifest))
		return
	}
	if reason := d.admit(&r.job); reason != "" {
		d.finishJob(r, r.refusal(reason))
		return
	}
	d.queueJob(r)
}

// queueJob submits a job to the planner once the zone's workers have been
// reported; before that, the planner cannot tell which jobs can never run.
func (d *Dispatcher) queueJob(r *record) {
	if d.awaitReady(d.ctx) != nil {
		return
	}
	d.RetryBudgets.CreditFirstAttempt(r.job.Organisation)
	reason := d.submitToPlanner(r)
	if d.ctx.Err() != nil {
		return
	}
	if reason != "" {
		d.finishJob(r, r.refusal(reason))
		return
	}
	if r.isCancelled() {
		d.cancelQueued(r)
	}
	d.RequestPlan()
}

// submitToPlanner submits a job to the planner. It trusts a neverFits refusal
// only once every expected worker is known or workerDiscoveryTimeout has passed.
// For a job that another planner accepted the timeout does not apply: a planner
// that knows only some workers may have been replaced without having noticed.
func (d *Dispatcher) submitToPlanner(r *record) state.Reason {
	for {
		reason := d.Planner.SubmitAfterAttempt(r.copyJob(), r.lastForeignAttempt)
		workersKnown := d.allWorkersListed() || !r.inherited && d.anyWorkerListed() && d.Now().Sub(d.tookOverAt) > workerDiscoveryTimeout
		if reason != state.NeverFits || workersKnown || !pause.For(d.ctx, neverFitsRetryInterval) {
			return reason
		}
	}
}

// awaitReady waits until a manifest is in force and the workers have been
// reported or recoveryTimeout has passed.
func (d *Dispatcher) awaitReady(ctx context.Context) error {
	for _, ready := range []chan struct{}{d.manifestApplied, d.recovered} {
		select {
		case <-ready:
		case <-d.ctx.Done():
			return d.homeMovedError("recover")
		case <-ctx.Done():
			return d.homeMovedError("recover")
		}
	}
	return nil
}

// awaitSavedJobs waits until the saved jobs of the zone have been read, for at
// most savedJobsTimeout: while the store is unreachable the caller gets an error
// instead of a long wait.
func (d *Dispatcher) awaitSavedJobs(ctx context.Context) error {
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, savedJobsTimeout)
	defer cancel()
	select {
	case <-d.savedJobsLoaded:
		return nil
	case <-d.ctx.Done():
		return d.homeMovedError("load")
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
		Wait: d.queueWaits.expected(job.Urgency, demand.Jobs),
	})
}
