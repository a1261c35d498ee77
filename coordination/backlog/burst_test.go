package backlog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/backlog"
	"comfreystream/state/workflow"
)

// TestBurst plays bursts over 20 seeds, with callers that return as told. It guards against
// refusals that serve fewer jobs in time than first come first served or than no refusal,
// that hit a job while room is free or one that would still have counted, and that let
// callers who were refused later pass those who wait.
func TestBurst(t *testing.T) {
	shapes := [][2]int{{1, 1}, {4, 1}, {8, 1}, {8, 4}}
	tests := []struct {
		name string
		mix  mix
		// refuses is set if jobs must be refused at all.
		refuses bool
	}{
		{"mixed", mix{shapes, []int{0, 1, 1, 1, 2, 2, 2}, 2.6, 40 * time.Second}, false},
		{"urgent work takes all room", mix{[][2]int{{8, 1}}, []int{0, 0, 0, 1}, 2.6, 40 * time.Second}, true},
		{"one priority", mix{shapes, []int{1}, 2.6, 40 * time.Second}, false},
		{"a rush", mix{shapes, []int{0, 1, 1, 1, 2, 2, 2}, 20, 3 * time.Second}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var total result
			for seed := range uint64(20) {
				synctest.Test(t, func(t *testing.T) {
					total.add(play(t, &test.mix, seed))
				})
			}
			t.Logf("%+v", total)
			total.check(t, test.refuses)
		})
	}
}

// result counts jobs that were in time by policy, and refused ones.
type result struct {
	firstCome, ranked, steppingBack, refusing int
	// accepted counts the refused jobs that were accepted later, wouldCount those that
	// would have counted if they had not been refused.
	refused, accepted, wouldCount, withRoom int
	pairs, passed                           int
	// reads counts those of the store by all entries.
	reads int
}

func (r *result) add(o result) {
	r.firstCome += o.firstCome
	r.ranked += o.ranked
	r.steppingBack += o.steppingBack
	r.refusing += o.refusing
	r.refused += o.refused
	r.accepted += o.accepted
	r.wouldCount += o.wouldCount
	r.withRoom += o.withRoom
	r.pairs += o.pairs
	r.passed += o.passed
	r.reads += o.reads
}

// play plays the day of a seed with each policy.
func play(t *testing.T, m *mix, seed uint64) (r result) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	playWith := func(p policy) (*site, int) {
		s := newSite(ctx, p)
		return s, s.run(ctx, m.day(seed))
	}
	_, r.firstCome = playWith(policy{firstCome: true})
	_, r.ranked = playWith(policy{})
	accepting, steppingBack := playWith(policy{stepBack: true})
	refusing, inTime := playWith(policy{stepBack: true, refuse: true})
	if inTime <= r.firstCome {
		t.Errorf("seed %d: %d jobs in time, %d by first come first served", seed, inTime, r.firstCome)
	}
	r.steppingBack, r.refusing = steppingBack, inTime
	r.refused, r.accepted, r.withRoom, r.reads = len(refusing.refused), refusing.accepted, refusing.withRoom, refusing.reads
	r.wouldCount = accepting.counting(refusing.refused)
	r.pairs, r.passed = returnOrder(refusing.refused)
	return r
}

func (r *result) check(t *testing.T, refuses bool) {
	t.Helper()
	if r.refusing < r.steppingBack || refuses && r.refusing <= max(r.steppingBack, r.ranked) {
		t.Errorf("%d jobs in time with refusals, %d without, %d with the ranks alone", r.refusing, r.steppingBack, r.ranked)
	}
	if refuses && r.refused == 0 || r.accepted < r.refused {
		t.Errorf("%d jobs were refused and %d of them accepted later; refusals wanted: %v", r.refused, r.accepted, refuses)
	}
	if r.withRoom > 0 {
		t.Errorf("%d refusals while room was free", r.withRoom)
	}
	if r.wouldCount*20 > r.refused {
		t.Errorf("%d of %d refused jobs would have counted if they had been accepted, want at most one in 20", r.wouldCount, r.refused)
	}
	if r.passed*10 > r.pairs {
		t.Errorf("%d of %d pairs of refused jobs were accepted in the wrong order, want at most one in 10", r.passed, r.pairs)
	}
}

// counting returns how many of the jobs were complete before they counted for nothing.
func (s *site) counting(jobs []*simJob) (count int) {
	refused := make(map[workflow.ID]bool)
	for _, j := range jobs {
		refused[j.ID] = true
	}
	for _, j := range s.done {
		if refused[j.ID] && j.ended <= j.start+backlog.ExpiryFactor*j.objective() {
			count++
		}
	}
	return count
}

// returnOrder returns how many pairs of alike jobs were first refused at least five seconds
// apart and accepted later, and in how many the one that was refused later passed.
func returnOrder(refused []*simJob) (pairs, passed int) {
	for i, a := range refused {
		for _, b := range refused[i+1:] {
			if a.Priority != b.Priority || a.member*a.tasks != b.member*b.tasks || b.refusedAt-a.refusedAt < minApart || a.start == 0 || b.start == 0 {
				continue
			}
			pairs++
			if b.start < a.start {
				passed++
			}
		}
	}
	return pairs, passed
}
