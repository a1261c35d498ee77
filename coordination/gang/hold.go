package gang

import (
	"context"

	"comfreystream/state"
)

// holdAll holds the racks one after another and gives up at the first that refuses.
func (s *Starter) holdAll(ctx context.Context, g *gang) *failure {
	for _, p := range g.parts {
		if f := s.hold(ctx, g, p); f != nil {
			return f.orEnded(ctx)
		}
	}
	return nil
}

func (s *Starter) hold(ctx context.Context, g *gang, p *part) *failure {
	if ctx.Err() != nil {
		return failureOf(p, ctx.Err())
	}
	bounded, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	request := HoldRequest{Job: g.job, Attempt: g.attempt, Placements: p.placements, TTL: holdTTL}
	asked := s.Now()
	leases, err := s.Hold(bounded, p.rack, request)
	if err != nil {
		p.mayHold = state.IsAmbiguous(err)
		return failureOf(p, err)
	}
	p.mayHold = true
	if !p.keep(g, leases, asked) {
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

// release voids the holds of a gang that was never started; what a rack does
// not hear lapses with its leases, so it asks only once.
func (s *Starter) release(ctx context.Context, g *gang) {
	held := g.racks(func(p *part) bool { return p.mayHold })
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	inParallel(held, func(rack string) {
		_, _ = s.Stop(bounded, rack, g.job.ID, g.attempt)
	})
}
