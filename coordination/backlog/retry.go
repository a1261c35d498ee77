package backlog

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"comfreystream/state/workflow"
)

const (
	// minRetry and maxRetry bound the time after which a refused caller returns: the
	// figures change each second, and tell little of what is a minute away.
	minRetry = time.Second
	maxRetry = time.Minute
	// seniorityStep is the time waited that halves the time until a caller comes again;
	// maxSeniority is the most halvings.
	seniorityStep = 4 * time.Second
	maxSeniority  = 3
	// spreadPart is the part of the time by which the ID delays a return. It is small, as
	// it lets callers pass each other, and callers that are refused one after another
	// return so as well.
	spreadPart = 0.2
	// returnSpacing is the mean time between the returns of callers that an entry would
	// tell to come at once: when waits grow shorter, those refused later are not to come
	// first.
	returnSpacing = 100 * time.Millisecond
	// returnsKept bounds the refused jobs that are remembered.
	returnsKept = 4096
	// maxIDBytes is the length up to which IDs are remembered; those of jobs are shorter,
	// but a notification may hold any text.
	maxIDBytes = 64
)

// retryAfter returns when the caller of a refused job should return, in whole seconds:
// when the wait will be short enough, and sooner the longer it has waited since its first
// refusal. One that has not waited yet returns after all that an entry refused before;
// last is the latest return that it told.
func retryAfter(id workflow.ID, tooLong, waited time.Duration, now time.Time, last *time.Time) time.Duration {
	slice := math.Pow(0.5, float64(min(int(waited/seniorityStep), maxSeniority)))
	delay := time.Duration(slice * (1 + spreadPart*spread(id)) * float64(tooLong))
	if waited == 0 {
		spacing := time.Duration(2 * spread(id) * float64(returnSpacing))
		delay = max(delay, last.Sub(now)+spacing)
		*last = now.Add(min(delay, maxRetry))
	}
	latest := time.Duration((1 - spreadPart*spread(id)) * float64(maxRetry))
	delay = min(max(delay, minRetry), latest)
	return (delay + time.Second - 1).Truncate(time.Second)
}

// spread returns a number from 0 up to 1 that depends on the ID alone.
func spread(id workflow.ID) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash accepts all bytes
	return float64(h.Sum64()%1009) / 1009
}

// Returns remembers when the newest refused jobs were first refused. The zero value is
// ready for use; it is safe for concurrent use.
type Returns struct {
	mu    sync.Mutex
	first map[workflow.ID]time.Time
	// order holds the IDs in the order of their first refusal, as a ring.
	order []workflow.ID
	next  int
}

// Refused notes a refusal and returns how long ago the job was first refused.
func (r *Returns) Refused(id workflow.ID, now time.Time) time.Duration {
	if len(id) > maxIDBytes {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
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
