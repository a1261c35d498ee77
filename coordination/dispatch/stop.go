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
	// leaseLapse is the time after which no lease can be alive that is not renewed.
	leaseLapse = 20 * time.Second
	// stopPause is the pause between two stops that were not confirmed.
	stopPause = 200 * time.Millisecond
	// closingStop is how long a planner that gives the zone up still stops an
	// attempt; its racks have their next homes within two seconds.
	closingStop = 3 * time.Second
	// confirmLimit is how long after a start the answer that it never came about
	// is believed: a worker is not replaced by one at its address within it.
	confirmLimit = 4 * time.Second
)

// stopAttempt stops a running attempt for a reason and decides on another one;
// blamed names the workers at fault. Only the first stop of an attempt acts.
func (d *Dispatcher) stopAttempt(r *record, attempt state.Attempt, reason state.Reason, blamed []netip.AddrPort) {
	if !r.claimEnd(attempt, reason) {
		return
	}
	r.mu.Lock()
	r.apply(state.StopSent)
	r.mu.Unlock()
	d.stopUntilCertain(r, attempt)
	r.stopped(false)
	d.decide(r, attempt, reason, blamed, nil)
}

// reclaim takes an attempt's capacity back: it asks for a checkpoint while
// there is time, then stops the attempt, which goes back to its queue.
func (d *Dispatcher) reclaim(r *record, reclaim planning.Reclaim) {
	if reclaim.Checkpoint {
		d.save(r, reclaim)
	}
	d.Event("jobReclaimed", reclaim.Job, reclaim.Reason)
	d.stopAttempt(r, reclaim.Attempt, reclaim.Reason, nil)
}

// save has every rack of the attempt save its members' state before the deadline.
func (d *Dispatcher) save(r *record, reclaim planning.Reclaim) {
	ctx, cancel := context.WithDeadline(d.ctx, reclaim.Deadline)
	defer cancel()
	r.mu.Lock()
	racks, workers := racksOf(r.placements), len(r.placements)
	r.mu.Unlock()
	var saved [][]byte
	for _, rack := range racks {
		parts, err := d.Checkpoint(ctx, rack, r.name(reclaim.Attempt))
		if err != nil {
			d.Count(state.ReasonOf(err, state.WorkerSilent))
			return
		}
		saved = append(saved, parts...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A gang that is not saved whole has nothing to go on from.
	if r.attempt != reclaim.Attempt || r.stopping || len(saved) != workers {
		return
	}
	r.job.Checkpoints = saved
	r.frozen = true
}

// decide has a job that stopped without its answer tried again or ended; the
// next attempt avoids the workers that are blamed or that refused.
func (d *Dispatcher) decide(r *record, attempt state.Attempt, reason state.Reason, blamed, refused []netip.AddrPort) {
	if d.ctx.Err() != nil {
		return
	}
	d.dropProbes(r)
	job, frozen, cancelled := r.standing()
	if cancelled {
		d.free(job.ID, attempt)
		d.finish(r, r.refusal(state.Cancelled))
		return
	}
	notBefore, again := d.again(r, &job, attempt, frozen, reason, blamed)
	if again {
		d.Event("jobRequeued", job.ID, reason)
		d.Planner.Requeue(job.ID, attempt, notBefore, slices.Concat(blamed, refused))
		if r.isCancelled() && d.Planner.Cancel(job.ID) != planning.CancelRunning {
			d.finish(r, r.refusal(state.Cancelled))
		}
		d.takeFound(r)
		d.Signal()
		return
	}
	d.free(job.ID, attempt)
	outcome := r.refusal(reason)
	outcome.Attempt = attempt
	d.finish(r, outcome)
}

// dropProbes gives up the probes that the ended attempt may have been, but for
// those of workers whose failure is noted.
func (d *Dispatcher) dropProbes(r *record) {
	r.mu.Lock()
	placements := r.placements
	r.mu.Unlock()
	for _, p := range placements {
		d.Quarantine.Dropped(p.Worker, r.job.ID)
	}
}

// again decides whether to try a job once more; what the scheduler stopped
// itself does not count against the budget.
func (d *Dispatcher) again(r *record, job *state.Job, attempt state.Attempt, frozen bool, reason state.Reason, blamed []netip.AddrPort) (time.Time, bool) {
	ran := r.ranHere()
	if frozen {
		ran = state.NotRun
	}
	if !job.Idempotent && ran != state.NotRun {
		return time.Time{}, false
	}
	if reason == state.Reclaimed || reason == state.RackMoved {
		return d.Now(), true
	}
	if d.Quarantine.JobIsBad(job.ID) {
		d.Count(state.FailsEverywhere)
		return time.Time{}, false
	}
	decision := d.Retries.Next(job, attempt-r.base, ran, blamed)
	if !decision.Again {
		d.Count(decision.Reason)
	}
	return decision.NotBefore, decision.Again
}

// standing returns what decide needs to know, and lets late reports of the attempt pass.
func (r *record) standing() (job state.Job, frozen, cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = nil
	return r.job, r.frozen, r.cancelled
}

// ranHere is what is known of the attempts of this planner: whether an earlier
// one started a job that is not idempotent, its claim tells before a start.
func (r *record) ranHere() state.Ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifecycle.Ran()
}
