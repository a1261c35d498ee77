package archive_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"comfreystream/coordination/archive"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// action is what a caller asks of one job.
type action uint8

const (
	accept action = iota
	cancel
	look
)

// answer is what the caller hears; an unknown one may have taken effect.
type answer uint8

const (
	done answer = iota
	absent
	unknown
	refused
)

// jobState is what a job may be as callers see it.
type jobState struct{ accepted, cancelled bool }

// jobModel is one job: accepted once, cancelled once, never lost.
var jobModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{jobState{}} },
	Step: func(before, in, out any) []any { return step(before.(jobState), in.(action), out.(answer)) },
}

func step(s jobState, a action, heard answer) []any {
	next := s
	switch {
	case a == accept:
		next.accepted = true
	case a == cancel && s.accepted:
		next.cancelled = true
	case a == cancel:
		return only(heard != done, s)
	case heard == done || heard == absent:
		return only(s.accepted == (heard == done), s)
	}
	switch heard {
	case done:
		return []any{next}
	case unknown:
		return []any{s, next}
	case refused:
		return []any{s}
	}
	return nil
}

func only(holds bool, s jobState) []any {
	if holds {
		return []any{s}
	}
	return nil
}

// TestAcceptAndCancelAreLinearizable has callers accept, cancel and look at one
// job through several entries while the store's calls fail in every way.
func TestAcceptAndCancelAreLinearizable(t *testing.T) {
	tests := []struct {
		name  string
		seeds uint64
		rate  float64
	}{
		{"calm", 5, 0},
		{"some calls fail", 40, 0.15},
		{"most calls fail", 20, 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range test.seeds {
				synctest.Test(t, func(t *testing.T) {
					history := observe(seed, test.rate)
					if result := porcupine.CheckOperationsTimeout(jobModel.ToModel(), history, 5*time.Second); result == porcupine.Illegal {
						t.Errorf("seed %d: not linearizable: %+v", seed, history)
					}
				})
			}
		})
	}
}

// observe lets callers act for a while and returns what they did and heard.
func observe(seed uint64, rate float64) (history []porcupine.Operation) {
	const callers, actions = 4, 5
	random := rand.New(rand.NewPCG(seed, 7))
	var mu sync.Mutex
	dice := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	store := standin.New()
	store.Fault = func(string) standin.Fault {
		if float64(dice(1000)) >= rate*1000 {
			return standin.None
		}
		return standin.Fault(1 + dice(4))
	}
	calls := store.Calls()
	a := record.NewArchive(&calls)
	began := time.Now()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for range actions {
				time.Sleep(time.Duration(dice(300)) * time.Millisecond)
				act := action(dice(3))
				from := time.Since(began)
				heard := perform(a, act)
				until := int64(time.Since(began))
				if heard == unknown {
					until = int64(time.Hour) // it may still take effect
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: caller, Input: act, Output: heard, Call: int64(from), Return: until})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(2 * standin.LateBy)
	return history
}

func perform(a *archive.Archive, act action) answer {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	const id = workflow.ID("0123456789abcdef")
	known, err := true, error(nil)
	switch act {
	case accept:
		err = a.Accept(ctx, &workflow.Job{ID: id, Steps: []workflow.Step{{Tasks: 1}}})
	case cancel:
		known, err = a.Cancel(ctx, id)
	case look:
		_, known, err = a.Status(ctx, id)
	}
	switch {
	case err != nil && state.IsAmbiguous(err) && act != look:
		return unknown
	case err != nil:
		return refused
	case !known:
		return absent
	}
	return done
}
