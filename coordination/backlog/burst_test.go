package backlog_test

import (
	"context"
	"testing"
	"testing/synctest"

	"comfreystream/coordination/backlog"
	"comfreystream/state/workflow"
)

// TestBurst plays a burst of 2.6 times the load over 20 seeds, with callers that return as
// told. It guards against refusals that serve fewer jobs in time than first come first
// served or than no refusal, that hit a job while room is free or one that would still have
// counted, and that let callers who were refused later pass those who wait.
func TestBurst(t *testing.T) {
	var total struct{ firstCome, ranked, steppingBack, refusing, refused, returned, wouldCount, ordered, passed int }
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			play := func(p policy) (*site, int) {
				s := newSite(ctx, p)
				return s, s.run(ctx, day(seed, 2.6, 0.5))
			}
			_, firstCome := play(policy{firstCome: true})
			_, ranked := play(policy{})
			accepting, steppingBack := play(policy{stepBack: true})
			refusing, inTime := play(policy{stepBack: true, refuse: true})
			if inTime <= firstCome {
				t.Errorf("seed %d: %d jobs in time, %d by first come first served", seed, inTime, firstCome)
			}
			if refusing.withRoom > 0 {
				t.Errorf("seed %d: %d jobs refused while room was free", seed, refusing.withRoom)
			}
			total.firstCome += firstCome
			total.ranked += ranked
			total.steppingBack += steppingBack
			total.refusing += inTime
			total.refused += len(refusing.refused)
			total.returned += refusing.returned
			total.wouldCount += accepting.counting(refusing.refused)
			ordered, passed := returnOrder(refusing.refused)
			total.ordered += ordered
			total.passed += passed
		})
	}
	t.Logf("%+v", total)
	if total.refusing <= total.steppingBack || total.refusing <= total.ranked {
		t.Errorf("%d jobs in time with refusals, %d without, %d with the ranks alone", total.refusing, total.steppingBack, total.ranked)
	}
	if total.refused == 0 || total.returned < total.refused {
		t.Errorf("%d jobs were refused and %d of them accepted later", total.refused, total.returned)
	}
	if total.wouldCount*20 > total.refused {
		t.Errorf("%d of %d refused jobs would have counted if they had been accepted, want at most one in 20", total.wouldCount, total.refused)
	}
	if total.passed*10 > total.ordered {
		t.Errorf("%d of %d pairs of refused jobs were accepted in the wrong order, want at most one in 10", total.passed, total.ordered)
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
