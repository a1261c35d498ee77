package election

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	standin "comfreystream/standin/keyvalue"
)

// testCandidate records when its terms began and ended.
type testCandidate struct {
	*Candidate
	fault             func(call string) standin.Fault
	stop              context.CancelFunc
	done              sync.WaitGroup
	mu                sync.Mutex
	began             []time.Time
	ended             []time.Time
	refuseConnections bool
	// exited is closed when the process exits, which cuts open requests.
	exited chan struct{}
	// late is how long after the time limit of a renewal the process goes on.
	late time.Duration
}

// startCandidates runs candidates on one store, a millisecond apart, each with its
// own cores and faults.
func startCandidates(store *standin.Store, cores ...float64) []*testCandidate {
	began := time.Now()
	all := make([]*testCandidate, len(cores))
	for i := range all {
		c := &testCandidate{exited: make(chan struct{})}
		calls := withFaults(store, c)
		c.Candidate = &Candidate{
			Store: &calls, Identity: []byte{byte('a' + i)}, Cores: cores[i], Now: func() time.Duration { return time.Since(began) },
			AskStatus: func(ctx context.Context, identity []byte, request StatusRequest) (TermStatus, error) {
				planner := all[identity[0]-'a']
				if planner.refusesConnections() {
					return "", ErrRefused
				}
				asking, cancel := context.WithCancel(ctx)
				defer cancel()
				go func() {
					select {
					case <-planner.exited:
						cancel()
					case <-asking.Done():
					}
				}()
				status := planner.Status(asking, request)
				if planner.refusesConnections() {
					return "", errors.New("connection reset")
				}
				return status, nil
			},
			StartTerm: func(keyvalue.Revision) { c.recordTime(&c.began) },
			EndTerm:   func() { c.recordTime(&c.ended) },
			Log:       zerolog.Nop(),
		}
		all[i] = c
	}
	for _, c := range all {
		ctx, cancel := context.WithCancel(context.Background())
		c.stop = cancel
		c.done.Go(func() { c.Run(ctx) })
		time.Sleep(time.Millisecond) // lets the first of equal candidates become the planner
	}
	return all
}

// withFaults returns the store's calls; those that the candidate's fault function
// fails get no answer.
func withFaults(store *standin.Store, c *testCandidate) keyvalue.Store {
	calls := store.Calls()
	own := calls
	check := func(ctx context.Context, call string) error {
		c.mu.Lock()
		fault := c.fault
		c.mu.Unlock()
		if fault == nil || fault(call) == standin.None {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}
	own.KeepAlive = func(ctx context.Context, lease keyvalue.LeaseID) error {
		if err := check(ctx, "KeepAlive"); err != nil {
			c.mu.Lock()
			late := c.late
			c.mu.Unlock()
			time.Sleep(late)
			return err
		}
		return calls.KeepAlive(ctx, lease)
	}
	own.Get = func(ctx context.Context, key string) (keyvalue.Item, bool, keyvalue.Revision, error) {
		if err := check(ctx, "Get"); err != nil {
			return keyvalue.Item{}, false, 0, err
		}
		return calls.Get(ctx, key)
	}
	own.Watch = func(ctx context.Context, prefix string, after keyvalue.Revision, wait time.Duration) ([]keyvalue.Item, keyvalue.Revision, error) {
		if err := check(ctx, "Watch"); err != nil {
			return nil, 0, err
		}
		return calls.Watch(ctx, prefix, after, wait)
	}
	return own
}

func (c *testCandidate) recordTime(list *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, time.Now())
}

func (c *testCandidate) refusesConnections() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refuseConnections
}

func (c *testCandidate) setFault(fault func(string) standin.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}

// endedTerms returns how many terms have ended.
func (c *testCandidate) endedTerms() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ended)
}

func (c *testCandidate) isPlanner() bool {
	_, self := c.Planner()
	c.mu.Lock()
	defer c.mu.Unlock()
	return self && len(c.began) > 0
}

// plans reports whether the candidate certainly holds a term.
func (c *testCandidate) plans() bool {
	c.Candidate.mu.Lock()
	term := c.term
	c.Candidate.mu.Unlock()
	return c.Valid(term)
}

func silent(string) standin.Fault { return standin.Silent }

// failFirst leaves the first call of the kind without an answer.
func failFirst(kind string) func(string) standin.Fault {
	failed := false
	return func(call string) standin.Fault {
		if call != kind || failed {
			return standin.None
		}
		failed = true
		return standin.Silent
	}
}

// TestPlannerWithMostCores checks which candidate plans, and that it came to that
// within the given number of terms, when candidates have different cores.
func TestPlannerWithMostCores(t *testing.T) {
	tests := []struct {
		name  string
		cores []float64
		// fail is the candidate that loses the store after a second, or -1.
		fail     int
		want     float64
		maxTerms int
	}{
		{"small ones start first", []float64{0.2, 0.2, 0.8}, -1, 0.8, 1},
		{"the large one fails", []float64{0.2, 0.2, 0.8}, 2, 0.2, 2},
		{"another large one is left", []float64{0.8, 0.2, 0.8}, 0, 0.8, 2},
		{"all are small", []float64{0.2, 0.2}, -1, 0.2, 1},
		{"slightly more is not worth a change", []float64{0.3, 0.4, 0.4}, -1, 0.4, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := startCandidates(standin.New(), test.cores...)
				time.Sleep(time.Second)
				if test.fail >= 0 {
					all[test.fail].setFault(silent)
				}
				time.Sleep(20 * time.Second)
				terms := 0
				var planners []float64
				for _, c := range all {
					if c.plans() {
						planners = append(planners, c.Cores)
					}
					terms += len(c.began)
				}
				if !slices.Equal(planners, []float64{test.want}) {
					t.Errorf("candidates with %v cores plan, want one with %v", planners, test.want)
				}
				if terms > test.maxTerms {
					t.Errorf("%d terms began, want at most %d", terms, test.maxTerms)
				}
				for _, c := range all {
					c.stop()
					c.done.Wait()
				}
			})
		})
	}
}

// TestSmallPlannerYields has a candidate with more cores arrive while a small one
// plans.
func TestSmallPlannerYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := startCandidates(standin.New(), 0.2, 0.8, 0.2)
		time.Sleep(time.Second)
		all[1].setFault(silent)
		time.Sleep(4 * time.Second)
		if all[1].plans() {
			t.Error("the large candidate plans without the store")
		}
		all[1].setFault(nil)
		time.Sleep(5 * time.Second)
		if !all[1].plans() {
			t.Error("the large candidate does not plan")
		}
		terms := 0
		for _, c := range all {
			terms += len(c.began)
			c.stop()
			c.done.Wait()
		}
		if terms != 3 {
			t.Errorf("%d terms began, want 3", terms)
		}
	})
}

// TestHandOver checks that a new term begins within a bound that depends on how
// the planner failed: it hands over, crashes, loses the store or hangs.
func TestHandOver(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(store *standin.Store, planner *testCandidate, others []*testCandidate)
		bound time.Duration
		// keepsTerm is set if the same planner continues.
		keepsTerm bool
	}{
		{"it resigns", func(_ *standin.Store, c *testCandidate, _ []*testCandidate) { c.Resign() }, 50 * time.Millisecond, false},
		{"its process has exited", func(_ *standin.Store, c *testCandidate, _ []*testCandidate) {
			c.setFault(silent)
			c.mu.Lock()
			c.refuseConnections = true
			close(c.exited)
			c.mu.Unlock()
		}, 500 * time.Millisecond, false},
		{"it loses the connection to the store", func(_ *standin.Store, c *testCandidate, _ []*testCandidate) { c.setFault(silent) }, 1900 * time.Millisecond, false},
		{"it hangs", func(_ *standin.Store, c *testCandidate, _ []*testCandidate) {
			c.setFault(silent)
			c.AskStatus = nil
		}, LeaseTTL + 100*time.Millisecond, false},
		{"it is late itself", func(_ *standin.Store, c *testCandidate, _ []*testCandidate) {
			c.mu.Lock()
			c.late = 400 * time.Millisecond
			c.fault = failFirst("KeepAlive")
			c.mu.Unlock()
		}, 0, true},
		{"the store answers nobody, then the others first", func(_ *standin.Store, c *testCandidate, others []*testCandidate) {
			for _, other := range others {
				other.setFault(silent)
				time.AfterFunc(1100*time.Millisecond, func() { other.setFault(nil) })
			}
			c.setFault(silent)
			time.AfterFunc(1200*time.Millisecond, func() { c.setFault(nil) })
		}, 0, true},
		{"the store drops its history", func(store *standin.Store, _ *testCandidate, _ []*testCandidate) { store.Compact() }, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				all := startCandidates(store, 1, 1, 1)
				time.Sleep(5 * time.Second)
				failedAt := time.Now()
				test.fail(store, all[0], all[1:])
				time.Sleep(5 * time.Second)
				successor := all[0]
				for _, c := range all[1:] {
					if c.isPlanner() {
						successor = c
					}
				}
				if kept := successor == all[0]; kept != test.keepsTerm {
					t.Fatalf("the planner kept its term: %v, want %v", kept, test.keepsTerm)
				}
				if !test.keepsTerm {
					if took := successor.began[0].Sub(failedAt); took > test.bound {
						t.Errorf("the next term began after %v, want at most %v", took, test.bound)
					}
				}
				for _, c := range all {
					c.stop()
					c.done.Wait()
				}
			})
		})
	}
}

// TestTermPauses fails the renewals of the planner and all calls of the other
// candidate. The term must be invalid meanwhile, and continue afterwards unless
// its lease has expired.
func TestTermPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		all := startCandidates(store, 1, 1)
		time.Sleep(time.Second)
		all[0].Candidate.mu.Lock()
		term := all[0].term
		all[0].Candidate.mu.Unlock()
		all[0].setFault(func(call string) standin.Fault {
			if call == "KeepAlive" {
				return standin.Silent
			}
			return standin.None
		})
		all[1].setFault(silent)
		time.Sleep(LeaseTTL - 100*time.Millisecond)
		if all[0].Valid(term) {
			t.Error("the term is valid although its lease may have expired")
		}
		all[0].setFault(nil)
		time.Sleep(2 * renewInterval)
		if !all[0].Valid(term) {
			// The lease has expired in the store, so the term must have ended.
			if all[0].endedTerms() == 0 {
				t.Error("the term neither continues nor has ended")
			}
		}
		for _, c := range all {
			c.stop()
			c.done.Wait()
		}
	})
}
