package scheduling

import (
	"context"
	"time"
)

// The planner paces its calls to workers by what its processor can carry, so that
// a burst is handled later instead of running into time limits.
const (
	// renewalsPerCore is how many renewals a second a planner with one core makes,
	// so that they take about a quarter of it.
	renewalsPerCore = 1000
	// minRenewWait is how long a worker may wait for an end before it answers a
	// renewal, if there are few workers. The lease is renewed that often, so that it
	// outlasts a partition of nearly its own length.
	minRenewWait = 500 * time.Millisecond
	// maxRenewWaits is how many of the longest waits fit into the longest lease.
	maxRenewWaits = 6
	// renewTransit bounds the transit of a renewal and its answer.
	renewTransit = 300 * time.Millisecond
	// startsPerCore is how many starts a planner with one core may have without an
	// answer, as each takes it some 0.4 ms and the first try has firstStartTimeout.
	// Some workers do not answer, so that even the smallest has minConcurrentStarts.
	startsPerCore       = 160
	minConcurrentStarts = 32
	// startBacklog is the number of placed members without an answer at which only
	// guaranteed groups are placed. The smallest planner starts that many within
	// startValidity.
	startBacklog = 512
)

// renewWait returns how long a worker of the pool may wait for an end before it
// answers a renewal. The caller holds the lock.
func (p *pool) renewWait() time.Duration {
	perSecond := renewalsPerCore * p.scheduler.Cores
	if perSecond <= 0 {
		return minRenewWait
	}
	wait := time.Duration(float64(p.registered) / perSecond * float64(time.Second))
	return min(max(wait, minRenewWait), max(p.scheduler.Bounds.LeaseLimit/maxRenewWaits, minRenewWait))
}

// maxReportAge returns the age of its newest report up to which a worker gets tasks
// and has its lease renewed. The caller holds the lock.
func (p *pool) maxReportAge() time.Duration { return p.renewWait() + time.Second }

// tooManyUnsent reports whether the placed members without an answer are as many as
// the planner can start in time.
func (p *pool) tooManyUnsent() bool { return p.startsPending+p.round.unsent >= startBacklog }

// concurrentStarts returns how many starts may be without an answer at a time.
func (s *Scheduler) concurrentStarts() int {
	if s.Cores <= 0 {
		return startsPerCore
	}
	return max(int(startsPerCore*s.Cores), minConcurrentStarts)
}

// acquire waits until one more start may be unanswered; release must be
// called afterwards if ok is true.
func acquire(ctx context.Context, starts chan struct{}) (release func(), ok bool) {
	select {
	case starts <- struct{}{}:
		return func() { <-starts }, true
	case <-ctx.Done():
		return nil, false
	}
}
