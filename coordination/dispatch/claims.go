package dispatch

import (
	"context"
	"sync"
	"time"

	"comfreystream/coordination/claim"
	"comfreystream/coordination/pause"
	"comfreystream/state"
)

const (
	// claimTries and claimPause bound the wait for the claim of a planner that closes.
	claimTries = 3
	claimPause = 300 * time.Millisecond
	// handoverLimit is how long after a takeover the planner before may still
	// give a claim free: the end of a start, its stops and its writes.
	handoverLimit = 12 * time.Second
	// releaseLimit bounds how long a planner that closes tries to give a claim free.
	releaseLimit = 5 * time.Second
)

// claim takes the key of a non-idempotent job just before its first start. A
// claim therefore exists only for a job that may have been started.
func (d *Dispatcher) claim(r *record) error {
	if r.job.Idempotent || r.claimed {
		return nil
	}
	r.mu.Lock()
	r.claimTried = true
	r.mu.Unlock()
	result, err := d.takeClaim(r)
	if err != nil {
		d.Count(state.ReasonOf(err, state.StoreUnavailable))
		if r.isSaved() && !state.IsAmbiguous(err) {
			// Nobody waits, and nothing was written: it is tried again later.
			return err
		}
		return r.forbid(r.refusal(state.ClaimUnavailable))
	}
	switch result.State {
	case claim.Fresh:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.claimed = true
		r.inherited = false
		return nil
	case claim.Own:
		if d.Now().Sub(d.began) < handoverLimit {
			return stepError("claim "+r.job.Key, state.HomeMoved)
		}
		return r.forbid(state.Outcome{Job: r.job.ID, Ran: state.Unknown, Reason: state.AmbiguousStart})
	case claim.Ended:
		return r.forbid(result.Outcome)
	default:
		return r.forbid(state.Outcome{Job: r.job.ID, Ran: state.NotRun, Reason: state.DuplicateKey, Holder: result.Holder})
	}
}

// takeClaim asks again for a claim that an earlier planner took: one that
// closes before the start gives it free within moments.
func (d *Dispatcher) takeClaim(r *record) (result claim.Result, err error) {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	for range claimTries {
		result, err = d.Claims.Take(ctx, &r.job)
		if err != nil || result.State != claim.Own || !pause.For(ctx, claimPause) {
			break
		}
	}
	return result, err
}

// forbid notes the outcome of a job that its claim does not let start.
func (r *record) forbid(outcome state.Outcome) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdict = &outcome
	return stepError("claim "+r.job.Key, outcome.Reason)
}

// releaseWaiting gives the claims free of jobs that wait for another attempt,
// which the next planner makes.
func (d *Dispatcher) releaseWaiting() {
	var all sync.WaitGroup
	for _, r := range d.records.Values() {
		if r.isUnsettled() {
			all.Go(func() { d.release(r) })
		}
	}
	all.Wait()
}

func (r *record) isUnsettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimed && r.ended.IsZero()
}

// release gives a claim free, also one whose write is in doubt, if its job was
// not started by this planner, which gives the zone up.
func (d *Dispatcher) release(r *record) {
	r.mu.Lock()
	ours, ran := r.claimed || r.verdict != nil && r.verdict.Reason == state.ClaimUnavailable, r.ran()
	r.mu.Unlock()
	if !ours || ran != state.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), releaseLimit)
	defer cancel()
	d.persistWithin(ctx, claimPause, func(ctx context.Context) error {
		return d.Claims.Settle(ctx, &r.job, state.Refusal(r.job.ID, state.HomeMoved))
	})
}
