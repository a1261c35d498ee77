package dispatch

import (
	"context"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

const (
	// storeTimeout bounds one write of an outcome to the store.
	storeTimeout = 2 * time.Second
	// storeRetryInterval is the pause between two tries to write an outcome.
	storeRetryInterval = time.Second
)

// handleEffect completes or stops a running gang according to its tasks'
// reports.
func (d *Dispatcher) handleEffect(r *record, attempt state.Attempt, effect gangEffect) {
	switch effect {
	case gangDone:
		d.completeJob(r, attempt)
	case gangCrashed:
		blamed := r.crashedWorkers()
		for _, worker := range blamed {
			d.Quarantine.RecordFailure(worker, r.job.ID, r.qualifiedKind())
		}
		d.spawn(func() { d.stopAttempt(r, attempt, state.TaskFailed, blamed) })
	case gangLapsed:
		d.spawn(func() { d.stopAttempt(r, attempt, state.LeaseLapsed, nil) })
	}
}

// completeJob ends a job whose members have all finished.
func (d *Dispatcher) completeJob(r *record, attempt state.Attempt) {
	if !r.tryBeginEnding(attempt, "") {
		return
	}
	r.mu.Lock()
	r.applyEvent(state.MembersFinished)
	outcome := state.Outcome{Job: r.job.ID, Attempt: attempt, Ran: state.RanToCompletion, Answer: r.joinAnswers()}
	runTime, placements := d.Now().Sub(r.attemptStarted), r.placements
	r.mu.Unlock()
	for _, p := range placements {
		d.Quarantine.RecordSuccess(p.Worker, r.job.ID, r.qualifiedKind())
	}
	d.Estimates.Observe(r.job.Organisation, r.job.Kind, r.job.DeclaredRunTime, runTime)
	d.freeCapacity(r.job.ID, attempt)
	d.finishJob(r, outcome)
}

// freeCapacity releases the resources of a job's last attempt and requests a
// planning round.
func (d *Dispatcher) freeCapacity(job state.JobID, attempt state.Attempt) {
	d.Planner.Ended(job, attempt)
	d.RequestPlan()
}

// finishJob sets the job's outcome once and has it recorded in the store where
// needed.
func (d *Dispatcher) finishJob(r *record, outcome state.Outcome) {
	if !r.setOutcome(outcome, d.Now()) {
		return
	}
	if outcome.Reason != "" {
		d.Count(outcome.Reason)
	}
	d.Event("jobEnded", outcome.Job, outcome.Reason)
	d.spawn(func() { d.recordOutcome(r) })
}

// recordOutcome writes the outcome to the claim and the ledger, and retries
// until the store accepts it. Only then may the workers forget the attempt.
func (d *Dispatcher) recordOutcome(r *record) {
	if r.mayHaveClaim() {
		d.retryWrite(func(ctx context.Context) error { return d.Claims.Settle(ctx, &r.job, r.outcome) })
	}
	if r.isSaved() {
		d.retryWrite(func(ctx context.Context) error { return d.Ledger.Finish(ctx, &r.job, r.outcome) })
	}
	if d.ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	r.outcomeRecorded = true
	r.mu.Unlock()
	d.forgetDelivered(r)
}

// forgetDelivered lets the workers forget a job once its outcome is recorded and
// the caller or the store has it. Until then the next planner would find the
// answer only on the workers.
func (d *Dispatcher) forgetDelivered(r *record) {
	r.mu.Lock()
	mayForget := r.outcomeRecorded && (r.delivered || r.saved)
	r.mu.Unlock()
	if mayForget {
		d.forgetOnWorkers(r)
	}
}

func (d *Dispatcher) forgetOnWorkers(r *record) {
	r.mu.Lock()
	first := !r.forgetSent
	r.forgetSent = true
	placements, ended := r.placements, r.jobAttempts()
	r.mu.Unlock()
	if first {
		d.updateOutboxes(placements, func(o *outbox) { o.forget = append(o.forget, ended...) })
	}
}

// deliverProgress returns the progress for the caller, and marks the outcome as
// delivered if there is one.
func (d *Dispatcher) deliverProgress(r *record) state.Progress {
	progress := r.progress()
	if !progress.Done {
		return progress
	}
	r.mu.Lock()
	r.delivered = true
	r.mu.Unlock()
	d.forgetDelivered(r)
	return progress
}

func (d *Dispatcher) retryWrite(write func(ctx context.Context) error) {
	d.retryWriteEvery(d.ctx, storeRetryInterval, write)
}

// retryWriteEvery repeats a write until the store accepts it or ctx ends.
func (d *Dispatcher) retryWriteEvery(ctx context.Context, interval time.Duration, write func(ctx context.Context) error) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		err := write(bounded)
		cancel()
		if err == nil {
			return
		}
		d.Count(state.ReasonOf(err, state.StoreUnavailable))
		pause.For(ctx, interval)
	}
}

// setOutcome stores the outcome and wakes the waiting callers; it reports
// whether the job had none before.
func (r *record) setOutcome(outcome state.Outcome, now time.Time) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended.IsZero() {
		return false
	}
	if r.lifecycle.Phase() != state.JobDone {
		r.applyEvent(state.JobEnded)
	}
	r.ended = now
	r.outcome = outcome
	close(r.done)
	return true
}

// jobAttempts lists the attempts that this planner made or adopted; the caller
// holds r.mu.
func (r *record) jobAttempts() (names []state.JobAttempt) {
	for a := r.lastForeignAttempt + 1; a <= r.attempt; a++ {
		names = append(names, r.jobAttempt(a))
	}
	return names
}

// mayHaveClaim reports whether the store may hold a claim of the job. For an
// adopted job, the planner that started it took the claim.
func (r *record) mayHaveClaim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.job.Idempotent && (r.claimTried || r.adopted)
}

func (r *record) isSaved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.saved
}

// qualifiedKind returns the job's kind, prefixed with its organisation.
func (r *record) qualifiedKind() string { return r.job.Organisation + "/" + r.job.Kind }
