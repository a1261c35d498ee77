package planning

import (
	"cmp"
	"slices"

	"comfreystream/state"
)

// layoutRequest describes the gang that a layout must place.
type layoutRequest struct {
	members   int
	adjacency state.Adjacency
	// maxRacks limits the racks of a gang with AdjacentRacks.
	maxRacks int
	// fillFragments lets a gang with AnyRack use the racks with the least room first.
	fillFragments bool
	// immovable is set for jobs that cannot be moved by a checkpoint. They are packed onto
	// racks that already have such jobs, so that other racks can be cleared.
	immovable bool
}

// assignment assigns a number of members to one worker.
type assignment struct {
	worker  *worker
	members int
}

// findLayout returns the tightest assignment of the whole gang, or nil. The members of a
// SameRack gang share a rack; the racks of an AdjacentRacks gang are neighbours, each with
// at least one member. count returns how many members fit on a worker. The fits fields of
// racks and workers are overwritten.
func findLayout(racks []*rack, request layoutRequest, count func(*worker) int) []assignment {
	if request.members == 1 {
		return findSingleWorker(racks, request.immovable, count)
	}
	total := 0
	for _, r := range racks {
		r.fits = 0
		for _, w := range r.workers {
			w.fits = min(count(w), request.members)
			r.fits += w.fits
		}
		total += r.fits
	}
	if total < request.members {
		return nil
	}
	switch request.adjacency {
	case state.SameRack:
		return fillRun(findRackRun(racks, request, 1), request.members)
	case state.AdjacentRacks:
		return fillRun(findRackRun(racks, request, request.maxRacks), request.members)
	default:
		return findAnyRacks(racks, request)
	}
}

// findSingleWorker returns the fitting worker with the fewest free accelerators, then the
// one with the least room. An immovable job prefers the rack with the most immovable
// accelerators.
func findSingleWorker(racks []*rack, immovable bool, count func(*worker) int) []assignment {
	var best *worker
	bestIdle := 0
	for _, r := range racks {
		if immovable && best != nil && r.immovableAccelerators < best.rack.immovableAccelerators {
			continue
		}
		for _, w := range r.workers {
			w.fits = count(w)
			if w.fits < 1 {
				continue
			}
			idle := w.free().Accelerators
			better := best == nil || idle < bestIdle || (idle == bestIdle && w.fits < best.fits)
			if better || (immovable && r.immovableAccelerators > best.rack.immovableAccelerators) {
				best, bestIdle = w, idle
			}
		}
	}
	if best == nil {
		return nil
	}
	return []assignment{{best, 1}}
}

// findRackRun returns the shortest run of at most maxRacks neighbouring racks that holds
// the gang. Of equally short runs, it prefers the one with the most immovable accelerators
// for an immovable gang, then the one with the least room left over.
func findRackRun(racks []*rack, request layoutRequest, maxRacks int) []*rack {
	var best []*rack
	bestLeft, bestImmovable := 0, 0
	for i := range racks {
		sum, immovable := 0, 0
		for j := i; j < len(racks) && j-i < maxRacks; j++ {
			if racks[j].fits == 0 || (j > i && racks[j].Position-racks[j-1].Position > 1) {
				break
			}
			sum += racks[j].fits
			if request.immovable {
				immovable += racks[j].immovableAccelerators
			}
			if sum < request.members {
				continue
			}
			run := racks[i : j+1]
			left := sum - request.members
			order := cmp.Or(cmp.Compare(len(run), len(best)), cmp.Compare(bestImmovable, immovable), cmp.Compare(left, bestLeft))
			if best == nil || order < 0 {
				best, bestLeft, bestImmovable = run, left, immovable
			}
			break
		}
	}
	return best
}

// findAnyRacks places a gang without an adjacency rule: on the racks with the least room
// with fillFragments, otherwise on the shortest run of neighbouring racks or, if none holds
// it, on the roomiest racks.
func findAnyRacks(racks []*rack, request layoutRequest) []assignment {
	if !request.fillFragments {
		if run := findRackRun(racks, request, len(racks)); run != nil {
			return fillRun(run, request.members)
		}
	}
	sorted := slices.Clone(racks)
	slices.SortStableFunc(sorted, func(a, b *rack) int {
		if request.fillFragments {
			return cmp.Compare(a.fits, b.fits)
		}
		return cmp.Compare(b.fits, a.fits)
	})
	return takeFromRacks(sorted, request.members)
}

// fillRun spreads the members over a run that is as short as possible. It fills the first
// and the inner racks and puts the rest on the last, so that every rack gets a member.
func fillRun(run []*rack, members int) []assignment {
	if len(run) == 0 {
		return nil
	}
	order := make([]*rack, 0, len(run))
	last := len(run) - 1
	if last > 0 {
		order = append(order, run[1:last]...)
		order = append(order, run[0])
	}
	return takeFromRacks(append(order, run[last]), members)
}

// takeFromRacks assigns the members to the racks in their order.
func takeFromRacks(racks []*rack, members int) (assignments []assignment) {
	for _, r := range racks {
		if members == 0 {
			break
		}
		placed := min(members, r.fits)
		assignments = append(assignments, takeFromRack(r, placed)...)
		members -= placed
	}
	return assignments
}

// takeFromRack fills the roomiest workers of the rack first and puts the remaining members
// on the worker with the least room that holds them.
func takeFromRack(r *rack, members int) (assignments []assignment) {
	sorted := slices.Clone(r.workers)
	slices.SortStableFunc(sorted, func(a, b *worker) int { return cmp.Compare(b.fits, a.fits) })
	for i, w := range sorted {
		if members == 0 {
			break
		}
		if w.fits >= members {
			tightest := i
			for tightest+1 < len(sorted) && sorted[tightest+1].fits >= members {
				tightest++
			}
			return append(assignments, assignment{sorted[tightest], members})
		}
		if w.fits == 0 {
			break
		}
		assignments = append(assignments, assignment{w, w.fits})
		members -= w.fits
	}
	return assignments
}
