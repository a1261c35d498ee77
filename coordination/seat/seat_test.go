package seat

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	standin "comfreystream/standin/keyvalue"
)

// contender is a candidate whose terms are noted.
type contender struct {
	*Candidate
	fault  func(call string) standin.Fault
	stop   context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	began  []time.Time
	ended  []time.Time
	refuse bool
}

// contend runs candidates over one store, each with faults of its own.
func contend(store *standin.Store, count int) []*contender {
	began := time.Now()
	all := make([]*contender, count)
	for i := range all {
		c := &contender{}
		calls := faulty(store, c)
		c.Candidate = &Candidate{
			Store: &calls, Identity: []byte{byte('a' + i)}, Now: func() time.Duration { return time.Since(began) },
			Ask: func(ctx context.Context, identity []byte, term keyvalue.Revision, wait time.Duration) (Standing, error) {
				planner := all[identity[0]-'a']
				if planner.refuses() {
					return "", ErrRefused
				}
				return planner.Stand(ctx, term, wait), nil
			},
			Began: func(keyvalue.Revision) { c.note(&c.began) },
			Over:  func() { c.note(&c.ended) },
			Log:   zerolog.Nop(),
		}
		all[i] = c
	}
	for _, c := range all {
		ctx, cancel := context.WithCancel(context.Background())
		c.stop = cancel
		c.done.Go(func() { c.Run(ctx) })
		time.Sleep(time.Millisecond) // the first becomes the planner
	}
	return all
}

// faulty puts the contender's faults before the store's calls.
func faulty(store *standin.Store, c *contender) keyvalue.Store {
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

func (c *contender) note(list *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, time.Now())
}

func (c *contender) refuses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refuse
}

func (c *contender) breakCalls(fault func(string) standin.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}

// terms returns how many terms have ended.
func (c *contender) terms() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ended)
}

func (c *contender) leads() bool {
	_, self := c.Planner()
	c.mu.Lock()
	defer c.mu.Unlock()
	return self && len(c.began) > 0
}

func silent(string) standin.Fault { return standin.Silent }

// TestHandOver bounds the time without a planner by what happened to it.
func TestHandOver(t *testing.T) {
	tests := []struct {
		name  string
		harm  func(store *standin.Store, planner *contender)
		bound time.Duration
		// stays is set if the same planner goes on.
		stays bool
	}{
		{"it resigns", func(_ *standin.Store, c *contender) { c.Resign() }, 50 * time.Millisecond, false},
		{"its process is gone", func(_ *standin.Store, c *contender) {
			c.breakCalls(silent)
			c.mu.Lock()
			c.refuse = true
			c.mu.Unlock()
		}, 1600 * time.Millisecond, false},
		{"it is cut off from the store", func(_ *standin.Store, c *contender) { c.breakCalls(silent) }, 1900 * time.Millisecond, false},
		{"it stands still", func(_ *standin.Store, c *contender) {
			c.breakCalls(silent)
			c.Ask = nil
		}, LeaseTTL + 100*time.Millisecond, false},
		{"the store drops its history", func(store *standin.Store, _ *contender) { store.Forget() }, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				all := contend(store, 3)
				time.Sleep(5 * time.Second)
				harmed := time.Now()
				test.harm(store, all[0])
				time.Sleep(5 * time.Second)
				successor := all[0]
				for _, c := range all[1:] {
					if c.leads() {
						successor = c
					}
				}
				if stayed := successor == all[0]; stayed != test.stays {
					t.Fatalf("the planner stayed: %v, want %v", stayed, test.stays)
				}
				if !test.stays {
					if took := successor.began[0].Sub(harmed); took > test.bound {
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

// TestTermPauses has the store away for everybody: the term is not valid
// meanwhile, and goes on if its lease was kept.
func TestTermPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		all := contend(store, 2)
		time.Sleep(time.Second)
		all[0].Candidate.mu.Lock()
		term := all[0].term
		all[0].Candidate.mu.Unlock()
		all[0].breakCalls(func(call string) standin.Fault {
			if call == "KeepAlive" {
				return standin.Silent
			}
			return standin.None
		})
		all[1].breakCalls(silent)
		time.Sleep(LeaseTTL - 100*time.Millisecond)
		if all[0].Valid(term) {
			t.Error("the term is valid although its lease may have ended")
		}
		all[0].breakCalls(nil)
		time.Sleep(2 * renewInterval)
		if !all[0].Valid(term) {
			// The lease ran out in the store: then the term must be over.
			if all[0].terms() == 0 {
				t.Error("the term neither goes on nor has ended")
			}
		}
		for _, c := range all {
			c.stop()
			c.done.Wait()
		}
	})
}
