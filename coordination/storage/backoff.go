package storage

import (
	"context"
	"math/rand/v2"
	"time"

	"comfreystream/coordination/pause"
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Backoff waits after the given attempt, counted from 0, with exponential backoff: from
// 50 ms up to 1 s, less a random part of up to half. It returns false as soon as
// ctx is done.
func (s *Storage) Backoff(ctx context.Context, attempt int) bool {
	delay := maxBackoff
	if attempt < 10 {
		delay = min(initialBackoff<<attempt, maxBackoff)
	}
	delay -= time.Duration(s.Random() * float64(delay) / 2)
	return pause.For(ctx, delay)
}

func randomFraction() float64 { return rand.Float64() }
