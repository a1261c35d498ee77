package backlog

import (
	"hash/fnv"
	"math"
	"time"

	"comfreystream/state/workflow"
)

const (
	// minRetry and maxRetry bound the time after which a refused caller returns: the
	// figures change each second, and tell little of what is a minute away.
	minRetry = time.Second
	maxRetry = time.Minute
	// maxFactor is the latest return relative to the time until the wait is short enough.
	maxFactor = 1.5
	// seniorityStep is the time waited that halves the part of the wait by which the
	// times of return are spread; maxSeniority is the most halvings.
	seniorityStep = 4 * time.Second
	maxSeniority  = 4
	// returnsKept bounds the refused jobs that an entry remembers.
	returnsKept = 4096
)

// retryAfter returns when the caller of a refused job should return, in whole seconds:
// between a half and one and a half of the time until the wait is short enough. The ID
// spreads the callers; those who waited longer get the earlier part.
func retryAfter(id workflow.ID, tooLong, waited time.Duration) time.Duration {
	seniority := min(int(waited/seniorityStep), maxSeniority)
	slice := math.Pow(0.5, float64(seniority))
	factor := 0.5 + slice*(0.5+0.5*spread(id))
	delay := max(time.Duration(factor*float64(min(tooLong, time.Duration(float64(maxRetry)/maxFactor)))), minRetry)
	return (delay + time.Second - 1).Truncate(time.Second)
}

// spread returns a number from 0 up to 1 that depends on the ID alone.
func spread(id workflow.ID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash accepts all bytes
	return float64(h.Sum64()%1009) / 1009
}

// returns remembers when the newest refused jobs were first refused here.
type returns struct {
	first map[workflow.ID]time.Time
	// order holds the IDs in the order of their first refusal, as a ring.
	order []workflow.ID
	next  int
}

// add notes a refusal and returns how long ago the job was first refused.
func (r *returns) add(id workflow.ID, now time.Time) time.Duration {
	if since, known := r.first[id]; known {
		return now.Sub(since)
	}
	if r.first == nil {
		r.first = make(map[workflow.ID]time.Time)
	}
	if len(r.order) < returnsKept {
		r.order = append(r.order, id)
	} else {
		delete(r.first, r.order[r.next])
		r.order[r.next] = id
		r.next = (r.next + 1) % returnsKept
	}
	r.first[id] = now
	return 0
}
