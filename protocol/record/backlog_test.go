package record_test

import (
	"cmp"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"comfreystream/coordination/backlog"
	"comfreystream/protocol/record"
)

// TestPending guards against figures that are lost in the store, against a record that an
// entry of the version before cannot read, and against one that changes in calm.
func TestPending(t *testing.T) {
	counts := map[string]int{"q": 3, "r": 0}
	waits := []backlog.Wait{
		{Service: "ren/der", Priority: 1, Member: 8, Total: 32, Objective: 4 * time.Second, InTime: 5 * time.Second, Late: 13 * time.Second},
		{Service: "render", Member: 1, Total: 1, Objective: 1500 * time.Millisecond, InTime: 5 * time.Second, Late: 13 * time.Second},
	}
	tests := []struct {
		name    string
		figures backlog.Figures
	}{
		{"calm", backlog.Figures{Pending: counts}},
		{"waits", backlog.Figures{Pending: counts, Waits: waits, At: time.UnixMilli(1700000000123)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := record.EncodePending(test.figures)
			if err != nil {
				t.Fatal(err)
			}
			got, err := record.DecodePending(data)
			slices.SortFunc(got.Waits, func(a, b backlog.Wait) int { return cmp.Compare(a.Service, b.Service) })
			if err != nil || !reflect.DeepEqual(got, test.figures) {
				t.Errorf("%+v (%v), want %+v", got, err, test.figures)
			}
			// What the version before read and wrote.
			var older map[string]int
			if err := cbor.Unmarshal(data, &older); err != nil || older["q"] != 3 || len(test.figures.Waits) == 0 && len(older) != len(counts) {
				t.Errorf("the version before reads %v (%v)", older, err)
			}
			data, _ = cbor.Marshal(counts)
			if got, err := record.DecodePending(data); err != nil || !reflect.DeepEqual(got, backlog.Figures{Pending: counts}) {
				t.Errorf("of a record of the version before %+v (%v)", got, err)
			}
		})
	}
}

// TestPendingMalformed guards against figures of a damaged record, or of a later version,
// that refuse jobs or hide the numbers of jobs.
func TestPendingMalformed(t *testing.T) {
	for _, name := range []string{"\x00later", "\x00late/", "\x00late/1/8/32/render", "\x00late/a/8/32/4000/render", "\x00late/1/-8/32/4000/render", "\x00late/1/0/0/4000/render"} {
		data, _ := cbor.Marshal(map[string]int{name: 13000, "q": 3})
		if got, err := record.DecodePending(data); err != nil || len(got.Waits) > 0 || got.Pending["q"] != 3 || len(got.Pending) != 1 {
			t.Errorf("%q: %+v (%v), want only the number of jobs", name, got, err)
		}
	}
	if got, err := record.DecodePending([]byte{0xff}); err == nil {
		t.Errorf("a record that is no map: %+v, want an error", got)
	}
}
