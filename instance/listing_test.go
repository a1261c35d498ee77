package instance

import (
	"net/netip"
	"reflect"
	"testing"

	"comfreystream/state"
)

func TestMerge(t *testing.T) {
	address := func(n uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), n)
	}
	worker := func(n uint16, leaving bool) state.Worker { return state.Worker{Address: address(n), Leaving: leaving} }
	before := state.InstanceList{
		Workers: []state.Worker{worker(1, false), worker(2, false)},
		Entries: []state.Instance{{Address: address(9)}},
	}
	tests := []struct {
		name    string
		changes state.InstanceChanges
		want    state.InstanceList
	}{
		{"nothing changed", state.InstanceChanges{}, before},
		{"worker is leaving", state.InstanceChanges{Changed: state.InstanceList{Workers: []state.Worker{worker(1, true)}}}, state.InstanceList{
			Workers: []state.Worker{worker(2, false), worker(1, true)}, Entries: before.Entries,
		}},
		{"worker and entry are removed", state.InstanceChanges{Removed: []netip.AddrPort{address(2), address(9)}}, state.InstanceList{
			Workers: []state.Worker{worker(1, false)},
		}},
		{"full list replaces the copy", state.InstanceChanges{Full: true}, state.InstanceList{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := merge(&before, tt.changes); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("list %+v; want %+v", got, tt.want)
			}
		})
	}
}
