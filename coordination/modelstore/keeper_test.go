package modelstore_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/modelstore"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state"
)

// TestKeeperLateWrite saves a record twice while the first write is carried out late. It
// guards against a planner that gets what its predecessor had replaced.
func TestKeeperLateWrite(t *testing.T) {
	tests := []struct {
		name string
		// stored is in the store before the term; "" is no record.
		stored string
		// lateBy is when the first write is carried out; its answer is lost.
		lateBy time.Duration
		// saves are the contents of the record in turn; "" deletes it.
		saves []string
		want  string
	}{
		{"at once", "", 0, []string{"a", "b"}, "b"},
		{"before the second write", "", 4 * time.Second, []string{"a", "b"}, "b"},
		{"after the second write", "", 10 * time.Second, []string{"a", "b"}, "b"},
		{"after the second write, in place of an earlier term's", "x", 10 * time.Second, []string{"a", "b"}, "b"},
		{"after the deletion of an earlier term's record", "x", 10 * time.Second, []string{"a", ""}, ""},
		{"a late deletion", "x", 10 * time.Second, []string{"", "b"}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := standin.New()
				calls := backend.Calls()
				st := &modelstore.Store[string]{
					Store: &calls, ValueBytes: func() int { return 0 }, Prefix: "model/", Noun: "model",
					Encode:   func(rows []string) ([]byte, error) { return []byte(strings.Join(rows, " ")), nil },
					Decode:   func(text []byte) ([]string, error) { return strings.Fields(string(text)), nil },
					Validate: func(modelstore.Record[string]) error { return nil },
				}
				if test.stored != "" {
					if _, err := calls.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{{Key: "model/s/0", Value: []byte(test.stored)}}}); err != nil {
						t.Fatal(err)
					}
				}
				commit, first := calls.Commit, true
				calls.Commit = func(ctx context.Context, change keyvalue.Change) (keyvalue.Revision, error) {
					if !first {
						return commit(ctx, change)
					}
					first = false
					time.AfterFunc(test.lateBy, func() { _, _ = commit(context.Background(), change) })
					<-ctx.Done()
					return 0, state.NewAmbiguousStepError("commit", netip.AddrPort{}, state.ConnectionLost, ctx.Err())
				}
				saves, tries := test.saves, 0
				k := &modelstore.Keeper[string]{
					Store: st, Term: keyvalue.Condition{Key: "seat"}, Authorised: func() bool { return true },
					Restore: func(modelstore.Record[string]) error { return nil },
					Due: func(int) []modelstore.Record[string] {
						if tries++; tries == 2 {
							saves = saves[1:] // the content changes while the first write has no answer
						}
						if len(saves) == 0 {
							return nil
						}
						return []modelstore.Record[string]{{Service: "s", Rows: strings.Fields(saves[0])}}
					},
					Saved: func(modelstore.Record[string]) { saves = saves[1:] },
					Count: func(string) {}, Log: zerolog.Nop(),
				}
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				k.Run(ctx)
				item, found, _, err := calls.Get(t.Context(), "model/s/0")
				if err != nil || string(item.Value) != test.want || found != (test.want != "") || len(saves) > 0 {
					t.Errorf("stored %q, %v, %d not saved, want %q", item.Value, err, len(saves), test.want)
				}
			})
		})
	}
}
