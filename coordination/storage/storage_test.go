package storage_test

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/storage"
	"comfreystream/protocol/store"
	standin "comfreystream/standin/store"
	"comfreystream/state"
)

const key = "manifest/head"

type fault struct {
	operation standin.Operation
	// from and to are the first and last call of the operation that fail, counted from 1.
	from, to int
	faults   standin.Faults
}

func inject(s *standin.Store, faults ...fault) {
	var mu sync.Mutex
	var seen [5]int
	s.Inject(func(operation standin.Operation, _ string) standin.Faults {
		mu.Lock()
		defer mu.Unlock()
		seen[operation]++
		for _, f := range faults {
			if f.operation == operation && f.from <= seen[operation] && seen[operation] <= f.to {
				return f.faults
			}
		}
		return standin.Faults{}
	})
}

func TestPutUnderFaults(t *testing.T) {
	lost := standin.Faults{LoseAnswer: true}
	stale := standin.Faults{StaleReads: true}
	tests := []struct {
		name   string
		faults []fault
		// rival is a value that another writer writes right after the writer's first call.
		rival     string
		value     string
		want      string
		conflict  bool
		reason    state.Reason
		ambiguous bool
	}{
		{name: "no fault", want: "mine"},
		{name: "response lost after the write took effect", faults: []fault{{standin.CompareAndSwap, 1, 1, lost}}, want: "mine"},
		{name: "response lost, then overwritten", faults: []fault{{standin.CompareAndSwap, 1, 1, lost}}, rival: "rival", want: "rival"},
		{name: "failed before the write took effect", faults: []fault{{standin.CompareAndSwap, 1, 1, standin.Faults{Down: true}}}, want: "mine"},
		{name: "failed before the write took effect, then a rival writes", faults: []fault{{standin.CompareAndSwap, 1, 1, standin.Faults{Down: true}}}, rival: "rival", want: "rival", conflict: true},
		{name: "write takes effect after the call timed out", faults: []fault{{standin.CompareAndSwap, 1, 1, standin.Faults{Slow: 1500 * time.Millisecond}}}, want: "mine"},
		{name: "stale reads while reading back", faults: []fault{{standin.CompareAndSwap, 1, 1, lost}, {standin.Get, 1, 3, stale}}, want: "mine"},
		{name: "stale reads for too long", faults: []fault{{standin.CompareAndSwap, 1, 1, lost}, {standin.Get, 1, 99, stale}}, want: "mine", reason: state.StoreUnavailable, ambiguous: true},
		{name: "store down after the write took effect", faults: []fault{{standin.CompareAndSwap, 1, 1, lost}, {standin.CompareAndSwap, 2, 99, standin.Faults{Down: true}}}, want: "mine", reason: state.StoreUnavailable, ambiguous: true},
		{name: "refused", faults: []fault{{standin.CompareAndSwap, 1, 1, standin.Faults{Refuse: true}}}, want: "before", reason: state.StoreUnavailable},
		{name: "too large", value: strings.Repeat("x", 1<<20), want: "before", reason: state.BodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := standin.New()
				defer platform.Close()
				calls := store.WithWriteIDs(platform.Operations())
				writer, rival := storage.New(calls, 0), storage.New(store.WithWriteIDs(platform.Operations()), 0)
				ctx := context.Background()
				if _, err := rival.Put(ctx, storage.ForManifest, state.Entry{Key: key}, []byte("before"), 0); err != nil {
					t.Fatal(err)
				}
				platform.SnapshotStaleData()
				previous, err := writer.Get(ctx, storage.ForManifest, key)
				if err != nil {
					t.Fatal(err)
				}
				inject(platform, tt.faults...)
				if tt.rival != "" {
					time.AfterFunc(time.Millisecond, func() {
						overwrite(t, rival, tt.rival)
					})
				}
				value := "mine"
				if tt.value != "" {
					value = tt.value
				}
				written, err := writer.Put(ctx, storage.ForManifest, previous, []byte(value), 0)
				var conflict *state.WriteConflict
				var step *state.StepError
				switch {
				case errors.As(err, &conflict) != tt.conflict:
					t.Errorf("error %v, want a conflict: %v", err, tt.conflict)
				case errors.As(err, &step) && (step.Reason != tt.reason || step.Ambiguous != tt.ambiguous):
					t.Errorf("error %v, ambiguous %v; want %q, %v", err, step.Ambiguous, tt.reason, tt.ambiguous)
				case err == nil && (tt.conflict || tt.reason != "" || string(written.Value) != tt.want):
					t.Errorf("wrote %q without an error", written.Value)
				}
				platform.Inject(nil)
				if now, err := rival.Get(ctx, storage.ForManifest, key); err != nil || string(now.Value) != tt.want {
					t.Errorf("the store holds %q, want %q (%v)", now.Value, tt.want, err)
				}
			})
		})
	}
}

func overwrite(t *testing.T, rival *storage.Storage, value string) {
	_, err := rival.Update(context.Background(), storage.ForManifest, state.Entry{Key: key}, 0, func(state.Entry) ([]byte, bool, error) {
		return []byte(value), true, nil
	})
	if err != nil {
		t.Error(err)
	}
}

func TestReadRetries(t *testing.T) {
	tests := []struct {
		name      string
		errs      []error
		reason    state.Reason
		ambiguous bool
		calls     int
	}{
		{"answered", []error{nil}, "", false, 1},
		{"two responses lost", []error{errors.New("lost"), errors.New("lost"), nil}, "", false, 3},
		{"every response lost", []error{errors.New("lost"), errors.New("lost"), errors.New("lost"), nil}, state.StoreUnavailable, true, 3},
		{"refused", []error{state.NewStepError("get", netip.AddrPort{}, state.QueueFull, nil)}, state.StoreUnavailable, false, 1},
		{"connection refused", []error{state.NewStepError("get", netip.AddrPort{}, state.ConnectionLost, nil)}, state.StoreUnavailable, false, 1},
		{"bad key", []error{state.NewStepError("get", netip.AddrPort{}, state.BadRequest, nil)}, state.BadRequest, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				s := storage.New(storage.Calls{Get: func(context.Context, string) (state.Entry, error) {
					calls++
					return state.Entry{}, tt.errs[calls-1]
				}}, 0)
				_, err := s.Get(context.Background(), storage.ForClaim, key)
				if state.ReasonOf(err, "") != tt.reason || state.IsAmbiguous(err) != tt.ambiguous || calls != tt.calls {
					t.Errorf("Get returned %v after %d calls", err, calls)
				}
			})
		})
	}
}

func TestBreakerAndRateLimit(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		// attempts is the number of calls per second, for a minute.
		attempts int
		mostSent uint64
		result   storage.Result
	}{
		{"store down", standin.Faults{Down: true}, 20, 5 + 60, storage.Stopped},
		{"calls time out", standin.Faults{Slow: time.Minute}, 1, 5 + 60, storage.Stopped},
		{"more calls than the limit", standin.Faults{}, 200, 50 + 60*50, storage.Throttled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := standin.New()
				defer platform.Close()
				platform.Inject(standin.Always(tt.faults))
				s := storage.New(store.WithWriteIDs(platform.Operations()), 50)
				seen := make(map[storage.Result]int)
				s.Count = func(_ storage.Purpose, result storage.Result) { seen[result]++ }
				for start := time.Now(); time.Since(start) < time.Minute; {
					burst, cancel := context.WithTimeout(context.Background(), time.Second)
					for range tt.attempts {
						_, err := s.Get(burst, storage.ForClaim, key)
						if err != nil && state.ReasonOf(err, "") != state.StoreUnavailable {
							t.Fatal(err)
						}
					}
					<-burst.Done()
					cancel()
				}
				if s.Sent(storage.ForClaim) > tt.mostSent || seen[tt.result] == 0 {
					t.Errorf("sent %d, want at most %d; results %v", s.Sent(storage.ForClaim), tt.mostSent, seen)
				}
				platform.Inject(nil)
				s.Backoff(context.Background(), 10)
				s.Backoff(context.Background(), 10)
				if _, err := s.Get(context.Background(), storage.ForClaim, key); err != nil || !s.Available() {
					t.Errorf("Get after the store has recovered: %v", err)
				}
			})
		})
	}
}

func TestLeaseAndWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.New()
		defer platform.Close()
		s := storage.New(store.WithWriteIDs(platform.Operations()), 0)
		ctx := context.Background()
		lease, err := s.Grant(ctx, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, func() {
			if _, err := s.Put(ctx, storage.ForClaim, state.Entry{Key: "claim/a"}, []byte("1"), lease); err != nil {
				t.Error(err)
			}
		})
		start := time.Now()
		entries, latest, err := s.Watch(ctx, "claim/", 0, 5*time.Second)
		if err != nil || len(entries) != 1 || time.Since(start) != time.Second {
			t.Fatalf("%v, %v after %v", entries, err, time.Since(start))
		}
		if entries, _, err = s.Watch(ctx, "claim/", latest, 5*time.Second); err != nil || len(entries) != 0 {
			t.Fatalf("second watch returned %v, %v", entries, err)
		}
		timer := time.NewTimer(50 * time.Second)
		<-timer.C
		if err := s.KeepAlive(ctx, lease); err != nil {
			t.Fatal(err)
		}
		timer.Reset(61 * time.Second)
		<-timer.C
		entry, err := s.Get(ctx, storage.ForClaim, "claim/a")
		if err != nil || entry.Version != 0 {
			t.Errorf("entry after its lease expired: %v, %v", entry, err)
		}
		if err := s.KeepAlive(ctx, lease); state.ReasonOf(err, "") != state.LeaseLapsed {
			t.Errorf("KeepAlive of an expired lease returned %v", err)
		}
	})
}
