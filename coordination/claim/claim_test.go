package claim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/claim"
	"comfreystream/coordination/storage"
	"comfreystream/protocol/record"
	"comfreystream/protocol/store"
	standin "comfreystream/standin/store"
	"comfreystream/state"
)

// rig holds the claims of two planners, a and b, that share one store.
type rig struct {
	t     *testing.T
	store *standin.Store
	a, b  *claim.Claims
}

func newRig(t *testing.T) *rig {
	s := standin.New()
	t.Cleanup(s.Close)
	calls := store.WithWriteIDs(s.Operations())
	return &rig{t: t, store: s, a: claim.New(storage.New(calls, 0), record.ClaimCodec()), b: claim.New(storage.New(calls, 0), record.ClaimCodec())}
}

func job(id state.JobID) *state.Job {
	return &state.Job{ID: id, Organisation: "org", Key: "order 7", Members: 1}
}

func ran() state.Outcome {
	const id = state.JobID("z.1")
	return state.Outcome{Job: id, Attempt: 1, Ran: state.RanToCompletion, Answer: []byte("answer of " + string(id))}
}

func (r *rig) take(c *claim.Claims, id state.JobID, want claim.State) claim.Result {
	r.t.Helper()
	result, err := c.Take(context.Background(), job(id))
	if err != nil || result.State != want {
		r.t.Errorf("Take for %s returned %+v, %v; want state %d", id, result, err, want)
	}
	return result
}

func (r *rig) refused(c *claim.Claims, id state.JobID, ambiguous bool) {
	r.t.Helper()
	result, err := c.Take(context.Background(), job(id))
	if state.ReasonOf(err, "") != state.ClaimUnavailable || state.IsAmbiguous(err) != ambiguous {
		r.t.Errorf("Take for %s returned %+v, %v; want reason claimUnavailable", id, result, err)
	}
}

func (r *rig) settle(c *claim.Claims, outcome state.Outcome) {
	r.t.Helper()
	if err := c.Settle(context.Background(), job(outcome.Job), outcome); err != nil {
		r.t.Error(err)
	}
}

// overwrite replaces the holder of the only claim by the given job.
func (r *rig) overwrite(holder state.JobID) {
	ctx := context.Background()
	value, err := record.ClaimCodec().Encode(claim.Record{Organisation: "org", Key: "order 7", Holder: holder})
	if err != nil {
		r.t.Error(err)
	}
	entries, _, err := r.b.Storage.List(ctx, storage.ForClaim, "claim/")
	if err != nil || len(entries) != 1 {
		r.t.Error(entries, err)
		return
	}
	if _, err := r.b.Storage.Put(ctx, storage.ForClaim, entries[0], value, 0); err != nil {
		r.t.Error(err)
	}
}

// fail injects the faults into every further call of the operation.
func (r *rig) fail(operation standin.Operation, faults standin.Faults) {
	r.store.Inject(func(o standin.Operation, _ string) standin.Faults {
		if o != operation {
			return standin.Faults{}
		}
		return faults
	})
}

// heal ends the faults and waits for the retries to finish.
func (r *rig) heal() {
	r.store.Inject(nil)
	<-time.After(5 * time.Second)
	synctest.Wait()
}

func TestClaimUnderFaults(t *testing.T) {
	lost, down := standin.Faults{LoseAnswer: true}, standin.Faults{Down: true}
	tests := []struct {
		name string
		run  func(r *rig)
	}{
		{"two entries claim one after the other: the second gets the holder", func(r *rig) {
			r.take(r.a, "z.1", claim.Fresh)
			if result := r.take(r.b, "z.2", claim.HeldByOther); result.Holder != "z.1" || result.Outcome.Job != "" {
				r.t.Errorf("%+v", result)
			}
		}},
		{"the response to the claim is lost", func(r *rig) {
			r.store.Inject(standin.FirstWrite(lost, standin.Faults{}))
			r.take(r.a, "z.1", claim.Fresh)
			r.take(r.b, "z.2", claim.HeldByOther)
		}},
		{"the response is lost and another job takes the record before it is read back", func(r *rig) {
			r.store.Inject(standin.FirstWrite(lost, standin.Faults{}))
			time.AfterFunc(time.Millisecond, func() { r.overwrite("z.2") })
			r.take(r.a, "z.1", claim.HeldByOther)
		}},
		{"the response is lost and the store goes down: the job is refused and its key released", func(r *rig) {
			r.store.Inject(standin.FirstWrite(lost, down))
			r.refused(r.a, "z.1", true)
			r.heal()
			r.take(r.b, "z.2", claim.HeldByOther)
			r.settle(r.a, state.Refusal("z.1", state.ClaimUnavailable))
			r.take(r.b, "z.2", claim.Fresh)
		}},
		{"the claim arrives after the job was refused: it does not take the key", func(r *rig) {
			r.store.Inject(standin.FirstWrite(standin.Faults{Slow: 20 * time.Second}, down))
			r.refused(r.a, "z.1", true)
			r.heal()
			r.settle(r.a, state.Refusal("z.1", state.ClaimUnavailable))
			<-time.After(time.Minute)
			r.take(r.b, "z.2", claim.Fresh)
		}},
		{"the store is down", func(r *rig) {
			r.store.Inject(standin.Always(down))
			r.refused(r.a, "z.1", false)
			r.heal()
			r.take(r.b, "z.2", claim.Fresh)
		}},
		{"the store refuses", func(r *rig) {
			r.take(r.a, "z.0", claim.Fresh)
			r.settle(r.a, state.Refusal("z.0", state.NeverFits))
			r.store.Inject(standin.Always(standin.Faults{Refuse: true}))
			r.refused(r.a, "z.1", false)
			r.heal()
			r.take(r.b, "z.2", claim.Fresh)
		}},
		{"the store returns stale data in which the key is free", func(r *rig) {
			r.store.SnapshotStaleData()
			r.take(r.a, "z.1", claim.Fresh)
			r.fail(standin.Get, standin.Faults{StaleReads: true})
			r.refused(r.b, "z.2", false)
			r.heal()
			r.take(r.b, "z.2", claim.HeldByOther)
		}},
		{"the planner fails before the outcome is known", func(r *rig) {
			r.take(r.a, "z.1", claim.Fresh)
			r.take(r.b, "z.1", claim.AlreadyTaken)
			r.take(r.b, "z.2", claim.HeldByOther)
			r.settle(r.b, state.Outcome{Job: "z.1", Ran: state.OutcomeUnknown, Reason: state.AmbiguousStart})
			if result := r.take(r.a, "z.2", claim.HeldByOther); result.Outcome.Ran != state.OutcomeUnknown {
				r.t.Errorf("%+v", result)
			}
		}},
		{"the planner fails after the job has ended: the outcome is recorded", func(r *rig) {
			r.take(r.a, "z.1", claim.Fresh)
			r.settle(r.a, ran())
			if result := r.take(r.b, "z.1", claim.Ended); string(result.Outcome.Answer) != "answer of z.1" {
				r.t.Errorf("%+v", result)
			}
			if result := r.take(r.b, "z.2", claim.HeldByOther); result.Outcome.Ran != state.RanToCompletion {
				r.t.Errorf("%+v", result)
			}
		}},
		{"the response to the settlement is lost", func(r *rig) {
			r.take(r.a, "z.1", claim.Fresh)
			r.store.Inject(standin.FirstWrite(lost, standin.Faults{}))
			r.settle(r.a, ran())
			r.take(r.b, "z.1", claim.Ended)
		}},
		{"the settlement reads stale data", func(r *rig) {
			r.store.SnapshotStaleData()
			r.take(r.a, "z.1", claim.Fresh)
			r.fail(standin.Get, standin.Faults{StaleReads: true})
			if err := r.b.Settle(context.Background(), job("z.1"), ran()); err == nil {
				r.t.Error("Settle succeeded on stale data")
			}
			r.heal()
			r.settle(r.b, ran())
			r.take(r.b, "z.1", claim.Ended)
		}},
		{"an answer above the store's limit is omitted", func(r *rig) {
			r.take(r.a, "z.1", claim.Fresh)
			r.settle(r.a, state.Outcome{Job: "z.1", Ran: state.RanToCompletion, Answer: make([]byte, 2<<20)})
			if result := r.take(r.b, "z.1", claim.Ended); result.Outcome.Ran != state.RanToCompletion || result.Outcome.Answer != nil {
				r.t.Errorf("%+v", result.Outcome.Ran)
			}
		}},
		{"only the holder settles", func(r *rig) {
			r.take(r.a, "z.1", claim.Fresh)
			r.settle(r.b, state.Refusal("z.2", state.DuplicateKey))
			r.settle(r.b, state.Outcome{Job: "z.2", Ran: state.RanToCompletion})
			if result := r.take(r.b, "z.2", claim.HeldByOther); result.Holder != "z.1" {
				r.t.Errorf("%+v", result)
			}
		}},
		{"a planner whose claim failed does not release the claim of another planner", func(r *rig) {
			r.take(r.a, "z.1", claim.Fresh)
			r.store.Inject(standin.Always(lost))
			r.refused(r.b, "z.1", false)
			r.heal()
			r.settle(r.b, state.Refusal("z.1", state.ClaimUnavailable))
			r.take(r.b, "z.2", claim.HeldByOther)
		}},
		{"a planner whose claim is in doubt does not release the claim of another planner", func(r *rig) {
			r.take(r.a, "z.0", claim.Fresh)
			r.settle(r.a, state.Refusal("z.0", state.Cancelled))
			r.store.Inject(standin.FirstWrite(down, down))
			r.refused(r.b, "z.1", true)
			r.heal()
			r.take(r.a, "z.1", claim.Fresh)
			r.settle(r.b, state.Refusal("z.1", state.ClaimUnavailable))
			r.take(r.b, "z.2", claim.HeldByOther)
		}},
		{"an unknown outcome does not replace the outcome that another planner recorded", func(r *rig) {
			r.take(r.a, "z.1", claim.Fresh)
			r.take(r.b, "z.1", claim.AlreadyTaken)
			r.settle(r.a, ran())
			r.settle(r.b, state.Outcome{Job: "z.1", Ran: state.OutcomeUnknown, Reason: state.AmbiguousStart})
			if result := r.take(r.b, "z.1", claim.Ended); result.Outcome.Ran != state.RanToCompletion {
				r.t.Errorf("%+v", result)
			}
		}},
		{"a key is free after the retention", func(r *rig) {
			r.take(r.a, "z.1", claim.Fresh)
			<-time.After(claim.Retention)
			r.take(r.b, "z.2", claim.HeldByOther)
			<-time.After(2 * time.Hour)
			r.take(r.b, "z.2", claim.Fresh)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.run(newRig(t)) })
		})
	}
}
