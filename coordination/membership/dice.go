package membership

import (
	"math/rand/v2"
	"sync"
	"time"

	"comfreystream/state"
)

// dice shares one source of random numbers between goroutines.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (d *dice) uint32() uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Uint32()
}

func (d *dice) duration(below time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Int64N(int64(below)))
}

// pick appends up to count members, chosen at random without repeats, for
// which allowed holds.
func (d *dice) pick(chosen []state.Member, count int, from []state.Member, allowed func(*state.Member) bool) []state.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(from) == 0 {
		return chosen
	}
	start := d.random.IntN(len(from))
	step := coprimeStep(d.random.IntN(len(from)), len(from))
	for i := 0; i < len(from) && count > 0; i++ {
		member := &from[(start+i*step)%len(from)]
		if !allowed(member) {
			continue
		}
		chosen = append(chosen, *member)
		count--
	}
	return chosen
}

// coprimeStep returns the first number from wanted on that visits all of
// length places when it is added again and again.
func coprimeStep(wanted, length int) int {
	for step := max(wanted, 1); ; step++ {
		if greatestCommonDivisor(step, length) == 1 {
			return step
		}
	}
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
