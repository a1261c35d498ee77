package policy_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/policy"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state/workflow"
)

// decode reads a configuration that is written as JSON of workflow.Policy.
func decode(text []byte) (*workflow.Policy, error) {
	p := &workflow.Policy{}
	return p, json.Unmarshal(text, p)
}

func write(t *testing.T, calls keyvalue.Store, value string) {
	t.Helper()
	if _, err := calls.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{{Key: "config", Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// TestNeverReverts writes configurations one after another and checks which is in
// force in a process that reads each, and in one that starts after the last.
func TestNeverReverts(t *testing.T) {
	const withKey, withoutKey = `{"Version":7,"Keys":{"k":"o"}}`, `{"Version":8}`
	tests := []struct {
		name   string
		writes []string
		// running and restarted are the versions in force; 0 means none.
		running, restarted int64
		// keyKnown says whether the restarted process accepts the key.
		keyKnown bool
	}{
		{"a key is withdrawn", []string{withKey, withoutKey}, 8, 8, false},
		{"an older version comes later", []string{withoutKey, withKey}, 8, 7, true},
		{"an unreadable one comes later", []string{withKey, "\x00"}, 7, 0, false},
		{"a deeply nested one comes later", []string{withKey, `{"Version":` + string(make([]byte, 1<<16))}, 7, 0, false},
		{"the same version with other keys", []string{withKey, `{"Version":7}`}, 7, 7, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			calls := standin.New().Calls()
			running := &policy.Watcher{Store: &calls, Key: "config", Decode: decode, Changed: func() {}, Log: zerolog.Nop()}
			for _, value := range test.writes {
				write(t, calls, value)
				if _, err := running.Refresh(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			if p := running.Current(); p.Version != test.running {
				t.Errorf("version %d in force, want %d", p.Version, test.running)
			}
			restarted := &policy.Watcher{Store: &calls, Key: "config", Decode: decode, Changed: func() {}, Log: zerolog.Nop()}
			if restarted.Current() != nil {
				t.Error("a configuration is in force before the first read")
			}
			p, err := restarted.Refresh(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if p == nil {
				p = &workflow.Policy{}
			}
			if _, known := p.Keys["k"]; p.Version != test.restarted || known != test.keyKnown {
				t.Errorf("restarted with version %d, key known %v", p.Version, known)
			}
		})
	}
}

// TestRefreshWithoutStore checks that no configuration is taken for read while the
// store does not answer.
func TestRefreshWithoutStore(t *testing.T) {
	store := standin.New()
	store.Fault = func(string) standin.Fault { return standin.Refused }
	calls := store.Calls()
	w := &policy.Watcher{Store: &calls, Key: "config", Decode: decode, Changed: func() {}, Log: zerolog.Nop()}
	began := time.Now()
	if p, err := w.Refresh(t.Context()); err == nil {
		t.Errorf("configuration %+v after %v", p, time.Since(began))
	}
}

// TestSlowRead sends a request while another waits for a read of the configuration. One
// that is sent later than slack must not be answered by an older version than the one
// that waits.
func TestSlowRead(t *testing.T) {
	const slack = 250 * time.Millisecond
	tests := []struct {
		name string
		// takes is how long the read takes; it fails if fails is set. The second request
		// comes after the first.
		takes time.Duration
		fails bool
		after time.Duration
		// want is the version that answers the second request, within the time.
		want   int64
		within time.Duration
	}{
		{"the store answers", 5 * time.Millisecond, false, time.Millisecond, 2, 0},
		{"the store is slow", 500 * time.Millisecond, false, slack, 3, 250 * time.Millisecond},
		{"the store is slow, the requests come close together", 500 * time.Millisecond, false, 50 * time.Millisecond, 2, 0},
		{"the store does not answer", 500 * time.Millisecond, true, slack, 2, 250 * time.Millisecond},
		{"the read is over", 500 * time.Millisecond, false, 600 * time.Millisecond, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := standin.New().Calls()
				get := calls.Get
				slow := time.Duration(0)
				calls.Get = func(ctx context.Context, key string) (keyvalue.Item, bool, keyvalue.Revision, error) {
					time.Sleep(slow)
					if slow > 0 && test.fails {
						return keyvalue.Item{}, false, 0, context.DeadlineExceeded
					}
					return get(ctx, key)
				}
				w := &policy.Watcher{Store: &calls, Key: "config", Decode: decode, Changed: func() {}, Log: zerolog.Nop()}
				write(t, calls, `{"Version":2}`)
				if _, err := w.Refresh(t.Context()); err != nil {
					t.Fatal(err)
				}
				write(t, calls, `{"Version":3}`)
				slow = test.takes
				first := make(chan struct{})
				go func() {
					defer close(first)
					_, _ = w.Refresh(t.Context())
				}()
				time.Sleep(test.after)
				began := time.Now()
				p := w.Latest(t.Context())
				if took := time.Since(began); p.Version != test.want || took > test.within {
					t.Errorf("answered by version %d after %v, want %d within %v", p.Version, took, test.want, test.within)
				}
				<-first
			})
		})
	}
}
