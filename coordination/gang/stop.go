package gang

import (
	"context"
	"sync"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// stopAll stops the attempt in all the racks in parallel. neverStarted is true
// only if every rack confirmed it; the error is that of the first rack without
// an answer.
func (s *Starter) stopAll(ctx context.Context, job state.JobID, attempt state.Attempt, racks []string) (neverStarted bool, err error) {
	neverStarted = true
	var mu sync.Mutex
	inParallel(racks, func(rack string) {
		never, stopErr := s.stop(context.WithoutCancel(ctx), rack, job, attempt)
		mu.Lock()
		defer mu.Unlock()
		neverStarted = neverStarted && never && stopErr == nil
		if err == nil {
			err = stopErr
		}
	})
	return neverStarted, err
}

// stop sends a stop to one rack until it answers, at most maxStopTries times.
func (s *Starter) stop(ctx context.Context, rack string, job state.JobID, attempt state.Attempt) (neverStarted bool, err error) {
	backoff := firstStopBackoff
	for try := range maxStopTries {
		if try > 0 {
			// Stops are retried even after the caller has given up.
			pause.For(context.WithoutCancel(ctx), backoff)
			backoff *= 2
		}
		neverStarted, err = s.stopOnce(ctx, rack, job, attempt)
		if err == nil {
			return neverStarted, nil
		}
	}
	return false, err
}

func (s *Starter) stopOnce(ctx context.Context, rack string, job state.JobID, attempt state.Attempt) (bool, error) {
	bounded, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return s.Stop(bounded, rack, job, attempt)
}

func inParallel(racks []string, act func(rack string)) {
	var all sync.WaitGroup
	for _, rack := range racks {
		all.Go(func() { act(rack) })
	}
	all.Wait()
}
