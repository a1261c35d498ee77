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

// applyOutcome is the input and result of one call of Apply.
type applyOutcome struct {
	expected state.Generation
	// generation is the one that the call created, or that of the ConflictError.
	generation state.Generation
	conflict   bool
	unknown    bool
	refused    bool
}

// applyModel models Apply on a single register, the generation in force.
var applyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state.Generation(1)} },
	Step: func(before, _, out any) []any {
		inForce, a := before.(state.Generation), out.(applyOutcome)
		switch {
		case a.refused:
			return []any{inForce}
		case a.unknown && inForce == a.expected:
			return []any{inForce, inForce + 1}
		case a.unknown:
			return []any{inForce}
		case a.conflict && a.generation > a.expected && a.generation <= inForce,
			!a.conflict && a.generation == a.expected+1 && inForce == a.expected:
			return []any{max(inForce, a.generation)}
		default:
			return nil
		}
	},
}

// TestApplyIsLinearizable has concurrent operators apply manifests while one call
// to the store in three fails. It guards against two manifests accepted as one
// generation and against an accepted manifest that is lost.
func TestApplyIsLinearizable(t *testing.T) {
	const operators, appliesEach = 3, 6
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, operators, 2)
				c.apply(0, sampleManifest(3, 0), 0)
				c.store.SnapshotStaleData()
				c.advanceTime(inForceBound)
				c.store.Inject(standin.RandomFaults(seed))
				var clock atomic.Int64
				var mu sync.Mutex
				var history []porcupine.Operation
				var all sync.WaitGroup
				for operator := range operators {
					random := rand.New(rand.NewPCG(seed, uint64(operator)+2))
					e := c.get(operator, 0)
					all.Go(func() {
						for i := range appliesEach {
							<-time.After(time.Duration(random.IntN(300)) * time.Millisecond)
							expected, _ := e.Advert()
							call := clock.Add(1)
							out := apply(e.Rollout, sampleManifest(3, operator*100+i+1), expected)
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
				c.store.Inject(nil)
				c.advanceTime(10 * time.Second)
				c.checkAllMatchStore()
				c.checkGenerationsNeverDecrease()
			})
		})
	}
}

// TestInForceEverywhereWithinBound applies a change while one call to the store in
// three fails. Every entry must have it in force within inForceBound; the test
// logs the times in virtual time.
func TestInForceEverywhereWithinBound(t *testing.T) {
	const zones, entriesPerZone = 3, 8
	var took []time.Duration
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, zones, entriesPerZone)
			c.apply(0, sampleManifest(20, 0), 0)
			c.store.SnapshotStaleData()
			c.advanceTime(inForceBound)
			c.store.Inject(standin.RandomFaults(seed))
			for out := (applyOutcome{refused: true}); out.refused; {
				out = apply(c.get(0, 1).Rollout, sampleManifest(20, 1), 1)
			}
			accepted := time.Now()
			c.advanceTime(inForceBound)
			for address, e := range c.entries {
				if generation, _ := e.Advert(); generation != 2 {
					t.Errorf("seed %d: entry %v has %d after %v", seed, address, generation, inForceBound)
				}
				took = append(took, max(0, e.movedAt.Sub(accepted)))
			}
			c.checkGenerationsNeverDecrease()
		})
	}
	slices.Sort(took)
	t.Logf("in force after p50 %v, p99 %v, at most %v", took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
}

func apply(r *rollout.Rollout, m *state.Manifest, expected state.Generation) applyOutcome {
	generation, err := r.Apply(context.Background(), m, expected)
	var conflict *rollout.ConflictError
	switch {
	case err == nil:
		return applyOutcome{expected: expected, generation: generation}
	case errors.As(err, &conflict):
		return applyOutcome{expected: expected, generation: conflict.Generation, conflict: true}
	case state.IsAmbiguous(err):
		return applyOutcome{expected: expected, unknown: true}
	default:
		return applyOutcome{expected: expected, refused: true}
	}
}

// checkAllMatchStore fails unless every entry has the generation and digest of the
// store's head in force.
func (c *cluster) checkAllMatchStore() {
	c.t.Helper()
	entry, err := c.get(0, 0).Storage.Get(context.Background(), 0, "manifest/head")
	if err != nil {
		c.t.Fatal(err)
	}
	head, err := manifest.Codec().DecodeHead(entry.Value)
	if err != nil {
		c.t.Fatal(err)
	}
	for address, e := range c.entries {
		if generation, digest := e.Advert(); generation != head.Generation || digest != head.Digest {
			c.t.Errorf("entry %v has %d (%x), the store %d (%x)", address, generation, digest, head.Generation, head.Digest)
		}
	}
}
