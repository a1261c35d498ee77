package intake_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/intake"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/policy"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// TestResolveDuringSlowRead sends calls while the store is slow. A call that is sent more
// than 250 ms after another must not be answered by an older version than that one.
func TestResolveDuringSlowRead(t *testing.T) {
	const old = `{"Version":2,"Queues":[{"Host":"h","Prefix":"/old/"}],"Keys":{"k":"o"}}`
	const current = `{"Version":3,"Queues":[{"Host":"h","Prefix":"/new/"}],"Keys":{"k":"o"}}`
	type sent struct {
		at      time.Duration
		path    string
		allowed bool
	}
	tests := []struct {
		name string
		// changedAt is when the newer configuration is written.
		changedAt time.Duration
		calls     []sent
	}{
		{"the later call is for a route that was removed", 0, []sent{{1, "/new/", true}, {250 * time.Millisecond, "/old/", false}}},
		{"they come close together", 0, []sent{{1, "/new/", true}, {10 * time.Millisecond, "/old/", true}}},
		{"another call waits for the same read", 0, []sent{
			{1, "/none/", false}, {150 * time.Millisecond, "/new/", true}, {401 * time.Millisecond, "/old/", false},
		}},
		{"the read under way is older than the configuration", 100 * time.Millisecond, []sent{
			{1, "/none/", false}, {150 * time.Millisecond, "/new/", false}, {401 * time.Millisecond, "/old/", true},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := standin.New().Calls()
				get, slow := calls.Get, time.Duration(0)
				calls.Get = func(ctx context.Context, key string) (keyvalue.Item, bool, keyvalue.Revision, error) {
					item, found, asOf, err := get(ctx, key)
					time.Sleep(slow)
					return item, found, asOf, err
				}
				write := func(text string) {
					if _, err := calls.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{{Key: "config", Value: []byte(text)}}}); err != nil {
						t.Fatal(err)
					}
				}
				decode := func(text []byte) (*workflow.Policy, error) {
					p := &workflow.Policy{}
					return p, json.Unmarshal(text, p)
				}
				i := &intake.Intake{
					Policy: &policy.Watcher{Store: &calls, Key: "config", Decode: decode, Changed: func() {}, Log: zerolog.Nop()},
					Count:  func(state.Reason) {}, Log: zerolog.Nop(),
				}
				write(old)
				if _, err := i.Policy.Refresh(t.Context()); err != nil {
					t.Fatal(err)
				}
				slow = 420 * time.Millisecond
				time.AfterFunc(test.changedAt, func() { write(current) })
				for _, call := range test.calls {
					time.AfterFunc(call.at, func() {
						_, err := i.Resolve(t.Context(), intake.Call{Host: "h", Path: call.path, Key: "k"})
						if allowed := err == nil; allowed != call.allowed {
							t.Errorf("%s, sent at %v: allowed %v, want %v (%v)", call.path, call.at, allowed, call.allowed, err)
						}
					})
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}
