package rollout_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/rollout"
	standin "comfreystream/standin/store"
	"comfreystream/state"
)

// inForceBound is the longest time that a change of the manifest may take to be
// in force on every reachable entry.
const inForceBound = 4 * time.Second

// sleep lets virtual time pass, then waits until all goroutines of the test are blocked.
func sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	<-timer.C
	synctest.Wait()
}

// advanceTime lets time pass and exchanges adverts twice a second.
func (c *cluster) advanceTime(wait time.Duration) {
	for range wait / (500 * time.Millisecond) {
		sleep(500 * time.Millisecond)
		c.exchangeAdverts()
	}
	synctest.Wait()
}

// TestRolloutUnderFaults checks that a change reaches every entry that can be
// reached in time despite a fault, and the others once the fault is over.
func TestRolloutUnderFaults(t *testing.T) {
	tests := []struct {
		name string
		// fault is injected while generation 1 is in force everywhere. Generation 2
		// is applied in zone 0 after that, and heal removes the fault after inForceBound.
		fault, heal func(c *cluster)
		// want are the generations in force on the running entries inForceBound
		// after the apply, in any order; after heal all have generation 2.
		want []state.Generation
	}{
		{"none", nil, nil, []state.Generation{2, 2, 2, 2}},
		{"zone 1 is partitioned", func(c *cluster) { c.setPartitioned(1, true) }, func(c *cluster) { c.setPartitioned(1, false) }, []state.Generation{2, 2, 1, 1}},
		{"zone 1 is partitioned and an entry restarts", func(c *cluster) {
			c.setPartitioned(1, true)
			c.stopEntry(c.get(1, 1).address)
			c.start(1, 1)
		}, func(c *cluster) { c.setPartitioned(1, false) }, []state.Generation{2, 2, 1, 1}},
		{"the store answers watches with stale data", func(c *cluster) {
			c.store.SnapshotStaleData()
			c.store.Inject(staleWatches)
		}, func(c *cluster) { c.store.Inject(nil) }, []state.Generation{2, 2, 2, 2}},
		{"zone 1's relay stops", func(c *cluster) { c.stopEntry(c.get(1, 0).address) }, func(c *cluster) { c.start(1, 0) }, []state.Generation{2, 2, 2}},
		{"a partitioned zone has other content of the generation", func(c *cluster) {
			c.setPartitioned(1, true)
			c.allowsReplacement = true
			if _, err := c.get(1, 1).Receive(conflictingUpdate(c.t)); err != nil {
				c.t.Error(err)
			}
		}, func(c *cluster) { c.setPartitioned(1, false) }, []state.Generation{2, 2, 2, 2}},
		{"each answer to a write is lost", func(c *cluster) {
			c.store.Inject(func(operation standin.Operation, _ string) standin.Faults {
				return standin.Faults{LoseAnswer: operation == standin.CompareAndSwap}
			})
		}, func(c *cluster) { c.store.Inject(nil) }, []state.Generation{2, 2, 2, 2}},
		{"each call to the store takes 300 ms", func(c *cluster) {
			c.store.Inject(standin.Always(standin.Faults{Slow: 300 * time.Millisecond}))
		}, func(c *cluster) { c.store.Inject(nil) }, []state.Generation{2, 2, 2, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				c.apply(0, sampleManifest(20, 1), 0)
				c.advanceTime(inForceBound)
				if tt.fault != nil {
					tt.fault(c)
					c.advanceTime(2 * time.Second)
				}
				c.apply(0, sampleManifest(20, 2), 1)
				c.advanceTime(inForceBound)
				if got := c.generations(); !slices.Equal(sorted(got), sorted(tt.want)) {
					t.Errorf("in force %v, want %v", got, tt.want)
				}
				if tt.heal != nil {
					tt.heal(c)
					c.advanceTime(inForceBound)
				}
				want, digest := c.get(0, 0).Advert()
				for _, e := range c.entries {
					if generation, sum := e.Advert(); generation != 2 || want != 2 || sum != digest {
						t.Errorf("after healing entry %v has %d (%x), want 2 (%x)", e.address, generation, sum, digest)
					}
				}
				c.checkGenerationsNeverDecrease()
			})
		})
	}
}

// conflictingUpdate returns a generation 2 whose content is not in the cluster's store.
func conflictingUpdate(t testing.TB) rollout.Update {
	other := newCluster(t, 1, 1)
	other.apply(0, sampleManifest(20, 5), 0)
	other.apply(0, sampleManifest(20, 6), 0)
	update, _ := other.get(0, 0).Since(rollout.ManifestID{})
	return update
}

func staleWatches(operation standin.Operation, _ string) standin.Faults {
	return standin.Faults{StaleReads: operation == standin.Watch}
}

func sorted(generations []state.Generation) []state.Generation {
	generations = slices.Clone(generations)
	slices.Sort(generations)
	return generations
}

// TestRestartDoesNotLowerGeneration guards against an entry that restarts with an
// older manifest from a store that returns stale data. No manifest is better.
func TestRestartDoesNotLowerGeneration(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *cluster)
		want  state.Generation
	}{
		{"the store returns stale data", func(c *cluster) { c.store.Inject(standin.Always(standin.Faults{StaleReads: true})) }, 2},
		{"the store is down", func(c *cluster) { c.store.Inject(standin.Always(standin.Faults{Down: true})) }, 2},
		{"the zone is partitioned", func(c *cluster) { c.setPartitioned(0, true) }, 2},
		{"all restart while the store returns stale data", func(c *cluster) {
			c.store.Inject(standin.Always(standin.Faults{StaleReads: true}))
			c.stopEntry(c.get(0, 1).address)
		}, 0},
		{"all restart", func(c *cluster) { c.stopEntry(c.get(0, 1).address) }, 2},
		{"partitioned without another entry", func(c *cluster) { c.setPartitioned(0, true); c.stopEntry(c.get(0, 1).address) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, 2)
				c.apply(0, sampleManifest(2, 1), 0)
				c.store.SnapshotStaleData()
				c.apply(0, sampleManifest(2, 2), 0)
				c.advanceTime(inForceBound)
				tt.fault(c)
				c.stopEntry(c.get(0, 0).address)
				restarted := c.start(0, 0)
				c.advanceTime(inForceBound)
				if got, _ := restarted.Advert(); got != tt.want {
					t.Errorf("restarted with generation %d, want %d", got, tt.want)
				}
				if (restarted.Current() == nil) != (tt.want == 0) {
					t.Errorf("current is %v", restarted.Current())
				}
				c.checkGenerationsNeverDecrease()
			})
		})
	}
}

func TestApplyRefusals(t *testing.T) {
	tests := []struct {
		name      string
		fault     func(c *cluster)
		expected  state.Generation
		reason    state.Reason
		ambiguous bool
		winner    state.Generation
		// inForce is the generation in force after the fault.
		inForce state.Generation
	}{
		{"another generation is in force", func(*cluster) {}, 1, state.OlderGeneration, false, 2, 2},
		{"the store is down", func(c *cluster) { c.store.Inject(standin.Always(standin.Faults{Down: true})) }, 2, state.StoreUnavailable, false, 0, 2},
		{"the store refuses", func(c *cluster) { c.store.Inject(standin.Always(standin.Faults{Refuse: true})) }, 2, state.StoreUnavailable, false, 0, 2},
		{"the store returns stale data", func(c *cluster) { c.store.Inject(standin.Always(standin.Faults{StaleReads: true})) }, 2, state.StoreUnavailable, false, 0, 2},
		{"the store goes down after the head is written", downAfterHeadWrite, 2, state.StoreUnavailable, true, 0, 3},
		{"another apply is accepted first", func(c *cluster) {
			c.store.Inject(func(operation standin.Operation, key string) standin.Faults {
				if operation == standin.CompareAndSwap && key == "manifest/head" {
					c.store.Inject(nil)
					c.apply(1, sampleManifest(2, 7), 2)
				}
				return standin.Faults{}
			})
		}, 2, state.OlderGeneration, false, 3, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2, 1)
				c.apply(0, sampleManifest(2, 1), 0)
				c.store.SnapshotStaleData()
				c.apply(0, sampleManifest(2, 2), 0)
				c.advanceTime(inForceBound)
				tt.fault(c)
				_, err := c.get(0, 0).Apply(context.Background(), sampleManifest(2, 9), tt.expected)
				var step *state.StepError
				if !errors.As(err, &step) || step.Reason != tt.reason || step.Ambiguous != tt.ambiguous {
					t.Errorf("error %v (%+v)", err, step)
				}
				var conflict *rollout.ConflictError
				if errors.As(err, &conflict) != (tt.winner > 0) || conflict != nil && conflict.Generation != tt.winner {
					t.Errorf("conflict error %v, want generation %d", conflict, tt.winner)
				}
				c.store.Inject(nil)
				c.advanceTime(inForceBound)
				if got, _ := c.get(1, 0).Advert(); got != tt.inForce {
					t.Errorf("generation %d is in force, want %d", got, tt.inForce)
				}
				c.checkGenerationsNeverDecrease()
			})
		})
	}
}

// downAfterHeadWrite loses the answer to the write of the head; the store is down after that.
func downAfterHeadWrite(c *cluster) {
	down := false
	c.store.Inject(func(operation standin.Operation, key string) standin.Faults {
		if down {
			return standin.Faults{Down: true}
		}
		down = operation == standin.CompareAndSwap && key == "manifest/head"
		return standin.Faults{LoseAnswer: down}
	})
}

func TestApplyOfTheSameManifest(t *testing.T) {
	tests := []struct {
		name   string
		burst  int
		faults standin.Faults
		reason state.Reason
	}{
		{"keeps the generation", 2, standin.Faults{}, ""},
		{"fails if the head that was read is stale", 1, standin.Faults{StaleReads: true}, state.StoreUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, 1)
				c.apply(0, sampleManifest(3, 1), 0)
				c.store.SnapshotStaleData()
				c.apply(0, sampleManifest(3, 2), 0)
				c.store.Inject(func(operation standin.Operation, _ string) standin.Faults {
					if operation != standin.Get {
						return standin.Faults{}
					}
					return tt.faults
				})
				// An entry without a manifest has no generation to detect stale data by.
				fresh := rollout.New(c.get(0, 0).Storage, c.get(0, 0).Codec)
				generation, err := fresh.Apply(context.Background(), sampleManifest(3, tt.burst), 0)
				if state.ReasonOf(err, "") != tt.reason || err == nil && generation != 2 {
					t.Errorf("generation %d, %v", generation, err)
				}
			})
		})
	}
}

// TestApplyAfterStoreLostWrites guards against reuse of a generation that entries
// already have in force, after the store has lost the write of it.
func TestApplyAfterStoreLostWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1)
		c.apply(0, sampleManifest(20, 1), 0)
		c.advanceTime(inForceBound)
		// An entry knows generation 2, which the store has lost.
		if _, err := c.get(0, 0).Receive(conflictingUpdate(t)); err != nil {
			t.Fatal(err)
		}
		if got := c.apply(0, sampleManifest(20, 9), 2); got != 3 {
			t.Errorf("applied as generation %d", got)
		}
		c.advanceTime(inForceBound)
		if got := c.generations(); !slices.Equal(got, []state.Generation{3, 3}) {
			t.Errorf("in force %v", got)
		}
	})
}

func TestReceive(t *testing.T) {
	tests := []struct {
		name   string
		change func(u *rollout.Update)
		reason state.Reason
		want   state.Generation
	}{
		{"the next generation", func(*rollout.Update) {}, "", 3},
		{"an older generation", func(u *rollout.Update) { u.Generation = 1 }, state.OlderGeneration, 2},
		{"a gap", func(u *rollout.Update) { u.Generation, u.Since = 9, 8 }, state.NoManifest, 2},
		{"a part is missing", func(u *rollout.Update) { u.Parts = nil }, state.BadRequest, 2},
		{"a part is damaged", func(u *rollout.Update) { u.Parts[0].Body = []byte{0xff} }, state.BadRequest, 2},
		{"other content of the same generation", func(u *rollout.Update) { u.Generation = 2 }, state.OlderGeneration, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, 1)
				c.apply(0, sampleManifest(3, 1), 0)
				c.apply(0, sampleManifest(3, 2), 0)
				old, _ := c.get(0, 0).Since(rollout.ManifestID{})
				c.apply(0, sampleManifest(3, 3), 0)
				update, _ := c.get(0, 0).Since(rollout.ManifestID{Generation: 2, Digest: old.Digest})
				r := rollout.New(c.get(0, 0).Storage, c.get(0, 0).Codec)
				if _, err := r.Receive(old); err != nil {
					t.Fatal(err)
				}
				tt.change(&update)
				current, err := r.Receive(update)
				if state.ReasonOf(err, "") != tt.reason || current.Generation != tt.want || r.Current().Generation != tt.want {
					t.Errorf("generation %d is in force after %v", current.Generation, err)
				}
			})
		})
	}
}

func TestStoreCallsDoNotGrowWithEntries(t *testing.T) {
	const minute = 60
	for _, entries := range []int{2, 8, 32} {
		for _, applied := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d entries, manifest %v", entries, applied), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, 1, entries)
					if applied {
						c.apply(0, sampleManifest(2, 1), 0)
					}
					sleep(10 * time.Second)
					before := c.store.CountCalls(standin.Get) + c.store.CountCalls(standin.Watch)
					sleep(minute * time.Second)
					// The relay waits at least half a second between two calls.
					if calls := c.store.CountCalls(standin.Get) + c.store.CountCalls(standin.Watch) - before; calls > 2*minute {
						t.Errorf("%d calls in a minute", calls)
					}
				})
			})
		}
	}
}

// TestActivateIsCalledBetweenNewestAndCurrent checks that Newest already returns
// the manifest during the call of Activate, but Current and Advert do not.
func TestActivateIsCalledBetweenNewestAndCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		e := c.get(0, 0)
		e.Activate = func(m *state.Manifest) {
			generation, _ := e.Advert()
			if e.Newest() != m || e.Current() == m || generation >= m.Generation {
				t.Errorf("generation %d: newest %v, advertised %d", m.Generation, e.Newest() == m, generation)
			}
		}
		for burst := range 3 {
			c.apply(0, sampleManifest(2, burst), 0)
		}
		if generation, _ := e.Advert(); generation != 3 || e.Current() != e.Newest() {
			t.Errorf("advertised %d", generation)
		}
	})
}

func TestAwaitReportsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		c.apply(0, sampleManifest(2, 1), 0)
		c.advanceTime(inForceBound)
		c.setPartitioned(1, true)
		generation := c.apply(0, sampleManifest(2, 2), 1)
		ctx, cancel := context.WithTimeout(context.Background(), inForceBound)
		defer cancel()
		progress := rollout.Await(ctx, generation, c.order, func(_ context.Context, address netip.AddrPort) (rollout.ManifestID, error) {
			e, err := c.reachablePeer(c.get(0, 0), address)
			if err != nil {
				return rollout.ManifestID{}, err
			}
			generation, digest := e.Advert()
			return rollout.ManifestID{Generation: generation, Digest: digest}, nil
		})
		want := []netip.AddrPort{c.get(1, 0).address, c.get(1, 1).address}
		if len(progress.Reached) != 2 || !slices.Equal(progress.Unreachable, want) || progress.Complete() {
			t.Errorf("progress %+v", progress)
		}
	})
}

// TestEvacuatedReachesEntries evacuates zones in one manifest after the other, with the
// same organisations. It guards against entries that keep the former zones, or take the
// manifests for equal.
func TestEvacuatedReachesEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		for i, zones := range [][]string{nil, {"zone-1"}, {"zone-0", "zone-1"}, {"zone-0"}, nil} {
			m := sampleManifest(3, 1)
			m.Evacuated = zones
			if got := c.apply(0, m, 0); got != state.Generation(i+1) {
				t.Errorf("generation %d, want %d", got, i+1)
			}
			c.advanceTime(inForceBound)
			for _, e := range c.entries {
				if got := e.Current().Evacuated; !slices.Equal(got, zones) {
					t.Errorf("entry %v has %v, want %v", e.address, got, zones)
				}
			}
		}
	})
}
