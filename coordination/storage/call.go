package storage

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sony/gobreaker/v2"

	"comfreystream/state"
)

// callWithRetry sends an idempotent call, and sends it again after an ambiguous
// failure, up to maxCallAttempts times in all.
func (s *Storage) callWithRetry(ctx context.Context, step string, purpose Purpose, send func(context.Context) error) error {
	for attempt := 1; ; attempt++ {
		err := s.call(ctx, s.breaker, step, purpose, callTimeout, send)
		again := isStepError(err) && state.IsAmbiguous(err)
		if !again || attempt == maxCallAttempts || !s.Backoff(ctx, 0) {
			return err
		}
	}
}

// call sends one call through the rate limiter and the breaker. Its error is a
// *state.StepError or a *state.WriteConflict.
func (s *Storage) call(ctx context.Context, breaker *gobreaker.CircuitBreaker[struct{}], step string, purpose Purpose, timeout time.Duration, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.limiter.Wait(ctx); err != nil {
		s.count(purpose, Throttled)
		return state.NewStepError(step, s.Peer, state.StoreUnavailable, errors.Wrap(err, "the limit of calls per second is reached"))
	}
	_, err := breaker.Execute(func() (struct{}, error) {
		s.sent[purpose].Add(1)
		return struct{}{}, send(ctx)
	})
	s.count(purpose, resultOf(err))
	return s.stepError(step, err)
}

// stepError converts the error of a call; a call that was not sent is unambiguous.
func (s *Storage) stepError(step string, err error) error {
	var conflict *state.WriteConflict
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return conflict
	case notSent(err) || !state.IsAmbiguous(err):
		return state.NewStepError(step, s.Peer, storeReason(err), err)
	default:
		return state.NewAmbiguousStepError(step, s.Peer, storeReason(err), err)
	}
}

// storeReason returns the error's reason if that lies in the call itself; all other
// errors mean that the store is unavailable.
func storeReason(err error) state.Reason {
	switch reason := state.ReasonOf(err, state.StoreUnavailable); reason {
	case state.BodyTooLarge, state.LeaseLapsed, state.BadRequest:
		return reason
	default:
		return state.StoreUnavailable
	}
}

func (s *Storage) count(purpose Purpose, result Result) {
	if s.Count != nil {
		s.Count(purpose, result)
	}
}

func resultOf(err error) Result {
	var conflict *state.WriteConflict
	switch {
	case err == nil:
		return Answered
	case errors.As(err, &conflict):
		return Conflict
	case notSent(err):
		return Stopped
	default:
		return Failed
	}
}

// notSent reports whether the breaker stopped the call.
func notSent(err error) bool {
	return errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
}

func newBreaker(name string) *gobreaker.CircuitBreaker[struct{}] {
	return gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name:        name,
		Timeout:     breakerOpenTime,
		ReadyToTrip: func(counts gobreaker.Counts) bool { return counts.ConsecutiveFailures >= breakerFailures },
		IsSuccessful: func(err error) bool {
			var conflict *state.WriteConflict
			return err == nil || errors.As(err, &conflict)
		},
		IsExcluded: func(err error) bool { return errors.Is(err, context.Canceled) },
	})
}
