package keyvalue_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state"
)

// TestRelays checks which entry is tried next. It guards against an entry that goes on asking
// a planner which is cut off from the store too, and never learns of the next one.
func TestRelays(t *testing.T) {
	planner, first, second := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")
	unreachable := state.NewStepError("reach the store", planner, state.StoreUnavailable, nil)
	silent := state.NewAmbiguousStepError("reach the store", planner, state.ConnectionLost, nil)
	tests := []struct {
		name    string
		outcome error
		after   time.Duration
		tryNext bool
		want    []netip.AddrPort
	}{
		{"answered", nil, 0, false, []netip.AddrPort{planner, first, second}},
		{"answered with a conflict", &keyvalue.ConflictError{}, 0, false, []netip.AddrPort{planner, first, second}},
		{"does not reach the store", unreachable, 0, true, []netip.AddrPort{first, second, planner}},
		{"may have reached the store", silent, 0, false, []netip.AddrPort{first, second, planner}},
		{"did not reach the store a while ago", unreachable, 2 * time.Second, true, []netip.AddrPort{planner, first, second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			r := &keyvalue.Relays{
				Planner: func() (netip.AddrPort, error) { return planner, nil },
				Others:  func() []netip.AddrPort { return []netip.AddrPort{first, planner, second} },
				Now:     func() time.Time { return now },
			}
			if got := r.Record(planner, test.outcome); got != test.tryNext {
				t.Errorf("try the next one: %v, want %v", got, test.tryNext)
			}
			now = now.Add(test.after)
			if got := r.Candidates(); !slices.Equal(got, test.want) {
				t.Errorf("candidates %v, want %v", got, test.want)
			}
		})
	}
	r := &keyvalue.Relays{
		Planner: func() (netip.AddrPort, error) { return netip.AddrPort{}, errors.New("none") },
		Others:  func() []netip.AddrPort { return nil }, Now: time.Now,
	}
	if got := r.Candidates(); len(got) != 0 {
		t.Errorf("candidates %v without any entry", got)
	}
}
