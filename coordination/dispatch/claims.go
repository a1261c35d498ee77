package dispatch

import (
	"comfreystream/coordination/claim"
	"comfreystream/state"
	"context"
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
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	result, err := d.Claims.Take(ctx, &r.job)
	if err != nil {
		d.Count(state.ReasonOf(err, state.StoreUnavailable))
		return r.forbid(state.Refusal(r.job.ID, state.ClaimUnavailable))
	}
	switch result.State {
	case claim.Fresh:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.claimed = true
		return nil
	case claim.Own:
		return r.forbid(state.Outcome{Job: r.job.ID, Ran: state.Unknown, Reason: state.AmbiguousStart})
	case claim.Ended:
		return r.forbid(result.Outcome)
	default:
		return r.forbid(state.Outcome{Job: r.job.ID, Ran: state.NotRun, Reason: state.DuplicateKey, Holder: result.Holder})
	}
}

// forbid notes the outcome of a job that its claim does not let start.
func (r *record) forbid(outcome state.Outcome) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdict = &outcome
	return state.NewStepError("claim "+r.job.Key, r.none(), outcome.Reason, nil)
}

// release gives a claim free whose job was not started by a planner that gives the zone up.
func (d *Dispatcher) release(r *record) {
	r.mu.Lock()
	claimed, ran := r.claimed, r.lifecycle.Ran()
	r.mu.Unlock()
	if !claimed || ran != state.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), storeTimeout)
	defer cancel()
	if err := d.Claims.Settle(ctx, &r.job, state.Refusal(r.job.ID, state.HomeMoved)); err != nil {
		d.Count(state.ReasonOf(err, state.StoreUnavailable))
	}
}
