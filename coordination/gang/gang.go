package gang

import (
	"slices"
	"strings"
	"time"

	"comfreystream/state"
)

// gang is one attempt of a job, split by rack and sorted by rack name.
type gang struct {
	job     *state.Job
	attempt state.Attempt
	parts   []*rackPart
}

// rackPart is the part of a gang on one rack.
type rackPart struct {
	rack       string
	placements []state.Placement
	leases     []state.Lease
	// heldUntil is when the first of the leases expires.
	heldUntil time.Time
	// mayHold is set once the rack may have granted leases.
	mayHold bool
	// startSent is set once any member on the rack may have been started.
	startSent bool
}

func newGang(job *state.Job, attempt state.Attempt, placements []state.Placement) *gang {
	g := &gang{job: job, attempt: attempt}
	sorted := slices.Clone(placements)
	slices.SortStableFunc(sorted, func(a, b state.Placement) int { return strings.Compare(a.Rack, b.Rack) })
	for _, p := range sorted {
		last := len(g.parts) - 1
		if last < 0 || g.parts[last].rack != p.Rack {
			g.parts = append(g.parts, &rackPart{rack: p.Rack})
			last++
		}
		g.parts[last].placements = append(g.parts[last].placements, p)
	}
	return g
}

func (g *gang) leases() (all []state.Lease) {
	for _, p := range g.parts {
		all = append(all, p.leases...)
	}
	return all
}

func (g *gang) rackNames(include func(p *rackPart) bool) (names []string) {
	for _, p := range g.parts {
		if include(p) {
			names = append(names, p.rack)
		}
	}
	return names
}

// heldUntil returns when the first lease of the gang expires.
func (g *gang) heldUntil() time.Time {
	first := g.parts[0].heldUntil
	for _, p := range g.parts[1:] {
		first = earlierOf(first, p.heldUntil)
	}
	return first
}

// acceptLeases stores the leases that a rack granted and returns true, if they
// cover the placements.
func (p *rackPart) acceptLeases(g *gang, leases []state.Lease, requestedAt time.Time) bool {
	if !p.covers(g, leases) {
		return false
	}
	p.leases = leases
	p.heldUntil = requestedAt.Add(holdTTL)
	for _, l := range leases {
		p.heldUntil = earlierOf(p.heldUntil, l.Expires)
	}
	return true
}

func (p *rackPart) covers(g *gang, leases []state.Lease) bool {
	missing := 0
	for _, pl := range p.placements {
		missing += pl.Members
	}
	for _, l := range leases {
		if l.Job != g.job.ID || l.Attempt != g.attempt || !p.includesWorker(l.Worker) {
			return false
		}
		missing -= l.Members
	}
	return missing == 0
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
