package dispatch

import (
	"comfreystream/state"
	"context"
)

// ClaimState is what a claim's record says when a job asks for it.
type ClaimState uint8

// The states of a claim towards one job.
const (
	// ClaimFresh means that the job took the claim just now.
	ClaimFresh ClaimState = iota
	// ClaimOwn means that the same job took it under an earlier planner, which
	// may have started it, and its end is not recorded.
	ClaimOwn
	// ClaimEnded means that the same job has ended; the outcome is recorded.
	ClaimEnded
	// ClaimTaken means that another job holds the key.
	ClaimTaken
)

// ClaimResult is the answer to a claim.
type ClaimResult struct {
	State ClaimState
	// Outcome is set for ClaimEnded.
	Outcome state.Outcome
	// Holder is the job that holds the key, for ClaimTaken.
	Holder state.JobID
}

// Claims are create-only records of non-idempotent requests in the store.
type Claims struct {
	// Take claims the job's key; after an error the job does not start.
	Take func(ctx context.Context, job *state.Job) (ClaimResult, error)
	// Settle records the outcome; one that did not run gives the key free.
	Settle func(ctx context.Context, job *state.Job, outcome state.Outcome) error
}

// Ledger keeps accepted jobs whose callers do not wait.
type Ledger struct {
	// Save keeps the job; an error means that nothing was promised.
	Save func(ctx context.Context, job *state.Job) error
	// Finish records the outcome in place of the job.
	Finish func(ctx context.Context, job *state.Job, outcome state.Outcome) error
	// Load returns the saved jobs of the zone, and the outcomes of those that ended.
	Load func(ctx context.Context) (jobs []state.Job, ended []state.Outcome, err error)
}

// claim takes the key of a non-idempotent job just before its first start. A
// claim therefore exists only for a job that may have been started.
func (d *Dispatcher) claim(r *record) error {
	if r.job.Idempotent || r.claimed {
		return nil
	}
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	result, err := d.Claims.Take(ctx, &r.job)
	if err != nil {
		d.Count(state.ReasonOf(err, state.StoreUnavailable))
		return r.forbid(state.Refusal(r.job.ID, state.ClaimUnavailable))
	}
	switch result.State {
	case ClaimFresh:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.claimed = true
		return nil
	case ClaimOwn:
		return r.forbid(state.Outcome{Job: r.job.ID, Ran: state.Unknown, Reason: state.AmbiguousStart})
	case ClaimEnded:
		return r.forbid(result.Outcome)
	default:
		return r.forbid(state.Outcome{Job: r.job.ID, Ran: state.NotRun, Reason: state.DuplicateKey, Answer: []byte(result.Holder)})
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
