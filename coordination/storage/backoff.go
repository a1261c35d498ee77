package storage

import (
	"context"
	"math/rand/v2"
	"time"

	"comfreystream/coordination/pause"
)

const (
	firstDelay = 50 * time.Millisecond
	maxDelay   = time.Second
)

// Pause waits before the next attempt, counted from 0: twice as long each
// time, capped, less a random part. It reports false once ctx is done.
func (s *Storage) Pause(ctx context.Context, attempt int) bool {
	delay := maxDelay
	if attempt < 10 {
		delay = min(firstDelay<<attempt, maxDelay)
	}
	delay -= time.Duration(s.Random() * float64(delay) / 2)
	return pause.For(ctx, delay)
}

func randomPart() float64 { return rand.Float64() }
