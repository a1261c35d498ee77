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

// start holds and starts the gang of one attempt, and settles what comes of it.
func (d *Dispatcher) start(r *record, start planning.Start) {
	job := r.snapshot()
	if !d.probeAllowed(job.ID, start.Placements) {
		d.notStarted(r, start.Attempt, gang.Result{Ran: state.NotRun, Reason: state.WorkerFailed})
		return
	}
	// A start once sent is seen through: half a start would leave the work in doubt.
	result := d.Gang.Run(context.WithoutCancel(d.ctx), &job, start.Attempt, start.Placements)
	if !result.Started {
		d.notStarted(r, start.Attempt, result)
		return
	}
	d.Event("jobStarted", job.ID, "")
	if start.Attempt == 1 {
		d.waits.observe(job.Urgency, d.Now().Sub(job.Submitted))
	}
	d.Planner.Started(job.ID, start.Attempt)
	d.tellRacks(start.Placements, func(o *outbox) { o.whole = append(o.whole, r.name(start.Attempt)) })
	effect, stopReason := r.markWhole()
	if stopReason != "" {
		d.stopAttempt(r, start.Attempt, stopReason, nil)
		return
	}
	d.follow(r, start.Attempt, effect)
}

// probeAllowed reports whether every worker takes the job; one that is probed
// after a quarantine takes one job at a time.
func (d *Dispatcher) probeAllowed(job state.JobID, placements []state.Placement) bool {
	for _, p := range placements {
		if !d.Quarantine.Begin(p.Worker, job) {
			return false
		}
	}
	return true
}

// Commit is the gang's seam before the first start is sent: from here on the
// job can be called "not run" only if every worker confirms it.
func (d *Dispatcher) Commit(job state.JobID, attempt state.Attempt) error {
	r, found := d.records.Get(job)
	if !found {
		return d.moved("commit")
	}
	if err := d.claim(r); err != nil {
		return err
	}
	if d.ctx.Err() != nil {
		return d.moved("commit")
	}
	return r.commit(attempt)
}

// notStarted ends an attempt that the gang gave up, and decides on another one.
func (d *Dispatcher) notStarted(r *record, attempt state.Attempt, result gang.Result) {
	d.Count(result.Reason)
	for _, worker := range result.Failed {
		d.Quarantine.Failed(worker, r.job.ID, r.kind())
	}
	committed, reason := r.giveUp(result)
	if committed && result.Ran != state.NotRun {
		r.stopped(d.stopUntilCertain(r, attempt))
	}
	if d.ctx.Err() != nil {
		d.release(r)
		return
	}
	if outcome := r.claimVerdict(); outcome != nil {
		d.dropProbes(r)
		d.free(r.job.ID, attempt)
		d.finish(r, *outcome)
		return
	}
	d.decide(r, attempt, reason, result.Failed, r.avoid(result.Refused))
}

func (r *record) claimVerdict() *state.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict
}

// avoid adds to the workers that have refused the job since an attempt was last held whole.
func (r *record) avoid(refused []netip.AddrPort) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, worker := range refused {
		if !slices.Contains(r.refused, worker) {
			r.refused = append(r.refused, worker)
		}
	}
	return slices.Clone(r.refused)
}

// commit notes that starts are about to be sent, unless the attempt is to be stopped.
func (r *record) commit(attempt state.Attempt) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled {
		return stepError("commit "+string(r.job.ID), state.Cancelled)
	}
	if r.stopReason != "" || r.attempt != attempt {
		return stepError("commit "+string(r.job.ID), r.stopReason)
	}
	r.resumed, r.frozen = r.frozen, false
	r.refused = nil
	return r.lifecycle.Apply(state.StartSent)
}

// giveUp moves the lifecycle on after a failed start; it reports whether
// starts had been sent, and why the attempt ends.
func (r *record) giveUp(result gang.Result) (committed bool, reason state.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reason = result.Reason
	if r.stopReason != "" {
		reason = r.stopReason
	}
	r.stopping = true
	if r.lifecycle.Phase() == state.JobHolding {
		r.apply(state.HoldRefused)
		return false, reason
	}
	r.apply(state.StopSent)
	if result.Ran == state.NotRun {
		r.void()
	}
	return true, reason
}

// stopped notes that the attempt is over; neverStarted says that none of it ran.
func (r *record) stopped(neverStarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if neverStarted {
		r.void()
		return
	}
	r.apply(state.MembersStopped)
}

// void notes that no member of the attempt was started; the caller has the lock.
func (r *record) void() {
	r.apply(state.VoidConfirmed)
	r.frozen = r.resumed
}

// markWhole notes that every member was started.
func (r *record) markWhole() (effect partEffect, stopReason state.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole = true
	r.apply(state.StartConfirmed)
	return r.effect(), r.stopReason
}

// stopUntilCertain repeats the stop of an attempt until every rack has
// confirmed it or every lease has expired. It reports whether all confirmed at
// once that no member was ever started; a worker that began again forgets.
func (d *Dispatcher) stopUntilCertain(r *record, attempt state.Attempt) (neverStarted bool) {
	r.mu.Lock()
	racks := racksOf(r.placements)
	r.mu.Unlock()
	ctx, cancel := d.stopContext()
	defer cancel()
	for began := d.Now(); ctx.Err() == nil; {
		never, err := d.Gang.Abort(ctx, r.job.ID, attempt, racks)
		if err == nil {
			return never && d.Now().Sub(began) < confirmLimit
		}
		d.Count(state.ReasonOf(err, state.WorkerSilent))
		pause.For(ctx, stopPause)
	}
	return false
}

// stopContext lasts until no lease can be alive any more, and for closingStop
// once the zone is given up.
func (d *Dispatcher) stopContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), leaseLapse)
	closing := context.AfterFunc(d.ctx, func() {
		pause.For(ctx, closingStop)
		cancel()
	})
	return ctx, func() {
		closing()
		cancel()
	}
}
