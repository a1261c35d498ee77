package instancelist

import (
	"net/netip"
	"slices"

	"comfreystream/state"
)

// changesBetween returns the changes that turn one list into the other.
func changesBetween(from, to state.InstanceList) (changes state.InstanceChanges) {
	kept := make(map[netip.AddrPort]bool)
	for _, w := range to.Workers {
		kept[w.Address] = true
		if !slices.Contains(from.Workers, w) {
			changes.Changed.Workers = append(changes.Changed.Workers, w)
		}
	}
	for _, e := range to.Entries {
		kept[e.Address] = true
		if !slices.Contains(from.Entries, e) {
			changes.Changed.Entries = append(changes.Changed.Entries, e)
		}
	}
	for _, w := range from.Workers {
		if !kept[w.Address] {
			changes.Removed = append(changes.Removed, w.Address)
		}
	}
	for _, e := range from.Entries {
		if !kept[e.Address] {
			changes.Removed = append(changes.Removed, e.Address)
		}
	}
	return changes
}
