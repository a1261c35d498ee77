package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	"comfreystream/standin/store"
	"comfreystream/state"
)

// loseEveryOtherAnswer loses the reply to every other call on a key, starting with
// the first.
func loseEveryOtherAnswer() func(store.Operation, string) store.Faults {
	calls := state.NewTable[string, int]()
	return func(_ store.Operation, key string) (faults store.Faults) {
		calls.Update(key, func(count int, _ bool) (int, bool) {
			faults.LoseAnswer = count%2 == 0
			return count + 1, true
		})
		return faults
	}
}

// TestStoreAway submits jobs and applies a manifest while the store is faulty:
// operations that do not need the store succeed, and those that need it fail with
// the right reason if the store is unavailable.
func TestStoreAway(t *testing.T) {
	tests := []struct {
		name   string
		faults store.Faults
		// away is set if no call to the store succeeds.
		away bool
	}{
		{"down", store.Faults{Down: true}, true},
		{"refusing", store.Faults{Refuse: true}, true},
		{"silent", store.Faults{Slow: time.Minute}, true},
		{"slow", store.Faults{Slow: 100 * time.Millisecond}, false},
		{"losing every other answer", store.Faults{LoseAnswer: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, client := startFleet(t, Plan{AvailabilityZones: []string{"za"}, EntriesPerZone: 2, WorkersPerZone: 2})
			entry := f.Entries()[0].Address()
			f.Store.Inject(store.Always(tt.faults))
			if tt.faults.LoseAnswer {
				f.Store.Inject(loseEveryOtherAnswer())
			}
			once := smallJob()
			once.Idempotent, once.Key = false, "order-1"
			submit := func(job *state.Job) state.Outcome {
				t.Helper()
				ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
				defer cancel()
				progress, err := client.Submit(ctx, entry, job)
				if err != nil || !progress.Done {
					t.Errorf("submit: %+v, error %v", progress, err)
				}
				return progress.Outcome
			}
			if o := submit(smallJob()); o.Ran != state.RanToCompletion {
				t.Errorf("idempotent job: %+v", o)
			}
			o := submit(once)
			if tt.away && (o.Ran != state.NotRun || o.Reason != state.ClaimUnavailable) || !tt.away && o.Ran != state.RanToCompletion {
				t.Errorf("non-idempotent job: %+v", o)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
			defer cancel()
			if _, err := client.Accept(ctx, entry, smallJob()); (err != nil) != tt.away || err != nil && state.ReasonOf(err, "") != state.NotDurable {
				t.Errorf("accept: %v", err)
			}
			changed := strings.Replace(manifestFile, `"share": 1}`, `"share": 2}`, 1)
			if _, err := client.Apply(ctx, entry, []byte(changed), 0); (err != nil) != tt.away || err != nil && state.ReasonOf(err, "") != state.StoreUnavailable {
				t.Errorf("apply: %v", err)
			}
			f.Store.Inject(nil)
			again := *once
			again.Key = "order-2"
			if err := f.retry(ctx, func() error {
				if o := submit(&again); o.Ran != state.RanToCompletion {
					return state.NewStepError("submit", entry, o.Reason, nil)
				}
				return nil
			}); err != nil {
				t.Errorf("after the end of the fault: %v", err)
			}
		})
	}
}
