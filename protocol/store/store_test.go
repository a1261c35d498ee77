package store_test

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/storage"
	"comfreystream/protocol/store"
	standin "comfreystream/standin/store"
	"comfreystream/state"
	"comfreystream/transport"
)

// TestCalls checks the promises of storage.Calls on the stand-in store, in memory
// and over TCP.
func TestCalls(t *testing.T) {
	ctx := context.Background()
	write := func(key string, old state.Version, value []byte) state.Write {
		return state.Write{Key: key, Old: old, Value: value, Writes: []state.WriteID{"w"}}
	}
	must := func(t *testing.T, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		name   string
		faults standin.Faults
		check  func(t *testing.T, calls storage.Calls)
	}{
		{"a missing key has version 0", standin.Faults{}, func(t *testing.T, calls storage.Calls) {
			entry, err := calls.Get(ctx, "a")
			must(t, err)
			if entry.Version != 0 || entry.Value != nil {
				t.Error(entry)
			}
		}},
		{"a value is returned with its write IDs", standin.Faults{}, func(t *testing.T, calls storage.Calls) {
			version, err := calls.CompareAndSwap(ctx, write("a", 0, []byte{}))
			must(t, err)
			entry, err := calls.Get(ctx, "a")
			must(t, err)
			if entry.Version != version || entry.Value == nil || len(entry.Writes) != 1 || entry.Writes[0] != "w" {
				t.Error(entry, version)
			}
		}},
		{"a write to an old version conflicts with the current one", standin.Faults{}, func(t *testing.T, calls storage.Calls) {
			version, err := calls.CompareAndSwap(ctx, write("a", 0, []byte("1")))
			must(t, err)
			_, err = calls.CompareAndSwap(ctx, write("a", 0, []byte("2")))
			var conflict *state.WriteConflict
			if !errors.As(err, &conflict) || conflict.Current != version {
				t.Error(err)
			}
		}},
		{"a watch returns a deleted key", standin.Faults{}, func(t *testing.T, calls storage.Calls) {
			version, err := calls.CompareAndSwap(ctx, write("a/1", 0, []byte("1")))
			must(t, err)
			_, err = calls.CompareAndSwap(ctx, write("a/1", version, nil))
			must(t, err)
			entries, latest, err := calls.Watch(ctx, "a/", version, 0)
			must(t, err)
			if len(entries) != 1 || entries[0].Value != nil || latest <= version {
				t.Error(entries, latest)
			}
		}},
		{"a watch returns on a write below its prefix", standin.Faults{}, func(t *testing.T, calls storage.Calls) {
			watched := make(chan int, 1)
			go func() {
				entries, _, _ := calls.Watch(ctx, "a/", 0, 5*time.Second)
				watched <- len(entries)
			}()
			_, err := calls.CompareAndSwap(ctx, write("b/1", 0, []byte("1")))
			must(t, err)
			_, err = calls.CompareAndSwap(ctx, write("a/1", 0, []byte("1")))
			must(t, err)
			if got := <-watched; got != 1 {
				t.Errorf("%d entries, want 1", got)
			}
		}},
		{"a watch without a write returns after its wait", standin.Faults{}, func(t *testing.T, calls storage.Calls) {
			entries, _, err := calls.Watch(ctx, "a/", 0, time.Millisecond)
			must(t, err)
			if len(entries) != 0 {
				t.Error(entries)
			}
		}},
		{"a value above the size limit is refused", standin.Faults{}, func(t *testing.T, calls storage.Calls) {
			_, err := calls.CompareAndSwap(ctx, write("a", 0, bytes.Repeat([]byte("x"), 1<<20)))
			if state.ReasonOf(err, "") != state.BodyTooLarge || state.IsAmbiguous(err) {
				t.Error(err)
			}
		}},
		{"a value just below the size limit is stored", standin.Faults{}, func(t *testing.T, calls storage.Calls) {
			value := bytes.Repeat([]byte("x"), 1<<20-100)
			_, err := calls.CompareAndSwap(ctx, write("a", 0, value))
			must(t, err)
			entry, err := calls.Get(ctx, "a")
			must(t, err)
			if !bytes.Equal(entry.Value, value) {
				t.Error("the returned value differs from the written one")
			}
		}},
		{"a write under an unknown lease is refused", standin.Faults{}, func(t *testing.T, calls storage.Calls) {
			w := write("a", 0, []byte("1"))
			w.Lease = 99
			if _, err := calls.CompareAndSwap(ctx, w); state.ReasonOf(err, "") != state.LeaseLapsed || state.IsAmbiguous(err) {
				t.Error(err)
			}
			lease, err := calls.Grant(ctx, time.Minute)
			must(t, err)
			must(t, calls.KeepAlive(ctx, lease))
		}},
		{"a refusal is not ambiguous", standin.Faults{Refuse: true}, func(t *testing.T, calls storage.Calls) {
			_, err := calls.CompareAndSwap(ctx, write("a", 0, []byte("1")))
			if err == nil || state.IsAmbiguous(err) {
				t.Error(err)
			}
		}},
		{"a lost response is ambiguous", standin.Faults{LoseAnswer: true}, func(t *testing.T, calls storage.Calls) {
			if _, err := calls.CompareAndSwap(ctx, write("a", 0, []byte("1"))); !state.IsAmbiguous(err) {
				t.Error(err)
			}
		}},
	}
	for _, tt := range tests {
		for _, remote := range []bool{false, true} {
			name := tt.name + ", in memory"
			if remote {
				name = tt.name + ", over TCP"
			}
			t.Run(name, func(t *testing.T) {
				served, err := standin.Serve(netip.MustParseAddrPort("127.0.0.1:0"))
				must(t, err)
				defer func() { must(t, served.Close()) }()
				connections := transport.NewClient(transport.ClientLimits{})
				defer func() { must(t, connections.Close()) }()
				served.Inject(standin.Always(tt.faults))
				calls := store.WithWriteIDs(served.Operations())
				if remote {
					calls = (&store.Client{Connections: connections, Peer: served.Address()}).Calls()
				}
				tt.check(t, calls)
			})
		}
	}
}
