package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

const maxRandomSlowness = 3 * time.Second

// Always returns the same faults for every call.
func Always(faults Faults) func(Operation, string) Faults {
	return func(Operation, string) Faults { return faults }
}

// FirstWrite returns the faults for the first write, and then others for every
// call after it.
func FirstWrite(faults, then Faults) func(Operation, string) Faults {
	var mu sync.Mutex
	written := false
	return func(operation Operation, _ string) Faults {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case written:
			return then
		case operation == CompareAndSwap:
			written = true
			return faults
		default:
			return Faults{}
		}
	}
}

// OneInThree makes one call in three go wrong, in an order that the seed decides:
// its answer is lost, it is down, up to 3 s slow, or it answers old data.
func OneInThree(seed uint64) func(Operation, string) Faults {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(Operation, string) Faults {
		mu.Lock()
		defer mu.Unlock()
		switch random.IntN(12) {
		case 0:
			return Faults{LoseAnswer: true}
		case 1:
			return Faults{Down: true}
		case 2:
			return Faults{Slow: time.Duration(random.Int64N(int64(maxRandomSlowness)))}
		case 3:
			return Faults{OldData: true}
		default:
			return Faults{}
		}
	}
}
