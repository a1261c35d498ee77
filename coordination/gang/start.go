package gang

import (
	"comfreystream/state"
	"context"
	"sync"
)

// startAll starts the racks in parallel; the first failure ends the others'
// wait. A start is sent only if its answer is due before any lease lapses.
func (s *Starter) startAll(ctx context.Context, g *gang) *failure {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	heldUntil := g.heldUntil()
	var once sync.Once
	var first *failure
	fail := func(f *failure) {
		once.Do(func() { first = f })
		cancel()
	}
	var all sync.WaitGroup
	for _, p := range g.parts {
		all.Go(func() {
			if bounded.Err() != nil {
				fail(ended(bounded))
				return
			}
			if heldUntil.Sub(s.Now()) < startTimeout {
				fail(&failure{reason: state.LeaseLapsed})
				return
			}
			p.startSent = true
			if err := s.Start(bounded, p.rack, p.leases); err != nil {
				fail(failureOf(ctx, p, err))
			}
		})
	}
	all.Wait()
	return first
}

// stopStarted stops every part and says what is known of the work.
func (s *Starter) stopStarted(ctx context.Context, g *gang) state.Ran {
	maySent := g.racks(func(p *part) bool { return p.startSent })
	if len(maySent) == 0 {
		s.release(ctx, g)
		return state.NotRun
	}
	racks := g.racks(func(*part) bool { return true })
	if neverStarted, err := s.stopAll(ctx, g.job.ID, g.attempt, racks); err == nil && neverStarted {
		return state.NotRun
	}
	return state.Unknown
}
