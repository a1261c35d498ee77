package rollout_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"comfreystream/coordination/rollout"
	"comfreystream/protocol/manifest"
	standin "comfreystream/standin/store"
	"comfreystream/state"
)

// applied is one call of Apply and what came of it.
type applied struct {
	expected state.Generation
	// generation is the one that the call made, or the one that beat it.
	generation state.Generation
	beaten     bool
	unknown    bool
	refused    bool
}

// applyModel is the generation in force.
var applyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state.Generation(1)} },
	Step: func(before, _, out any) []any {
		inForce, a := before.(state.Generation), out.(applied)
		switch {
		case a.refused:
			return []any{inForce}
		case a.unknown && inForce == a.expected:
			return []any{inForce, inForce + 1}
		case a.unknown:
			return []any{inForce}
		case a.beaten && a.generation > a.expected && a.generation <= inForce,
			!a.beaten && a.generation == a.expected+1 && inForce == a.expected:
			return []any{max(inForce, a.generation)}
		default:
			return nil
		}
	},
}

func TestApplyIsLinearizable(t *testing.T) {
	const operators, appliesEach = 3, 6
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, operators, 2)
				f.apply(0, sample(3, 0), 0)
				f.store.Freeze()
				f.settle(inForceWithin)
				f.store.Inject(standin.OneInThree(seed))
				var clock atomic.Int64
				var mu sync.Mutex
				var history []porcupine.Operation
				var all sync.WaitGroup
				for operator := range operators {
					random := rand.New(rand.NewPCG(seed, uint64(operator)+2))
					e := f.get(operator, 0)
					all.Go(func() {
						for i := range appliesEach {
							<-time.After(time.Duration(random.IntN(300)) * time.Millisecond)
							expected, _ := e.Advert()
							call := clock.Add(1)
							out := apply(e.Rollout, sample(3, operator*100+i+1), expected)
							end := clock.Add(1)
							if out.unknown {
								end = math.MaxInt64
							}
							mu.Lock()
							history = append(history, porcupine.Operation{ClientId: operator, Call: call, Output: out, Return: end})
							mu.Unlock()
						}
					})
				}
				all.Wait()
				if !porcupine.CheckOperations(applyModel.ToModel(), history) {
					t.Errorf("not linearizable: %+v", history)
				}
				f.store.Inject(nil)
				f.settle(10 * time.Second)
				f.checkAllHaveStored()
				f.checkNoneFellBack()
			})
		})
	}
}

// TestInForceEverywhereInTime applies a change while one call to the store in
// three goes wrong, and logs how long the entries took in virtual time.
func TestInForceEverywhereInTime(t *testing.T) {
	const zones, entriesPerZone = 3, 8
	var took []time.Duration
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, zones, entriesPerZone)
			f.apply(0, sample(20, 0), 0)
			f.store.Freeze()
			f.settle(inForceWithin)
			f.store.Inject(standin.OneInThree(seed))
			for out := (applied{refused: true}); out.refused; {
				out = apply(f.get(0, 1).Rollout, sample(20, 1), 1)
			}
			accepted := time.Now()
			f.settle(inForceWithin)
			for address, e := range f.entries {
				if generation, _ := e.Advert(); generation != 2 {
					t.Errorf("seed %d: entry %v has %d after %v", seed, address, generation, inForceWithin)
				}
				took = append(took, max(0, e.moved.Sub(accepted)))
			}
			f.checkNoneFellBack()
		})
	}
	slices.Sort(took)
	t.Logf("in force after p50 %v, p99 %v, at most %v", took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
}

func apply(r *rollout.Rollout, m *state.Manifest, expected state.Generation) applied {
	generation, err := r.Apply(context.Background(), m, expected)
	var beaten *rollout.Beaten
	switch {
	case err == nil:
		return applied{expected: expected, generation: generation}
	case errors.As(err, &beaten):
		return applied{expected: expected, generation: beaten.Generation, beaten: true}
	case state.IsAmbiguous(err):
		return applied{expected: expected, unknown: true}
	default:
		return applied{expected: expected, refused: true}
	}
}

// checkAllHaveStored fails unless every entry has what the store's head names.
func (f *fleet) checkAllHaveStored() {
	f.t.Helper()
	entry, err := f.get(0, 0).Storage.Get(context.Background(), 0, "manifest/head")
	if err != nil {
		f.t.Fatal(err)
	}
	head, err := manifest.Codec().DecodeHead(entry.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	for address, e := range f.entries {
		if generation, digest := e.Advert(); generation != head.Generation || digest != head.Digest {
			f.t.Errorf("entry %v has %d (%x), the store %d (%x)", address, generation, digest, head.Generation, head.Digest)
		}
	}
}
