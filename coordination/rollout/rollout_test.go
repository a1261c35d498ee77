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

// inForceWithin is the users' bound for a change of configuration.
const inForceWithin = 4 * time.Second

func after(wait time.Duration) {
	timer := time.NewTimer(wait)
	<-timer.C
	synctest.Wait()
}

// settle passes time in which adverts are heard twice a second.
func (f *fleet) settle(wait time.Duration) {
	for range wait / (500 * time.Millisecond) {
		after(500 * time.Millisecond)
		f.gossip()
	}
	synctest.Wait()
}

func TestRolloutUnderFaults(t *testing.T) {
	tests := []struct {
		name string
		// fault happens while generation 1 is in force everywhere; generation 2
		// is applied in zone 0 after it, and heal ends it after inForceWithin.
		fault, heal func(f *fleet)
		// want is what zone 0, entries 0 and 1, and zone 1, entries 0 and 1, have
		// in force within inForceWithin of the apply; after heal all have 2.
		want []state.Generation
	}{
		{"none", nil, nil, []state.Generation{2, 2, 2, 2}},
		{"zone 1 is cut off", func(f *fleet) { f.setCut(1, true) }, func(f *fleet) { f.setCut(1, false) }, []state.Generation{2, 2, 1, 1}},
		{"zone 1 is cut off and an entry restarts", func(f *fleet) {
			f.setCut(1, true)
			f.stopEntry(f.get(1, 1).address)
			f.start(1, 1)
		}, func(f *fleet) { f.setCut(1, false) }, []state.Generation{2, 2, 1, 1}},
		{"the store answers watches with old data", func(f *fleet) {
			f.store.Freeze()
			f.store.Inject(oldWatches)
		}, func(f *fleet) { f.store.Inject(nil) }, []state.Generation{2, 2, 2, 2}},
		{"zone 1's relay dies", func(f *fleet) { f.stopEntry(f.get(1, 0).address) }, func(f *fleet) { f.start(1, 0) }, []state.Generation{2, 2, 2}},
		{"a cut-off zone has other content of the generation", func(f *fleet) {
			f.setCut(1, true)
			f.replaces = true
			if _, err := f.get(1, 1).Receive(otherContent(f.t)); err != nil {
				f.t.Error(err)
			}
		}, func(f *fleet) { f.setCut(1, false) }, []state.Generation{2, 2, 2, 2}},
		{"the store loses each answer", func(f *fleet) {
			f.store.Inject(func(operation standin.Operation, _ string) standin.Faults {
				return standin.Faults{LoseAnswer: operation == standin.CompareAndSwap}
			})
		}, func(f *fleet) { f.store.Inject(nil) }, []state.Generation{2, 2, 2, 2}},
		{"the store takes 300 ms a call", func(f *fleet) {
			f.store.Inject(standin.Always(standin.Faults{Slow: 300 * time.Millisecond}))
		}, func(f *fleet) { f.store.Inject(nil) }, []state.Generation{2, 2, 2, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 2)
				f.apply(0, sample(20, 1), 0)
				f.settle(inForceWithin)
				if tt.fault != nil {
					tt.fault(f)
					f.settle(2 * time.Second)
				}
				f.apply(0, sample(20, 2), 1)
				f.settle(inForceWithin)
				if got := f.generations(); !slices.Equal(sorted(got), sorted(tt.want)) {
					t.Errorf("in force %v, want %v", got, tt.want)
				}
				if tt.heal != nil {
					tt.heal(f)
					f.settle(inForceWithin)
				}
				want, digest := f.get(0, 0).Advert()
				for _, e := range f.entries {
					if generation, sum := e.Advert(); generation != 2 || want != 2 || sum != digest {
						t.Errorf("after healing entry %v has %d (%x), want 2 (%x)", e.address, generation, sum, digest)
					}
				}
				f.checkNoneFellBack()
			})
		})
	}
}

// otherContent returns a generation 2 that the fleet's store has never seen.
func otherContent(t testing.TB) rollout.Update {
	other := newFleet(t, 1, 1)
	other.apply(0, sample(20, 5), 0)
	other.apply(0, sample(20, 6), 0)
	update, _ := other.get(0, 0).Since(rollout.Have{})
	return update
}

func oldWatches(operation standin.Operation, _ string) standin.Faults {
	return standin.Faults{OldData: operation == standin.Watch}
}

func sorted(generations []state.Generation) []state.Generation {
	generations = slices.Clone(generations)
	slices.Sort(generations)
	return generations
}

func TestRestartDoesNotFallBack(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
		want  state.Generation
	}{
		{"the store answers old data", func(f *fleet) { f.store.Inject(standin.Always(standin.Faults{OldData: true})) }, 2},
		{"the store is down", func(f *fleet) { f.store.Inject(standin.Always(standin.Faults{Down: true})) }, 2},
		{"the zone is cut off", func(f *fleet) { f.setCut(0, true) }, 2},
		{"all restart while the store answers old data", func(f *fleet) {
			f.store.Inject(standin.Always(standin.Faults{OldData: true}))
			f.stopEntry(f.get(0, 1).address)
		}, 0},
		{"all restart", func(f *fleet) { f.stopEntry(f.get(0, 1).address) }, 2},
		{"cut off and alone", func(f *fleet) { f.setCut(0, true); f.stopEntry(f.get(0, 1).address) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 2)
				f.apply(0, sample(2, 1), 0)
				f.store.Freeze()
				f.apply(0, sample(2, 2), 0)
				f.settle(inForceWithin)
				tt.fault(f)
				f.stopEntry(f.get(0, 0).address)
				restarted := f.start(0, 0)
				f.settle(inForceWithin)
				if got, _ := restarted.Advert(); got != tt.want {
					t.Errorf("restarted with generation %d, want %d", got, tt.want)
				}
				if (restarted.Current() == nil) != (tt.want == 0) {
					t.Errorf("current is %v", restarted.Current())
				}
				f.checkNoneFellBack()
			})
		})
	}
}

func TestApplyRefusals(t *testing.T) {
	tests := []struct {
		name      string
		fault     func(f *fleet)
		expected  state.Generation
		reason    state.Reason
		ambiguous bool
		beatenBy  state.Generation
		// inForce is what the store holds once the fault is over.
		inForce state.Generation
	}{
		{"another generation is in force", func(*fleet) {}, 1, state.OlderGeneration, false, 2, 2},
		{"the store is down", func(f *fleet) { f.store.Inject(standin.Always(standin.Faults{Down: true})) }, 2, state.StoreUnavailable, false, 0, 2},
		{"the store refuses", func(f *fleet) { f.store.Inject(standin.Always(standin.Faults{Refuse: true})) }, 2, state.StoreUnavailable, false, 0, 2},
		{"the store answers old data", func(f *fleet) { f.store.Inject(standin.Always(standin.Faults{OldData: true})) }, 2, state.StoreUnavailable, false, 0, 2},
		{"down once the head is written", downAfterHead, 2, state.StoreUnavailable, true, 0, 3},
		{"a rival is faster", func(f *fleet) {
			f.store.Inject(func(operation standin.Operation, key string) standin.Faults {
				if operation == standin.CompareAndSwap && key == "manifest/head" {
					f.store.Inject(nil)
					f.apply(1, sample(2, 7), 2)
				}
				return standin.Faults{}
			})
		}, 2, state.OlderGeneration, false, 3, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 1)
				f.apply(0, sample(2, 1), 0)
				f.store.Freeze()
				f.apply(0, sample(2, 2), 0)
				f.settle(inForceWithin)
				tt.fault(f)
				_, err := f.get(0, 0).Apply(context.Background(), sample(2, 9), tt.expected)
				var step *state.StepError
				if !errors.As(err, &step) || step.Reason != tt.reason || step.Ambiguous != tt.ambiguous {
					t.Errorf("error %v (%+v)", err, step)
				}
				var beaten *rollout.Beaten
				if errors.As(err, &beaten) != (tt.beatenBy > 0) || beaten != nil && beaten.Generation != tt.beatenBy {
					t.Errorf("beaten by %v, want %d", beaten, tt.beatenBy)
				}
				f.store.Inject(nil)
				f.settle(inForceWithin)
				if got, _ := f.get(1, 0).Advert(); got != tt.inForce {
					t.Errorf("generation %d is in force, want %d", got, tt.inForce)
				}
				f.checkNoneFellBack()
			})
		})
	}
}

// downAfterHead loses the answer of the head's write and stays down after it.
func downAfterHead(f *fleet) {
	down := false
	f.store.Inject(func(operation standin.Operation, key string) standin.Faults {
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
		{"is not taken for old data of the store", 1, standin.Faults{OldData: true}, state.StoreUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 1)
				f.apply(0, sample(3, 1), 0)
				f.store.Freeze()
				f.apply(0, sample(3, 2), 0)
				f.store.Inject(func(operation standin.Operation, _ string) standin.Faults {
					if operation != standin.Get {
						return standin.Faults{}
					}
					return tt.faults
				})
				// An entry that has no manifest yet cannot tell old data by itself.
				fresh := rollout.New(f.get(0, 0).Storage, f.get(0, 0).Codec)
				generation, err := fresh.Apply(context.Background(), sample(3, tt.burst), 0)
				if state.ReasonOf(err, "") != tt.reason || err == nil && generation != 2 {
					t.Errorf("generation %d, %v", generation, err)
				}
			})
		})
	}
}

func TestApplyGoesPastLostWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		f.apply(0, sample(20, 1), 0)
		f.settle(inForceWithin)
		// Generation 2 is known to an entry, and the store has lost it.
		if _, err := f.get(0, 0).Receive(otherContent(t)); err != nil {
			t.Fatal(err)
		}
		if got := f.apply(0, sample(20, 9), 2); got != 3 {
			t.Errorf("applied as generation %d", got)
		}
		f.settle(inForceWithin)
		if got := f.generations(); !slices.Equal(got, []state.Generation{3, 3}) {
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
				f := newFleet(t, 1, 1)
				f.apply(0, sample(3, 1), 0)
				f.apply(0, sample(3, 2), 0)
				old, _ := f.get(0, 0).Since(rollout.Have{})
				f.apply(0, sample(3, 3), 0)
				update, _ := f.get(0, 0).Since(rollout.Have{Generation: 2, Digest: old.Digest})
				r := rollout.New(f.get(0, 0).Storage, f.get(0, 0).Codec)
				if _, err := r.Receive(old); err != nil {
					t.Fatal(err)
				}
				tt.change(&update)
				have, err := r.Receive(update)
				if state.ReasonOf(err, "") != tt.reason || have.Generation != tt.want || r.Current().Generation != tt.want {
					t.Errorf("generation %d is in force after %v", have.Generation, err)
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
					f := newFleet(t, 1, entries)
					if applied {
						f.apply(0, sample(2, 1), 0)
					}
					after(10 * time.Second)
					before := f.store.Calls(standin.Get) + f.store.Calls(standin.Watch)
					after(minute * time.Second)
					// The relay waits half a second at least between two calls.
					if calls := f.store.Calls(standin.Get) + f.store.Calls(standin.Watch) - before; calls > 2*minute {
						t.Errorf("%d calls in a minute", calls)
					}
				})
			})
		}
	}
}

func TestInForceComesBetweenNewestAndCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		e := f.get(0, 0)
		e.InForce = func(m *state.Manifest) {
			generation, _ := e.Advert()
			if e.Newest() != m || e.Current() == m || generation >= m.Generation {
				t.Errorf("generation %d: newest %v, advertised %d", m.Generation, e.Newest() == m, generation)
			}
		}
		for burst := range 3 {
			f.apply(0, sample(2, burst), 0)
		}
		if generation, _ := e.Advert(); generation != 3 || e.Current() != e.Newest() {
			t.Errorf("advertised %d", generation)
		}
	})
}

func TestAwaitNamesTheUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2)
		f.apply(0, sample(2, 1), 0)
		f.settle(inForceWithin)
		f.setCut(1, true)
		generation := f.apply(0, sample(2, 2), 1)
		ctx, cancel := context.WithTimeout(context.Background(), inForceWithin)
		defer cancel()
		progress := rollout.Await(ctx, generation, f.order, func(_ context.Context, address netip.AddrPort) (rollout.Have, error) {
			e, err := f.reach(f.get(0, 0), address)
			if err != nil {
				return rollout.Have{}, err
			}
			generation, digest := e.Advert()
			return rollout.Have{Generation: generation, Digest: digest}, nil
		})
		want := []netip.AddrPort{f.get(1, 0).address, f.get(1, 1).address}
		if len(progress.Reached) != 2 || !slices.Equal(progress.Unreachable, want) || progress.Complete() {
			t.Errorf("progress %+v", progress)
		}
	})
}
