package planning

import (
	"cmp"
	"slices"

	"comfreystream/state"
)

// gang is what a layout must find room for.
type gang struct {
	members   int
	adjacency state.Adjacency
	// span is the most racks that an adjacent gang may spread over.
	span int
	// scatter lets a gang that may run anywhere use up small remainders.
	scatter bool
	// rigid is set for work that cannot be moved. It goes where more of its kind
	// is, so that other racks can be cleared.
	rigid bool
}

// share is a number of members on one worker.
type share struct {
	worker  *worker
	members int
}

// findLayout returns the tightest places for the whole gang, or nil. Members
// of a SameRack gang share a rack; the racks of an AdjacentRacks gang are a run
// of neighbours, each of which holds a member. count says how many members fit
// on a worker. It writes the fits fields of racks and workers.
func findLayout(racks []*rack, g gang, count func(*worker) int) []share {
	if g.members == 1 {
		return findWorker(racks, g.rigid, count)
	}
	total := 0
	for _, r := range racks {
		r.fits = 0
		for _, w := range r.workers {
			w.fits = min(count(w), g.members)
			r.fits += w.fits
		}
		total += r.fits
	}
	if total < g.members {
		return nil
	}
	switch g.adjacency {
	case state.SameRack:
		return fill(findRun(racks, g, 1), g.members)
	case state.AdjacentRacks:
		return fill(findRun(racks, g, g.span), g.members)
	default:
		return findAnywhere(racks, g)
	}
}

// findWorker returns the fitting worker with the fewest free accelerators,
// then with the least room; rigid work looks for the most rigid rack first.
func findWorker(racks []*rack, rigid bool, count func(*worker) int) []share {
	var best *worker
	bestIdle := 0
	for _, r := range racks {
		if rigid && best != nil && r.rigid < best.rack.rigid {
			continue
		}
		for _, w := range r.workers {
			w.fits = count(w)
			if w.fits < 1 {
				continue
			}
			idle := w.free().Accelerators
			better := best == nil || idle < bestIdle || (idle == bestIdle && w.fits < best.fits)
			if better || (rigid && r.rigid > best.rack.rigid) {
				best, bestIdle = w, idle
			}
		}
	}
	if best == nil {
		return nil
	}
	return []share{{best, 1}}
}

// findRun returns the shortest run of neighbouring racks that holds the gang,
// at most span of them; of equal runs, for rigid work the most rigid, then
// the one with the least left over.
func findRun(racks []*rack, g gang, span int) []*rack {
	var best []*rack
	bestLeft, bestRigid := 0, 0
	for i := range racks {
		sum, rigid := 0, 0
		for j := i; j < len(racks) && j-i < span; j++ {
			if racks[j].fits == 0 || (j > i && racks[j].Position-racks[j-1].Position > 1) {
				break
			}
			sum += racks[j].fits
			if g.rigid {
				rigid += racks[j].rigid
			}
			if sum < g.members {
				continue
			}
			run := racks[i : j+1]
			left := sum - g.members
			order := cmp.Or(cmp.Compare(len(run), len(best)), cmp.Compare(bestRigid, rigid), cmp.Compare(left, bestLeft))
			if best == nil || order < 0 {
				best, bestLeft, bestRigid = run, left, rigid
			}
			break
		}
	}
	return best
}

func findAnywhere(racks []*rack, g gang) []share {
	if !g.scatter {
		if run := findRun(racks, g, len(racks)); run != nil {
			return fill(run, g.members)
		}
	}
	sorted := slices.Clone(racks)
	slices.SortStableFunc(sorted, func(a, b *rack) int {
		if g.scatter {
			return cmp.Compare(a.fits, b.fits)
		}
		return cmp.Compare(b.fits, a.fits)
	})
	return takeFrom(sorted, g.members)
}

// fill spreads the members over a shortest run: the inner racks and the first
// are used up, so that every rack of the run holds a member.
func fill(run []*rack, members int) []share {
	if len(run) == 0 {
		return nil
	}
	order := make([]*rack, 0, len(run))
	last := len(run) - 1
	if last > 0 {
		order = append(order, run[1:last]...)
		order = append(order, run[0])
	}
	return takeFrom(append(order, run[last]), members)
}

func takeFrom(racks []*rack, members int) (shares []share) {
	for _, r := range racks {
		if members == 0 {
			break
		}
		here := min(members, r.fits)
		shares = append(shares, takeFromRack(r, here)...)
		members -= here
	}
	return shares
}

// takeFromRack uses the roomiest workers first, and for the rest of the
// members the one with the least room that holds them.
func takeFromRack(r *rack, members int) (shares []share) {
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
			return append(shares, share{sorted[tightest], members})
		}
		if w.fits == 0 {
			break
		}
		shares = append(shares, share{w, w.fits})
		members -= w.fits
	}
	return shares
}
