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
	// maxClaimTries and claimRetryInterval bound the wait for a closing planner
	// to release a claim.
	maxClaimTries      = 3
	claimRetryInterval = 300 * time.Millisecond
	// handoverTimeout is how long after a takeover the previous planner may
	// still release a claim: it completes a start, its stops and its writes
	// first.
	handoverTimeout = 12 * time.Second
	// releaseTimeout bounds the release of one claim by a closing planner.
	releaseTimeout = 5 * time.Second
)

// takeClaimForStart claims the key of a non-idempotent job just before its first
// start, so that a claim exists only for a job that may have been started.
func (d *Dispatcher) takeClaimForStart(r *record) error {
	if r.job.Idempotent || r.claimed {
		return nil
	}
	r.mu.Lock()
	r.claimTried = true
	r.mu.Unlock()
	result, err := d.takeClaimWithRetries(r)
	if err != nil {
		d.Count(state.ReasonOf(err, state.StoreUnavailable))
		if r.isSaved() && !state.IsAmbiguous(err) {
			// No caller waits and nothing was written: the job is retried later.
			return err
		}
		return r.refuseStart(r.refusal(state.ClaimUnavailable))
	}
	switch result.State {
	case claim.Fresh:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.claimed = true
		r.inherited = false
		return nil
	case claim.AlreadyTaken:
		if d.Now().Sub(d.tookOverAt) < handoverTimeout {
			return stepError("claim "+r.job.Key, state.HomeMoved)
		}
		return r.refuseStart(state.Outcome{Job: r.job.ID, Ran: state.OutcomeUnknown, Reason: state.AmbiguousStart})
	case claim.Ended:
		return r.refuseStart(result.Outcome)
	default:
		return r.refuseStart(state.Outcome{Job: r.job.ID, Ran: state.NotRun, Reason: state.DuplicateKey, Holder: result.Holder})
	}
}

// takeClaimWithRetries retries while another planner holds the job's claim: one
// that closes before the start releases it within moments.
func (d *Dispatcher) takeClaimWithRetries(r *record) (result claim.Result, err error) {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	for range maxClaimTries {
		result, err = d.Claims.Take(ctx, &r.job)
		if err != nil || result.State != claim.AlreadyTaken || !pause.For(ctx, claimRetryInterval) {
			break
		}
	}
	return result, err
}

// refuseStart stores the outcome of a job whose claim forbids the start.
func (r *record) refuseStart(outcome state.Outcome) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claimRefusal = &outcome
	return stepError("claim "+r.job.Key, outcome.Reason)
}

// releaseUnstartedClaims releases the claims of jobs that wait for another
// attempt, so that the next planner can start them.
func (d *Dispatcher) releaseUnstartedClaims() {
	var all sync.WaitGroup
	for _, r := range d.records.Values() {
		if r.hasOpenClaim() {
			all.Go(func() { d.releaseClaim(r) })
		}
	}
	all.Wait()
}

func (r *record) hasOpenClaim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.claimed && r.ended.IsZero()
}

// releaseClaim releases a claim, also one whose write may have failed, unless
// the job may have been started. It is called while the planner closes.
func (d *Dispatcher) releaseClaim(r *record) {
	r.mu.Lock()
	mayHoldClaim, ran := r.claimed || r.claimRefusal != nil && r.claimRefusal.Reason == state.ClaimUnavailable, r.knownRan()
	r.mu.Unlock()
	if !mayHoldClaim || ran != state.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), releaseTimeout)
	defer cancel()
	d.retryWriteEvery(ctx, claimRetryInterval, func(ctx context.Context) error {
		return d.Claims.Settle(ctx, &r.job, state.Refusal(r.job.ID, state.HomeMoved))
	})
}
