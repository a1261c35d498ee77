package planning

import (
	"cmp"
	"slices"

	"comfreystream/state"
)

// UnplaceableGuarantee is a guarantee that cannot be placed on the zone's racks together
// with the others.
type UnplaceableGuarantee struct {
	Organisation string
	// Index is the position in the organisation's list of guarantees.
	Index     int
	Guarantee state.Guarantee
	Reason    Breach
}

// indexedGuarantee is a guarantee with its position in the organisation's list.
type indexedGuarantee struct {
	*guarantee
	index int
}

// CheckGuarantees returns the guarantees that cannot all be placed in their zones under
// their adjacency rules. Placement is greedy, hardest first, so it may report a guarantee
// for which an exhaustive search would find room, but it never misses one that does not
// fit.
func CheckGuarantees(manifest *state.Manifest, workers []state.Worker) (unplaceable []UnplaceableGuarantee) {
	planners := make(map[string]*Planner)
	guaranteesByZone := make(map[string][]indexedGuarantee)
	for _, w := range workers {
		zone := w.Rack.AvailabilityZone
		if planners[zone] == nil {
			planners[zone] = New(zone)
		}
		planners[zone].PutWorker(w)
	}
	for _, organisation := range manifest.Organisations {
		for i, g := range organisation.Guarantees {
			candidate := &guarantee{Guarantee: g, organisation: organisation.Name, pins: make(map[*worker]pin)}
			guaranteesByZone[g.AvailabilityZone] = append(guaranteesByZone[g.AvailabilityZone], indexedGuarantee{candidate, i})
		}
	}
	for zone, guarantees := range guaranteesByZone {
		p := planners[zone]
		if p == nil {
			p = New(zone)
		}
		slices.SortStableFunc(guarantees, func(a, b indexedGuarantee) int { return compareDifficulty(a.guarantee, b.guarantee) })
		for _, g := range guarantees {
			p.repinGuarantee(g.guarantee)
			if g.pinnedUnits < g.Members {
				unplaceable = append(unplaceable, UnplaceableGuarantee{g.organisation, g.index, g.Guarantee, TooLarge})
			}
		}
	}
	slices.SortFunc(unplaceable, func(a, b UnplaceableGuarantee) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Index, b.Index))
	})
	return unplaceable
}

// satisfiesAdjacency reports whether the workers' racks satisfy the adjacency rule;
// adjacent racks may number at most maxRacks.
func satisfiesAdjacency(workers []*worker, adjacency state.Adjacency, maxRacks int) bool {
	if adjacency == state.AnyRack || len(workers) == 0 {
		return true
	}
	var racks []*rack
	for _, w := range workers {
		if !slices.Contains(racks, w.rack) {
			racks = append(racks, w.rack)
		}
	}
	if adjacency == state.SameRack {
		return len(racks) == 1
	}
	slices.SortFunc(racks, func(a, b *rack) int { return cmp.Compare(a.Position, b.Position) })
	for i := 1; i < len(racks); i++ {
		if racks[i].Position-racks[i-1].Position > 1 {
			return false
		}
	}
	return len(racks) <= maxRacks
}
