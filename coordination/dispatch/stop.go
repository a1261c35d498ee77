package dispatch

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"comfreystream/coordination/planning"
	"comfreystream/state"
)

const (
	// maxLeaseLifetime is the time after which a lease that is not renewed has
	// expired for certain.
	maxLeaseLifetime = 20 * time.Second
	// stopRetryInterval is the pause between two unconfirmed stops.
	stopRetryInterval = 200 * time.Millisecond
	// closingStopTimeout is how long a closing planner keeps stopping an
	// attempt; a rack without a home gets its next one within two seconds.
	closingStopTimeout = 3 * time.Second
	// neverStartedTimeout is how long an answer that no member was started is
	// trusted. Within it, no other worker can have taken over the address.
	neverStartedTimeout = 4 * time.Second
)

// stopAttempt stops a running attempt and requeues or ends the job; blamed lists
// the workers at fault. Only the first call for an attempt has an effect.
func (d *Dispatcher) stopAttempt(r *record, attempt state.Attempt, reason state.Reason, blamed []netip.AddrPort) {
	if !r.tryBeginEnding(attempt, reason) {
		return
	}
	r.mu.Lock()
	r.applyEvent(state.StopSent)
	r.mu.Unlock()
	d.stopUntilConfirmed(r, attempt)
	r.markStopped(false)
	d.requeueOrFinish(r, attempt, reason, blamed, nil)
}

// reclaim takes the capacity of an attempt back: it saves checkpoints if there
// is time, then stops the attempt and requeues the job.
func (d *Dispatcher) reclaim(r *record, reclaim planning.Reclaim) {
	if reclaim.Checkpoint {
		d.saveCheckpoints(r, reclaim)
	}
	d.Event("jobReclaimed", reclaim.Job, reclaim.Reason)
	d.stopAttempt(r, reclaim.Attempt, reclaim.Reason, nil)
}

// saveCheckpoints makes the members of the attempt save their state before the
// deadline.
func (d *Dispatcher) saveCheckpoints(r *record, reclaim planning.Reclaim) {
	ctx, cancel := context.WithDeadline(d.ctx, reclaim.Deadline)
	defer cancel()
	r.mu.Lock()
	racks, workers := racksOf(r.placements), len(r.placements)
	r.mu.Unlock()
	var saved [][]byte
	for _, rack := range racks {
		parts, err := d.Checkpoint(ctx, rack, r.jobAttempt(reclaim.Attempt))
		if err != nil {
			d.Count(state.ReasonOf(err, state.WorkerSilent))
			return
		}
		saved = append(saved, parts...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A gang can resume only from the checkpoints of all its members.
	if r.attempt != reclaim.Attempt || r.ending || len(saved) != workers {
		return
	}
	r.job.Checkpoints = saved
	r.checkpointed = true
}

// requeueOrFinish requeues or ends a job whose attempt stopped without an
// answer; the next attempt avoids the workers that are blamed or that refused.
func (d *Dispatcher) requeueOrFinish(r *record, attempt state.Attempt, reason state.Reason, blamed, refused []netip.AddrPort) {
	if d.ctx.Err() != nil {
		return
	}
	d.releaseProbes(r)
	job, checkpointed, cancelled := r.closeAttempt()
	if cancelled {
		d.freeCapacity(job.ID, attempt)
		d.finishJob(r, r.refusal(state.Cancelled))
		return
	}
	notBefore, retry := d.decideRetry(r, &job, attempt, checkpointed, reason, blamed)
	if retry {
		d.Event("jobRequeued", job.ID, reason)
		d.Planner.Requeue(job.ID, attempt, notBefore, slices.Concat(blamed, refused))
		if r.isCancelled() && d.Planner.Cancel(job.ID) != planning.CancelRunning {
			d.finishJob(r, r.refusal(state.Cancelled))
		}
		d.takeOverFoundGang(r)
		d.RequestPlan()
		return
	}
	d.freeCapacity(job.ID, attempt)
	outcome := r.refusal(reason)
	outcome.Attempt = attempt
	d.finishJob(r, outcome)
}

// releaseProbes releases the quarantine probes that the attempt took, except on
// workers whose failure has been recorded.
func (d *Dispatcher) releaseProbes(r *record) {
	r.mu.Lock()
	placements := r.placements
	r.mu.Unlock()
	for _, p := range placements {
		d.Quarantine.ReleaseProbe(p.Worker, r.job.ID)
	}
}

// decideRetry reports whether and from when the job may be tried again. Stops by
// the scheduler itself do not count against the retry budget.
func (d *Dispatcher) decideRetry(r *record, job *state.Job, attempt state.Attempt, checkpointed bool, reason state.Reason, blamed []netip.AddrPort) (time.Time, bool) {
	ran := r.ranUnderThisPlanner()
	if checkpointed {
		ran = state.NotRun
	}
	if !job.Idempotent && ran != state.NotRun {
		return time.Time{}, false
	}
	if reason == state.Reclaimed || reason == state.RackMoved || reason == state.ZoneEvacuated {
		return d.Now(), true
	}
	if d.Quarantine.IsFaultyJob(job.ID) {
		d.Count(state.FailsEverywhere)
		return time.Time{}, false
	}
	decision := d.RetryBudgets.Decide(job, attempt-r.lastForeignAttempt, ran, blamed)
	if !decision.Again {
		d.Count(decision.Reason)
	}
	return decision.NotBefore, decision.Again
}

// closeAttempt discards the tasks, so that late reports of the attempt count as
// stale, and returns what requeueOrFinish needs.
func (r *record) closeAttempt() (job state.Job, checkpointed, cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks = nil
	return r.job, r.checkpointed, r.cancelled
}

// ranUnderThisPlanner returns what is known of this planner's attempts. Starts
// of a non-idempotent job by another planner are detected by its claim before
// the next start.
func (r *record) ranUnderThisPlanner() state.Ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifecycle.Ran()
}
