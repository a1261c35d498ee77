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
// ends the others' wait.
func (s *Starter) startAll(ctx context.Context, g *gang) *failure {
	bounded, cancel := context.WithTimeout(ctx, startLimit)
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
	return (<-failures).orEnded(ctx)
}

// start sends a rack its start only if the answer is due before any lease lapses;
// while the rack changes homes it asks again.
func (s *Starter) start(ctx context.Context, p *part, heldUntil time.Time) *failure {
	for {
		if ctx.Err() != nil {
			return failureOf(p, ctx.Err())
		}
		if heldUntil.Sub(s.Now()) < startTimeout {
			return &failure{reason: state.LeaseLapsed}
		}
		err := s.startOnce(ctx, p)
		if !isMoved(err) {
			p.startSent = true
		}
		if err == nil {
			return nil
		}
		if !isMoved(err) || !pause.For(ctx, startPause) {
			return failureOf(p, err)
		}
	}
}

func (s *Starter) startOnce(ctx context.Context, p *part) error {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return s.Start(bounded, p.rack, p.leases)
}

// isMoved reports whether an entry said that it is not the rack's home, which
// it does before it asks any worker.
func isMoved(err error) bool {
	return state.ReasonOf(err, "") == state.HomeMoved && !state.IsAmbiguous(err)
}

// stopStarted stops every part and says what is known of the work.
func (s *Starter) stopStarted(ctx context.Context, g *gang) state.Ran {
	if !slices.ContainsFunc(g.parts, func(p *part) bool { return p.startSent }) {
		s.release(ctx, g)
		return state.NotRun
	}
	racks := g.racks(func(*part) bool { return true })
	if neverStarted, err := s.stopAll(ctx, g.job.ID, g.attempt, racks); err == nil && neverStarted {
		return state.NotRun
	}
	return state.Unknown
}
