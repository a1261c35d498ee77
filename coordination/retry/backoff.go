package retry

import (
	"time"

	"comfreystream/state"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// backoff returns the wait after a failed attempt. It doubles with each attempt
// up to maxBackoff; half of it is random, so that jobs that failed together are
// not retried together.
func backoff(attempt state.Attempt, random float64) time.Duration {
	ceiling := firstBackoff
	for i := state.Attempt(1); i < attempt && ceiling < maxBackoff; i++ {
		ceiling *= 2
	}
	half := min(ceiling, maxBackoff) / 2
	return half + time.Duration(random*float64(half))
}
