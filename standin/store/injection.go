package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

const maxRandomDelay = 3 * time.Second

// Always injects the same faults into every call.
func Always(faults Faults) func(Operation, string) Faults {
	return func(Operation, string) Faults { return faults }
}

// FirstWrite injects no faults before the first write, faults into the first write
// and then into every call after it.
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

// RandomFaults injects a fault into one call in three on average, chosen at random
// from the seed: the reply is lost, the call fails, it is delayed by up to 3 s, or
// it reads stale data.
func RandomFaults(seed uint64) func(Operation, string) Faults {
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
			return Faults{Slow: time.Duration(random.Int64N(int64(maxRandomDelay)))}
		case 3:
			return Faults{StaleReads: true}
		default:
			return Faults{}
		}
	}
}
