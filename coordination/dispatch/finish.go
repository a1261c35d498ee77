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
	// storePause is the pause between two tries to write an outcome.
	storePause = time.Second
)

// follow acts on what the parts of a running gang say.
func (d *Dispatcher) follow(r *record, attempt state.Attempt, effect partEffect) {
	switch effect {
	case partsDone:
		d.complete(r, attempt)
	case partCrashed:
		blamed := r.crashed()
		for _, worker := range blamed {
			d.Quarantine.Failed(worker, r.job.ID, r.kind())
		}
		d.spawn(func() { d.stopAttempt(r, attempt, state.TaskFailed, blamed) })
	case partLapsed:
		d.spawn(func() { d.stopAttempt(r, attempt, state.LeaseLapsed, nil) })
	}
}

// complete ends a job whose every member ran to its end.
func (d *Dispatcher) complete(r *record, attempt state.Attempt) {
	if !r.claimEnd(attempt, "") {
		return
	}
	r.mu.Lock()
	r.apply(state.MembersFinished)
	outcome := state.Outcome{Job: r.job.ID, Attempt: attempt, Ran: state.RanWhole, Answer: r.answer()}
	runTime, placements := d.Now().Sub(r.begun), r.placements
	r.mu.Unlock()
	for _, p := range placements {
		d.Quarantine.Succeeded(p.Worker, r.job.ID, r.kind())
	}
	d.Estimates.Observe(r.job.Organisation, r.job.Kind, r.job.DeclaredRunTime, runTime)
	d.free(r.job.ID, attempt)
	d.finish(r, outcome)
}

// free gives back what an attempt held that was the job's last one, and has others placed there.
func (d *Dispatcher) free(job state.JobID, attempt state.Attempt) {
	d.Planner.Ended(job, attempt)
	d.Signal()
}

// finish gives the job its outcome, once, and has it recorded where it must last.
func (d *Dispatcher) finish(r *record, outcome state.Outcome) {
	if !r.end(outcome, d.Now()) {
		return
	}
	if outcome.Reason != "" {
		d.Count(outcome.Reason)
	}
	d.Event("jobEnded", outcome.Job, outcome.Reason)
	d.spawn(func() { d.settle(r) })
}

// settle writes the outcome to the claim and the ledger until the store takes
// it; only then may the workers forget the attempt.
func (d *Dispatcher) settle(r *record) {
	if r.mayHaveClaim() {
		d.persist(func(ctx context.Context) error { return d.Claims.Settle(ctx, &r.job, r.outcome) })
	}
	if r.isSaved() {
		d.persist(func(ctx context.Context) error { return d.Ledger.Finish(ctx, &r.job, r.outcome) })
	}
	if d.ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	r.settled = true
	r.mu.Unlock()
	d.forgetFetched(r)
}

// forgetFetched lets the workers forget a settled job once its caller has the
// answer, or the store has it: until then a planner that takes the zone over
// finds the answer on the workers.
func (d *Dispatcher) forgetFetched(r *record) {
	r.mu.Lock()
	may := r.settled && (r.fetched || r.saved)
	r.mu.Unlock()
	if may {
		d.forget(r)
	}
}

func (d *Dispatcher) forget(r *record) {
	r.mu.Lock()
	first := !r.forgotten
	r.forgotten = true
	placements, ended := r.placements, r.attempts()
	r.mu.Unlock()
	if first {
		d.tellRacks(placements, func(o *outbox) { o.forget = append(o.forget, ended...) })
	}
}

// fetch returns the progress for an answer to the caller, who has the outcome then.
func (d *Dispatcher) fetch(r *record) state.Progress {
	progress := r.progress()
	if !progress.Done {
		return progress
	}
	r.mu.Lock()
	r.fetched = true
	r.mu.Unlock()
	d.forgetFetched(r)
	return progress
}

func (d *Dispatcher) persist(write func(ctx context.Context) error) {
	d.persistWithin(d.ctx, storePause, write)
}

// persistWithin repeats a write until the store takes it or the context ends.
func (d *Dispatcher) persistWithin(ctx context.Context, between time.Duration, write func(ctx context.Context) error) {
	for ctx.Err() == nil {
		trying, cancel := context.WithTimeout(ctx, storeTimeout)
		err := write(trying)
		cancel()
		if err == nil {
			return
		}
		d.Count(state.ReasonOf(err, state.StoreUnavailable))
		pause.For(ctx, between)
	}
}

// end notes the outcome and wakes whoever waits; it reports whether it was the first.
func (r *record) end(outcome state.Outcome, now time.Time) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended.IsZero() {
		return false
	}
	if r.lifecycle.Phase() != state.JobDone {
		r.apply(state.JobEnded)
	}
	r.ended = now
	r.outcome = outcome
	close(r.done)
	return true
}

// attempts names all the attempts so far; the caller has the lock.
func (r *record) attempts() (names []state.JobAttempt) {
	for a := r.base + 1; a <= r.attempt; a++ {
		names = append(names, r.name(a))
	}
	return names
}

// mayHaveClaim reports whether the store may hold a claim of the job: one that
// was found running had it taken by an earlier planner.
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

// kind names the jobs that are alike, over all organisations.
func (r *record) kind() string { return r.job.Organisation + "/" + r.job.Kind }
