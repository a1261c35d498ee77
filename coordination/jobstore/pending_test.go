package jobstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
)

// TestPendingRecord updates the number of waiting jobs each second. It guards against a
// write that is carried out late and replaces a newer number, which then stands until
// the next change (review/10).
func TestPendingRecord(t *testing.T) {
	none, late := standin.None, standin.Late
	tests := []struct {
		name   string
		counts []int
		// faults are those of the writes, in turn.
		faults []standin.Fault
		// calls is how many writes there are at most: one for each change and each failure,
		// and one more after a write that took effect without an answer.
		calls int
	}{
		{"each is answered", []int{1, 2, 2, 2, 3}, nil, 3},
		{"the first is done late", []int{1, 2, 2, 2, 2}, []standin.Fault{late}, 3},
		{"one is done late, and the number is the one before again", []int{0, 1, 0, 0, 0}, []standin.Fault{none, late}, 3},
		{"two in a row are done late", []int{4, 5, 6, 6, 6, 6}, []standin.Fault{none, late, late}, 5},
		{"the answer is lost", []int{1, 2, 3, 3}, []standin.Fault{none, standin.Unanswered}, 4},
		{"the first answer is lost", []int{1, 1, 1}, []standin.Fault{standin.Unanswered}, 3},
		{"one is lost", []int{1, 2, 2}, []standin.Fault{none, standin.Silent}, 3},
		{"one is refused", []int{1, 2, 2}, []standin.Fault{none, standin.Refused}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				calls, writes, fault := store.Calls(), 0, faultsOf(test.faults...)
				store.Fault = func(call string) standin.Fault {
					if call == "Commit" {
						writes++
					}
					return fault(call)
				}
				st := record.NewJobStore(&calls, valueBytes)
				pending := st.NewPendingRecord(keyvalue.Condition{Key: "seat"})
				var last int
				for _, last = range test.counts {
					_ = pending.Update(t.Context(), 0, backlog.Figures{Pending: map[string]int{"q": last}})
					time.Sleep(time.Second)
				}
				time.Sleep(2 * standin.LateBy)
				figures, err := st.Pending(t.Context())
				if err != nil || figures.Pending["q"] != last {
					t.Errorf("%d waiting jobs are stored (%v), want %d", figures.Pending["q"], err, last)
				}
				if writes > test.calls {
					t.Errorf("%d writes, want at most %d", writes, test.calls)
				}
			})
		})
	}
}

// TestPendingRecordEndsWithTerm updates the number after another planner has begun a term.
func TestPendingRecordEndsWithTerm(t *testing.T) {
	store := standin.New()
	calls := store.Calls()
	st := record.NewJobStore(&calls, valueBytes)
	pending := st.NewPendingRecord(keyvalue.Condition{Key: "seat"})
	if _, err := calls.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{{Key: "seat"}}}); err != nil {
		t.Fatal(err)
	}
	err := pending.Update(t.Context(), 0, backlog.Figures{Pending: map[string]int{"q": 1}})
	if !errors.Is(err, scheduling.ErrTermEnded) || store.Has("pending") {
		t.Errorf("error %v, stored %v, want %v", err, store.Has("pending"), scheduling.ErrTermEnded)
	}
}
