package jobstore_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"comfreystream/coordination/jobstore"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// action is a caller's request about the job.
type action uint8

const (
	accept action = iota
	cancel
	readStatus
)

// answer is the result that the caller gets; after unknown, the action may have
// taken effect or may still do so.
type answer uint8

const (
	done answer = iota
	notFound
	unknown
	refused
)

// jobState is the state of the job as its callers observe it.
type jobState struct{ accepted, cancelled bool }

// jobModel specifies the job: once accepted or cancelled, it stays so. A job whose
// cancellation was answered "not found" is never accepted, not even by a write that was
// under way.
var jobModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{jobState{}} },
	Step: func(before, in, out any) []any { return step(before.(jobState), in.(action), out.(answer)) },
}

func step(s jobState, a action, got answer) []any {
	next := s
	switch {
	case a == accept && s.cancelled && !s.accepted:
		return keepIf(got == refused || got == unknown, s)
	case a == accept:
		next.accepted = true
	case a == cancel:
		next.cancelled = true
		if got == done && !s.accepted || got == notFound && s.accepted {
			return nil
		}
	case got == done || got == notFound:
		return keepIf(s.accepted == (got == done), s)
	}
	switch got {
	case done:
		return []any{next}
	case notFound:
		return keepIf(a == cancel, next)
	case unknown:
		return []any{s, next}
	case refused:
		return []any{s}
	}
	return nil
}

func keepIf(holds bool, s jobState) []any {
	if holds {
		return []any{s}
	}
	return nil
}

// TestAcceptAndCancelAreLinearizable checks that the answers to concurrent callers
// are linearizable. They accept, cancel and read one job while calls of the store
// are refused, not answered, applied without an answer or applied late.
func TestAcceptAndCancelAreLinearizable(t *testing.T) {
	tests := []struct {
		name  string
		seeds uint64
		rate  float64
	}{
		{"no calls fail", 5, 0},
		{"some calls fail", 40, 0.15},
		{"most calls fail", 20, 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range test.seeds {
				synctest.Test(t, func(t *testing.T) {
					history := runCallers(seed, test.rate)
					if result := porcupine.CheckOperationsTimeout(jobModel.ToModel(), history, 5*time.Second); result == porcupine.Illegal {
						t.Errorf("seed %d: not linearizable: %+v", seed, history)
					}
				})
			}
		})
	}
}

// runCallers runs concurrent callers and returns their actions with the answers.
func runCallers(seed uint64, rate float64) (history []porcupine.Operation) {
	const callers, actions = 4, 5
	random := rand.New(rand.NewPCG(seed, 7))
	var mu sync.Mutex
	randomInt := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	store := standin.New()
	store.Fault = func(string) standin.Fault {
		if float64(randomInt(1000)) >= rate*1000 {
			return standin.None
		}
		return standin.Fault(1 + randomInt(4))
	}
	calls := store.Calls()
	st := record.NewJobStore(&calls, valueBytes)
	began := time.Now()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for range actions {
				time.Sleep(time.Duration(randomInt(300)) * time.Millisecond)
				act := action(randomInt(3))
				from := time.Since(began)
				got := perform(st, act)
				until := int64(time.Since(began))
				if got == unknown {
					until = int64(time.Hour) // it may still take effect
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: caller, Input: act, Output: got, Call: int64(from), Return: until})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(2 * standin.LateBy)
	return history
}

func perform(st *jobstore.Store, act action) answer {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	const id = workflow.ID("0123456789abcdef")
	known, err := true, error(nil)
	switch act {
	case accept:
		_, err = st.Accept(ctx, &workflow.Job{ID: id, Steps: []workflow.Step{{Tasks: 1}}})
	case cancel:
		known, err = st.Cancel(ctx, id)
	case readStatus:
		_, known, err = st.Status(ctx, id)
	}
	switch {
	case err != nil && state.IsAmbiguous(err) && act != readStatus:
		return unknown
	case err != nil:
		return refused
	case !known:
		return notFound
	}
	return done
}
