package membership

import (
	"math/rand/v2"
	"sync"
	"time"

	"comfreystream/state"
)

// lockedRand is a random number source that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (r *lockedRand) uint32() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint32()
}

// duration returns a random duration from 0 up to below, exclusive.
func (r *lockedRand) duration(below time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.source.Int64N(int64(below)))
}

// appendSample appends up to count members for which allowed returns true,
// chosen at random without repeats. It allocates no permutation: it walks
// through the members with a random start and a random step coprime to their number.
func (r *lockedRand) appendSample(chosen []state.Member, count int, from []state.Member, allowed func(*state.Member) bool) []state.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(from) == 0 {
		return chosen
	}
	start := r.source.IntN(len(from))
	step := coprimeStep(r.source.IntN(len(from)), len(from))
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

// coprimeStep returns the smallest number from wanted on that is coprime to
// length; repeated addition of it modulo length reaches every index.
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
