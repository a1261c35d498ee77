package gang

import (
	"slices"
	"strings"
	"time"

	"comfreystream/state"
)

// gang is one attempt's parts, sorted by rack.
type gang struct {
	job     *state.Job
	attempt state.Attempt
	parts   []*part
}

// part is what one rack holds and runs of a gang.
type part struct {
	rack       string
	placements []state.Placement
	leases     []state.Lease
	// heldUntil is when the first of the leases lapses.
	heldUntil time.Time
	// mayHold is set once the rack may have granted leases.
	mayHold bool
	// startSent is set once any member of the rack may have been started.
	startSent bool
}

func newGang(job *state.Job, attempt state.Attempt, placements []state.Placement) *gang {
	g := &gang{job: job, attempt: attempt}
	sorted := slices.Clone(placements)
	slices.SortStableFunc(sorted, func(a, b state.Placement) int { return strings.Compare(a.Rack, b.Rack) })
	for _, p := range sorted {
		last := len(g.parts) - 1
		if last < 0 || g.parts[last].rack != p.Rack {
			g.parts = append(g.parts, &part{rack: p.Rack})
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

func (g *gang) racks(of func(p *part) bool) (names []string) {
	for _, p := range g.parts {
		if of(p) {
			names = append(names, p.rack)
		}
	}
	return names
}

// heldUntil returns when the first lease of the gang lapses.
func (g *gang) heldUntil() time.Time {
	first := g.parts[0].heldUntil
	for _, p := range g.parts[1:] {
		first = earlier(first, p.heldUntil)
	}
	return first
}

// keep takes the leases that a rack granted, if they cover what was asked.
func (p *part) keep(g *gang, leases []state.Lease, asked time.Time) bool {
	if !p.covers(g, leases) {
		return false
	}
	p.leases = leases
	p.heldUntil = asked.Add(holdTTL)
	for _, l := range leases {
		p.heldUntil = earlier(p.heldUntil, l.Expires)
	}
	return true
}

func (p *part) covers(g *gang, leases []state.Lease) bool {
	missing := 0
	for _, pl := range p.placements {
		missing += pl.Members
	}
	for _, l := range leases {
		if l.Job != g.job.ID || l.Attempt != g.attempt || !p.uses(l.Worker) {
			return false
		}
		missing -= l.Members
	}
	return missing == 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
