package keyvalue_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state"
)

// withFault returns calls to the model that fail as the fault says.
func withFault(model keyvalue.Store, fault func() standin.Fault) *keyvalue.Store {
	fail := func(ctx context.Context, act func() error) error {
		switch fault() {
		case standin.Refused:
			return state.NewStepError("call", netip.AddrPort{}, state.StoreUnavailable, nil)
		case standin.Silent:
		case standin.Unanswered:
			_ = act()
		default:
			return act()
		}
		<-ctx.Done()
		return state.NewAmbiguousStepError("call", netip.AddrPort{}, state.ConnectionLost, ctx.Err())
	}
	return &keyvalue.Store{
		Get: func(ctx context.Context, key string) (item keyvalue.Item, found bool, asOf keyvalue.Revision, err error) {
			err = fail(ctx, func() (err error) { item, found, asOf, err = model.Get(ctx, key); return err })
			return item, found, asOf, err
		},
		List: model.List, Watch: model.Watch,
		Commit: func(ctx context.Context, change keyvalue.Change) (revision keyvalue.Revision, err error) {
			err = fail(ctx, func() (err error) { revision, err = model.Commit(ctx, change); return err })
			return revision, err
		},
		Grant: model.Grant, KeepAlive: model.KeepAlive, Revoke: model.Revoke,
	}
}

// TestFailover checks how long calls take, which of them are relayed and what is
// known of their outcome while the direct path to the store, the relay or both fail.
func TestFailover(t *testing.T) {
	create := keyvalue.Change{
		Conditions: []keyvalue.Condition{{Key: "k"}}, Puts: []keyvalue.Put{{Key: "k", Value: []byte("v")}},
	}
	tests := []struct {
		name                string
		direct, relay       standin.Fault
		want                string
		firstTook, nextTook time.Duration
		nextRelayed         int
		// change is the outcome of a change once the fault has been noticed.
		change     string
		changeTook time.Duration
	}{
		{"nothing fails", standin.None, standin.None, "written", 0, 0, 0, "written", 0},
		{"store does not answer", standin.Silent, standin.None, "written", 500 * time.Millisecond, 0, 1, "written", 0},
		{"store refuses this entry", standin.Refused, standin.None, "written", 0, 0, 1, "written", 0},
		{"store applies the change without an answer", standin.Unanswered, standin.None, "exists", 500 * time.Millisecond, 0, 1, "written", 0},
		{"store refuses both entries", standin.Refused, standin.Refused, "not written", 0, 0, 1, "not written", 0},
		{"store answers neither entry", standin.Silent, standin.Silent, "unknown", 3 * time.Second, 500 * time.Millisecond, 0, "not written", 0},
		{"store does not answer and refuses the other entry", standin.Silent, standin.Refused, "unknown", 500 * time.Millisecond, 500 * time.Millisecond, 1, "not written", 0},
		{"store refuses this entry, relayed change is not answered", standin.Refused, standin.Unanswered, "unknown", 3 * time.Second, 0, 0, "not written", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				model := standin.New().Calls()
				direct, relay, relayed := tt.direct, tt.relay, 0
				f := &keyvalue.Failover{
					Direct:       withFault(model, func() standin.Fault { return direct }),
					Relay:        withFault(model, func() standin.Fault { return relay }),
					CountRelayed: func() { relayed++ }, Log: zerolog.Nop(),
				}
				store := f.Store()
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				began := time.Now()
				_, err := store.Commit(ctx, create)
				if got := outcome(err); got != tt.want {
					t.Errorf("outcome %q (%v), want %q", got, err, tt.want)
				}
				if took := time.Since(began); took != tt.firstTook {
					t.Errorf("the first call took %v, want %v", took, tt.firstTook)
				}
				before, began := relayed, time.Now()
				ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				_, _, _, _ = store.Get(ctx, "k")
				if took := time.Since(began); took != tt.nextTook || relayed-before != tt.nextRelayed {
					t.Errorf("the next call took %v with %d relayed calls, want %v with %d", took, relayed-before, tt.nextTook, tt.nextRelayed)
				}
				began = time.Now()
				ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				_, err = store.Commit(ctx, keyvalue.Change{Puts: []keyvalue.Put{{Key: "l"}}})
				if took := time.Since(began); outcome(err) != tt.change || took != tt.changeTook {
					t.Errorf("the change after that had outcome %q (%v) after %v, want %q after %v", outcome(err), err, took, tt.change, tt.changeTook)
				}
				relay = standin.None
				if direct != standin.None {
					if _, _, err := store.List(t.Context(), "k"); err != nil {
						t.Errorf("after the relay has recovered: %v", err)
					}
					if _, err = store.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{{Key: "m"}}}); outcome(err) != "written" {
						t.Errorf("a change after the relay has recovered: %v", err)
					}
				}
				direct = standin.None
				if _, _, _, err := f.DirectStore().Get(t.Context(), "k"); err != nil {
					t.Fatal(err)
				}
				before = relayed
				if _, _, _, err := store.Get(t.Context(), "k"); err != nil || relayed != before {
					t.Errorf("after the store has recovered: error %v, %d relayed calls", err, relayed-before)
				}
			})
		})
	}
}

func outcome(err error) string {
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		return "written"
	case errors.As(err, &conflict):
		return "exists"
	case state.IsAmbiguous(err):
		return "unknown"
	}
	return "not written"
}

// TestRefusedChange makes changes over the store's limits. The store has answered, so
// that other calls must not be relayed because of that.
func TestRefusedChange(t *testing.T) {
	tests := []struct {
		name   string
		change keyvalue.Change
	}{
		{"a value too large", keyvalue.Change{Puts: []keyvalue.Put{{Key: "k", Value: []byte("12345")}}}},
		{"too many entries", keyvalue.Change{Deletes: []string{"k", "l", "m"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := standin.New()
			backend.ValueBytes, backend.ChangeEntries = 4, 2
			direct, relayed := backend.Calls(), 0
			f := &keyvalue.Failover{Direct: &direct, Relay: &direct, CountRelayed: func() { relayed++ }, Log: zerolog.Nop()}
			if _, err := f.Store().Commit(t.Context(), test.change); !keyvalue.IsRefused(err) || state.IsAmbiguous(err) {
				t.Errorf("the change: %v", err)
			}
			if _, _, _, err := f.Store().Get(t.Context(), "k"); err != nil || relayed != 0 {
				t.Errorf("a read after it: %v, %d calls were relayed", err, relayed)
			}
		})
	}
}
