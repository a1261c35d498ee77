package speed_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/speed"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
)

// speeds returns the speeds of n workers, at most 2.
func speeds(n int) []speed.WorkerSpeed {
	return []speed.WorkerSpeed{
		{Worker: workerID(1), Estimate: speed.Estimate{Factor: 2, Deviation: 0.1}},
		{Worker: "a worker of a longer name", Estimate: speed.Estimate{Factor: 0.5, Deviation: 0.2}},
	}[:n]
}

// TestLoad checks that records which cannot be read keep no other from being loaded.
func TestLoad(t *testing.T) {
	text, err := record.EncodeSpeeds(speeds(2))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, key string
		value     []byte
		readable  bool
	}{
		{"usual", "speed/render/7", text, true},
		{"service with a slash", "speed/a/b/7", text, true},
		{"no service", "speed/7", text, false},
		{"empty service", "speed//7", text, false},
		{"no number", "speed/render/", text, false},
		{"number in another form", "speed/render/07", text, false},
		{"negative number", "speed/render/-1", text, false},
		{"large number", "speed/render/123456789", text, false},
		{"no value", "speed/render/7", nil, false},
		{"cut off", "speed/render/7", text[:len(text)-1], false},
		{"other text", "speed/render/7", []byte("{}"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			calls := standin.New().Calls()
			if _, err := calls.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{
				{Key: test.key, Value: test.value}, {Key: "speed/render/1", Value: text}, {Key: "run/speed/1", Value: text},
			}}); err != nil {
				t.Fatal(err)
			}
			records, unreadable, err := record.NewSpeedStore(&calls, func() int { return 0 }).Load(t.Context())
			if err != nil || len(unreadable) > 0 == test.readable || len(records)+len(unreadable) != 2 {
				t.Errorf("records %+v, unreadable %v, error %v; want it to be readable: %v", records, unreadable, err, test.readable)
			}
		})
	}
}

// keeperRun is a keeper with due records in place of a model.
type keeperRun struct {
	backend  *standin.Store
	restored []speed.StoredRecord
	due      []speed.StoredRecord
	calls    []time.Duration // when Due was called
	saved    []time.Duration
	began    time.Time
}

func (r *keeperRun) keeper(t *testing.T, valueBytes int) *speed.Keeper {
	calls := r.backend.Calls()
	revision, err := calls.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{{Key: "seat"}}})
	if err != nil {
		t.Fatal(err)
	}
	r.began = time.Now()
	return &speed.Keeper{
		Store: record.NewSpeedStore(&calls, func() int { return valueBytes }),
		Term:  keyvalue.Condition{Key: "seat", Revision: revision}, Authorised: func() bool { return true },
		Restore: func(s speed.StoredRecord) error {
			r.restored = append(r.restored, s)
			return nil
		},
		Due: func(limit int) []speed.StoredRecord {
			r.calls = append(r.calls, time.Since(r.began))
			return slices.Clone(r.due[:min(limit, len(r.due))])
		},
		Saved: func(speed.StoredRecord) {
			r.due, r.saved = r.due[1:], append(r.saved, time.Since(r.began))
		},
		Count: func(string) {}, Log: zerolog.Nop(),
	}
}

// TestKeeper checks that the speeds of workers reach the next planner, and how often the
// store is called for them while it works and while it does not.
func TestKeeper(t *testing.T) {
	due := []speed.StoredRecord{
		{Service: "a", Record: speed.Record{Number: 0, Workers: speeds(2)}},
		{Service: "a", Record: speed.Record{Number: 1, Workers: speeds(1)}},
		{Service: "a", Record: speed.Record{Number: 0}}, // deletes the first
	}
	second := time.Second
	tests := []struct {
		name       string
		fault      func(call string, since time.Duration) standin.Fault
		valueBytes int
		newPlanner bool
		saved      []time.Duration
		stored     int
	}{
		{"the store works", nil, 0, false, []time.Duration{second, 2 * second, 3 * second}, 1},
		{"it cannot be read for 7 s", func(call string, since time.Duration) standin.Fault {
			if call == "List" && since < 7*second {
				return standin.Refused
			}
			return standin.None
		}, 0, false, []time.Duration{11 * second, 12 * second, 13 * second}, 1},
		{"it does not answer at first", func(call string, since time.Duration) standin.Fault {
			if call == "Commit" && since < 2*second {
				return standin.Silent
			}
			return standin.None
		}, 0, false, []time.Duration{7 * second, 8 * second, 9 * second}, 1},
		{"records over the limit", nil, 20, false, []time.Duration{second, 6 * second, 7 * second}, 1},
		{"another planner began", nil, 0, true, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := keeperRun{backend: standin.New(), due: slices.Clone(due)}
				k := r.keeper(t, test.valueBytes)
				if test.fault != nil {
					r.backend.Fault = func(call string) standin.Fault { return test.fault(call, time.Since(r.began)) }
				}
				if test.newPlanner {
					k.Term.Revision--
				}
				ctx, cancel := context.WithTimeout(t.Context(), 15*second)
				defer cancel()
				k.Run(ctx)
				if !slices.Equal(r.saved, test.saved) {
					t.Errorf("saved after %v, want %v", r.saved, test.saved)
				}
				if test.newPlanner && time.Since(r.began) > 2*second {
					t.Errorf("it went on for %v after the end of the term", time.Since(r.began))
				}
				r.backend.Fault = nil
				records, unreadable, err := k.Store.Load(t.Context())
				if err != nil || len(unreadable) > 0 || len(records) != test.stored {
					t.Errorf("stored %+v, unreadable %v, error %v, want %d records", records, unreadable, err, test.stored)
				}
			})
		})
	}
}

// TestKeeperRestores checks that a new planner gets what is stored before it saves.
func TestKeeperRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := keeperRun{backend: standin.New()}
		k := r.keeper(t, 0)
		want := speed.StoredRecord{Service: "a", Record: speed.Record{Number: 3, Workers: speeds(2)}}
		if err := k.Store.Save(t.Context(), &keyvalue.TermWriter{Store: k.Store.Store, Term: k.Term}, want); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		k.Run(ctx)
		if len(r.restored) != 1 || r.restored[0].Service != "a" || r.restored[0].Number != 3 || len(r.restored[0].Workers) != 2 || len(r.calls) != 0 {
			t.Errorf("restored %+v, and %d calls of Due in 0.5 s", r.restored, len(r.calls))
		}
		long := speed.StoredRecord{Service: strings.Repeat("s", 200), Record: want.Record}
		if err := k.Store.Save(t.Context(), &keyvalue.TermWriter{Store: k.Store.Store, Term: k.Term}, long); !keyvalue.IsRefused(err) {
			t.Errorf("a key that is too long: %v, want a refusal", err)
		}
	})
}
