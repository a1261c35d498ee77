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

// faulty makes calls that meet the fault before they reach the model.
func faulty(model keyvalue.Store, fault func() standin.Fault) *keyvalue.Store {
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
		return state.AmbiguousStep("call", netip.AddrPort{}, state.ConnectionLost, ctx.Err())
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

// TestDetour has an entry write a key while its own way to the store, or that
// of the entry it asks, is at fault.
func TestDetour(t *testing.T) {
	create := keyvalue.Change{
		Conditions: []keyvalue.Condition{{Key: "k"}}, Puts: []keyvalue.Put{{Key: "k", Value: []byte("v")}},
	}
	tests := []struct {
		name                string
		near, around        standin.Fault
		want                string
		firstTook, nextTook time.Duration
		nextAround          int
		// change is what comes of a change once the fault is known.
		change     string
		changeTook time.Duration
	}{
		{"nothing fails", standin.None, standin.None, "written", 0, 0, 0, "written", 0},
		{"store is silent", standin.Silent, standin.None, "written", 500 * time.Millisecond, 0, 1, "written", 0},
		{"store turns this entry away", standin.Refused, standin.None, "written", 0, 0, 1, "written", 0},
		{"store acts and does not answer", standin.Unanswered, standin.None, "exists", 500 * time.Millisecond, 0, 1, "written", 0},
		{"store turns both away", standin.Refused, standin.Refused, "not written", 0, 0, 1, "not written", 0},
		{"both silent", standin.Silent, standin.Silent, "unknown", 3 * time.Second, 3 * time.Second, 1, "unknown", 3 * time.Second},
		{"silent, and the other entry is turned away", standin.Silent, standin.Refused, "unknown", 500 * time.Millisecond, 500 * time.Millisecond, 1, "not written", 0},
		{"turned away, and the other entry does not answer", standin.Refused, standin.Unanswered, "unknown", 3 * time.Second, 3 * time.Second, 1, "unknown", 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				model := standin.New().Calls()
				near, around, detours := tt.near, tt.around, 0
				d := &keyvalue.Detour{
					Near:   faulty(model, func() standin.Fault { return near }),
					Around: faulty(model, func() standin.Fault { return around }),
					Count:  func() { detours++ }, Log: zerolog.Nop(),
				}
				store := d.Calls()
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
				before, began := detours, time.Now()
				ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				_, _, _, _ = store.Get(ctx, "k")
				if took := time.Since(began); took != tt.nextTook || detours-before != tt.nextAround {
					t.Errorf("the next call took %v and %d detours, want %v and %d", took, detours-before, tt.nextTook, tt.nextAround)
				}
				began = time.Now()
				ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				_, err = store.Commit(ctx, keyvalue.Change{Puts: []keyvalue.Put{{Key: "l"}}})
				if took := time.Since(began); outcome(err) != tt.change || took != tt.changeTook {
					t.Errorf("then a change came to %q (%v) after %v, want %q after %v", outcome(err), err, took, tt.change, tt.changeTook)
				}
				near, around = standin.None, standin.None
				if _, _, _, err := d.Direct().Get(t.Context(), "k"); err != nil {
					t.Fatal(err)
				}
				before = detours
				if _, _, _, err := store.Get(t.Context(), "k"); err != nil || detours != before {
					t.Errorf("once the store is back: %v, %d detours", err, detours-before)
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
