package election

import "time"

const (
	// plannerCores is what the planner of some thousand workers needs of a core.
	plannerCores = 0.5
	// maxStandbyDelay is how long a candidate without any processor time would
	// leave a free key to the others; the others need a watch's answer and two
	// calls to take it.
	maxStandbyDelay = 600 * time.Millisecond
	// yieldFactor is how many times more cores another candidate must have before
	// the planner leaves the planning to it.
	yieldFactor = 2
	// minYieldAge is the age of a term before which it is not yielded, so that a
	// hand-over has settled before the next.
	minYieldAge = 3 * time.Second
)

// standbyDelay returns how long this candidate leaves a free key to others that
// have more cores.
func (c *Candidate) standbyDelay() time.Duration {
	missing := max(plannerCores-c.Cores, 0) / plannerCores
	return time.Duration(missing * float64(maxStandbyDelay))
}

// standsBy reports whether a free key should be left to others for now: it does
// so once for each time that the key becomes free.
func (c *Candidate) standsBy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.stoodBy
	c.stoodBy = true
	return first && c.standbyDelay() > 0
}

// shouldYield reports whether the candidate that asks for the status should plan
// instead of this one. A term that may be lost anyway is not yielded, since the
// store may be unreachable for the other candidate too.
func (c *Candidate) shouldYield(request StatusRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return request.Cores >= yieldFactor*c.Cores && c.Cores < plannerCores &&
		c.renewedWithin(request.Term, cutOffAfter) && c.Now()-c.began >= minYieldAge
}
