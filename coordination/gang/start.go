package gang

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// startAll starts the racks in parallel and returns the first failure, which
// cancels the other starts.
func (s *Starter) startAll(ctx context.Context, g *gang) *failure {
	bounded, cancel := context.WithTimeout(ctx, startAllTimeout)
	defer cancel()
	heldUntil := g.heldUntil()
	failures := make(chan *failure, len(g.parts))
	var all sync.WaitGroup
	for _, p := range g.parts {
		all.Go(func() {
			if f := s.start(bounded, p, heldUntil); f != nil {
				failures <- f
				cancel()
			}
		})
	}
	all.Wait()
	close(failures)
	return (<-failures).orContextError(ctx)
}

// start starts the rack's members, unless a lease could expire before the
// answer. While the rack changes homes it retries.
func (s *Starter) start(ctx context.Context, p *rackPart, heldUntil time.Time) *failure {
	for {
		if ctx.Err() != nil {
			return classifyError(p, ctx.Err())
		}
		if heldUntil.Sub(s.Now()) < startTimeout {
			return &failure{reason: state.LeaseLapsed}
		}
		err := s.startOnce(ctx, p)
		if !isHomeMoved(err) {
			p.startSent = true
		}
		if err == nil {
			return nil
		}
		if !isHomeMoved(err) || !pause.For(ctx, startRetryInterval) {
			return classifyError(p, err)
		}
	}
}

func (s *Starter) startOnce(ctx context.Context, p *rackPart) error {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return s.Start(bounded, p.rack, p.leases)
}

// isHomeMoved reports whether the called entry is not the rack's home; it
// answers so before it calls any worker.
func isHomeMoved(err error) bool {
	return state.ReasonOf(err, "") == state.HomeMoved && !state.IsAmbiguous(err)
}

// stopFailedStart stops all members after a failed start and returns what is
// known of their execution.
func (s *Starter) stopFailedStart(ctx context.Context, g *gang) state.Ran {
	if !slices.ContainsFunc(g.parts, func(p *rackPart) bool { return p.startSent }) {
		s.release(ctx, g)
		return state.NotRun
	}
	racks := g.rackNames(func(*rackPart) bool { return true })
	if neverStarted, err := s.stopAll(ctx, g.job.ID, g.attempt, racks); err == nil && neverStarted {
		return state.NotRun
	}
	return state.OutcomeUnknown
}
