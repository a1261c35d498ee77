package jobstore_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/keyvalue"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state/workflow"
)

// TestTombstones deletes the cancellations of jobs that were never stored once no write of
// these can be under way any more.
func TestTombstones(t *testing.T) {
	const age = 3 * time.Minute
	tests := []struct {
		name string
		// cancelled is the number of jobs without a record, stored of those with one.
		cancelled, stored int
		// term is the planner's.
		term keyvalue.Revision
		// after is when they are to be deleted.
		after time.Duration
		left  int
	}{
		{"none", 0, 0, 0, 2 * age, 0},
		{"old", 1, 0, 0, 2 * age, 0},
		{"recent", 3, 0, 0, age / 2, 3},
		{"many", 40, 0, 0, 2 * age, 0},
		{"some jobs have a record that the planner could not read", 20, 5, 0, 2 * age, 5},
		{"planner of another term", 3, 0, 1, 2 * age, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				calls := store.Calls()
				st := record.NewJobStore(&calls, valueBytes)
				var tombstones jobstore.Tombstones
				for n := range test.cancelled {
					id := workflow.ID(fmt.Sprintf("%016x", n))
					if n < test.stored {
						if _, err := st.Accept(t.Context(), &workflow.Job{ID: id, Steps: []workflow.Step{{Tasks: 1}}}); err != nil {
							t.Fatal(err)
						}
					}
					if _, err := st.Cancel(t.Context(), id); err != nil {
						t.Fatal(err)
					}
					tombstones.Add(id, keyvalue.Revision(n+1), time.Now())
					tombstones.Add(id, keyvalue.Revision(n+1), time.Now().Add(time.Hour)) // a later listing has it again
				}
				time.Sleep(test.after)
				due := tombstones.Due(time.Now().Add(-age))
				done, err := st.DeleteTombstones(t.Context(), keyvalue.Condition{Key: "seat", Revision: test.term}, due)
				tombstones.Remove(done)
				if (err != nil) != (test.term != 0 && len(due) > 0) {
					t.Errorf("error %v", err)
				}
				items, _, err := calls.List(t.Context(), "in/")
				if err != nil {
					t.Fatal(err)
				}
				left := 0
				for _, item := range items {
					if id, isCancel := strings.CutSuffix(item.Key, "/cancel"); isCancel {
						left++
						if test.stored > 0 && !store.Has(id+"/job") {
							t.Errorf("%s is left", item.Key)
						}
					}
				}
				if left != test.left {
					t.Errorf("%d cancellations are left, want %d", left, test.left)
				}
				if again := tombstones.Due(time.Now().Add(time.Hour)); err == nil && test.term == 0 && test.after > age && len(again) > 0 {
					t.Errorf("%d are still to be deleted", len(again))
				}
			})
		})
	}
}
