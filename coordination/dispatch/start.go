package dispatch

import (
	"context"
	"net/netip"
	"slices"

	"comfreystream/coordination/gang"
	"comfreystream/coordination/pause"
	"comfreystream/coordination/planning"
	"comfreystream/state"
)

// startGang holds and starts the gang of one attempt, and handles the result.
func (d *Dispatcher) startGang(r *record, start planning.Start) {
	job := r.copyJob()
	if !d.tryProbes(job.ID, start.Placements) {
		d.handleFailedStart(r, start.Attempt, gang.Result{Ran: state.NotRun, Reason: state.WorkerFailed})
		return
	}
	// Closing does not interrupt a start: after a partial start it would be
	// unknown whether the job ran.
	result := d.Gang.Run(context.WithoutCancel(d.ctx), &job, start.Attempt, start.Placements)
	if !result.Started {
		d.handleFailedStart(r, start.Attempt, result)
		return
	}
	d.Event("jobStarted", job.ID, "")
	if start.Attempt == 1 {
		d.queueWaits.observe(job.Urgency, d.Now().Sub(job.Submitted))
	}
	d.Planner.Started(job.ID, start.Attempt)
	d.updateOutboxes(start.Placements, func(o *outbox) { o.renew = append(o.renew, r.jobAttempt(start.Attempt)) })
	effect, stopReason := r.markFullyStarted()
	if stopReason != "" {
		d.stopAttempt(r, start.Attempt, stopReason, nil)
		return
	}
	d.handleEffect(r, start.Attempt, effect)
}

// tryProbes reports whether every worker accepts the job; a quarantined worker
// accepts one probing job at a time.
func (d *Dispatcher) tryProbes(job state.JobID, placements []state.Placement) bool {
	for _, p := range placements {
		if !d.Quarantine.TryStart(p.Worker, job) {
			return false
		}
	}
	return true
}

// Commit is called before the first start of a gang is sent. After it, the job
// counts as not run only if every worker confirms that no member was started.
func (d *Dispatcher) Commit(job state.JobID, attempt state.Attempt) error {
	r, found := d.records.Get(job)
	if !found {
		return d.homeMovedError("commit")
	}
	if err := d.MayStart(); err != nil {
		return err
	}
	if err := d.takeClaimForStart(r); err != nil {
		return err
	}
	if d.ctx.Err() != nil {
		return d.homeMovedError("commit")
	}
	return r.commit(attempt)
}

// handleFailedStart ends an attempt whose gang did not start, and requeues or
// ends the job.
func (d *Dispatcher) handleFailedStart(r *record, attempt state.Attempt, result gang.Result) {
	d.Count(result.Reason)
	for _, worker := range result.Failed {
		d.Quarantine.RecordFailure(worker, r.job.ID, r.qualifiedKind())
	}
	committed, reason := r.endFailedStart(result)
	if committed && result.Ran != state.NotRun {
		r.markStopped(d.stopUntilConfirmed(r, attempt))
	}
	if d.ctx.Err() != nil {
		d.releaseClaim(r)
		return
	}
	if outcome := r.refusalByClaim(); outcome != nil {
		d.releaseProbes(r)
		d.freeCapacity(r.job.ID, attempt)
		d.finishJob(r, *outcome)
		return
	}
	d.requeueOrFinish(r, attempt, reason, result.Failed, r.addRefusals(result.Refused))
}

// MayStart returns an error while the zone is evacuated. It is called right before each
// start that is sent, also a repeated one.
func (d *Dispatcher) MayStart() error {
	if d.Planner.Evacuated() {
		return stepError("start", state.ZoneEvacuated)
	}
	return nil
}

func (r *record) refusalByClaim() *state.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimRefusal
}

// addRefusals adds to the workers that have refused the job since an attempt
// last held all its members, and returns them.
func (r *record) addRefusals(refused []netip.AddrPort) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, worker := range refused {
		if !slices.Contains(r.refusedBy, worker) {
			r.refusedBy = append(r.refusedBy, worker)
		}
	}
	return slices.Clone(r.refusedBy)
}

// commit records that starts are about to be sent, unless the attempt must be
// stopped.
func (r *record) commit(attempt state.Attempt) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return stepError("commit "+string(r.job.ID), state.Cancelled)
	}
	if r.stopReason != "" || r.attempt != attempt {
		return stepError("commit "+string(r.job.ID), r.stopReason)
	}
	r.fromCheckpoint, r.checkpointed = r.checkpointed, false
	r.refusedBy = nil
	return r.lifecycle.Apply(state.StartSent)
}

// endFailedStart applies a failed start to the lifecycle; it reports whether
// starts had been sent, and why the attempt ends.
func (r *record) endFailedStart(result gang.Result) (committed bool, reason state.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reason = result.Reason
	if r.stopReason != "" {
		reason = r.stopReason
	}
	r.ending = true
	if r.lifecycle.Phase() == state.JobHolding {
		r.applyEvent(state.HoldRefused)
		return false, reason
	}
	r.applyEvent(state.StopSent)
	if result.Ran == state.NotRun {
		r.markNeverStarted()
	}
	return true, reason
}

// markStopped records that the attempt is over; neverStarted means that no
// member ran.
func (r *record) markStopped(neverStarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if neverStarted {
		r.markNeverStarted()
		return
	}
	r.applyEvent(state.MembersStopped)
}

// markNeverStarted records that no member of the attempt was started; the caller
// holds r.mu.
func (r *record) markNeverStarted() {
	r.applyEvent(state.VoidConfirmed)
	r.checkpointed = r.fromCheckpoint
}

// markFullyStarted records that every member was started.
func (r *record) markFullyStarted() (effect gangEffect, stopReason state.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fullyStarted = true
	r.applyEvent(state.StartConfirmed)
	return r.evaluateTasks(), r.stopReason
}

// stopUntilConfirmed repeats the stop of an attempt until every rack has
// confirmed it or every lease has expired. It reports whether all racks
// confirmed within neverStartedTimeout that no member was ever started; later
// answers are not trusted, since a restarted worker has lost its tasks.
func (d *Dispatcher) stopUntilConfirmed(r *record, attempt state.Attempt) (neverStarted bool) {
	r.mu.Lock()
	racks := racksOf(r.placements)
	r.mu.Unlock()
	ctx, cancel := d.stopContext()
	defer cancel()
	for startedAt := d.Now(); ctx.Err() == nil; {
		never, err := d.Gang.Abort(ctx, r.job.ID, attempt, racks)
		if err == nil {
			return never && d.Now().Sub(startedAt) < neverStartedTimeout
		}
		d.Count(state.ReasonOf(err, state.WorkerSilent))
		pause.For(ctx, stopRetryInterval)
	}
	return false
}

// stopContext returns a context that ends when no lease can be valid any more,
// or closingStopTimeout after the dispatcher begins to close.
func (d *Dispatcher) stopContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), maxLeaseLifetime)
	unregister := context.AfterFunc(d.ctx, func() {
		pause.For(ctx, closingStopTimeout)
		cancel()
	})
	return ctx, func() {
		unregister()
		cancel()
	}
}
