package gang

import (
	"context"

	"comfreystream/state"
)

// holdAll holds the racks one after another and stops at the first failure.
func (s *Starter) holdAll(ctx context.Context, g *gang) *failure {
	for _, p := range g.parts {
		if f := s.hold(ctx, g, p); f != nil {
			return f.orContextError(ctx)
		}
	}
	return nil
}

func (s *Starter) hold(ctx context.Context, g *gang, p *rackPart) *failure {
	if ctx.Err() != nil {
		return classifyError(p, ctx.Err())
	}
	bounded, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	request := HoldRequest{Job: g.job, Attempt: g.attempt, Placements: p.placements, TTL: holdTTL}
	requestedAt := s.Now()
	leases, err := s.Hold(bounded, p.rack, request)
	if err != nil {
		p.mayHold = state.IsAmbiguous(err)
		return classifyError(p, err)
	}
	p.mayHold = true
	if !p.acceptLeases(g, leases, requestedAt) {
		return &failure{reason: state.LeaseRefused}
	}
	return nil
}

func (s *Starter) commit(g *gang) *failure {
	if s.Commit == nil {
		return nil
	}
	err := s.Commit(g.job.ID, g.attempt)
	if err == nil {
		return nil
	}
	reason := state.ReasonOf(err, state.Cancelled)
	if reason == "" {
		reason = state.Cancelled
	}
	return &failure{reason: reason}
}

// release voids the leases of a gang of which nothing was started. It sends one
// stop to each rack; a lease whose stop is lost expires.
func (s *Starter) release(ctx context.Context, g *gang) {
	held := g.rackNames(func(p *rackPart) bool { return p.mayHold })
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	inParallel(held, func(rack string) {
		_, _ = s.Stop(bounded, rack, g.job.ID, g.attempt)
	})
}
