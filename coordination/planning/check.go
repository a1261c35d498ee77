package planning

import (
	"cmp"
	"slices"

	"comfreystream/state"
)

// Misfit names a guarantee that the zone's racks cannot hold beside those that fit.
type Misfit struct {
	Organisation string
	// Index is the guarantee's place in the organisation's list.
	Index     int
	Guarantee state.Guarantee
	Reason    Breach
}

type numberedGuarantee struct {
	*guarantee
	index int
}

// CheckGuarantees returns the guarantees that do not fit into their zones
// together, with their adjacency. It packs the hardest first, so it may name
// one for which a cleverer packing exists; it never misses one.
func CheckGuarantees(manifest *state.Manifest, workers []state.Worker) (misfits []Misfit) {
	planners := make(map[string]*Planner)
	wanted := make(map[string][]numberedGuarantee)
	for _, w := range workers {
		zone := w.Rack.AvailabilityZone
		if planners[zone] == nil {
			planners[zone] = New(zone)
		}
		planners[zone].PutWorker(w)
	}
	for _, organisation := range manifest.Organisations {
		for i, g := range organisation.Guarantees {
			numbered := &guarantee{Guarantee: g, organisation: organisation.Name, pins: make(map[*worker]pin)}
			wanted[g.AvailabilityZone] = append(wanted[g.AvailabilityZone], numberedGuarantee{numbered, i})
		}
	}
	for zone, guarantees := range wanted {
		p := planners[zone]
		if p == nil {
			p = New(zone)
		}
		slices.SortStableFunc(guarantees, func(a, b numberedGuarantee) int { return harderFirst(a.guarantee, b.guarantee) })
		for _, g := range guarantees {
			p.restore(g.guarantee)
			if g.pinned < g.Members {
				misfits = append(misfits, Misfit{g.organisation, g.index, g.Guarantee, TooLarge})
			}
		}
	}
	slices.SortFunc(misfits, func(a, b Misfit) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Index, b.Index))
	})
	return misfits
}

// adjacent reports whether the workers' racks keep the adjacency.
func adjacent(workers []*worker, adjacency state.Adjacency, span int) bool {
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
	return len(racks) <= span
}
