package membership

import (
	"sync"
	"time"
)

// contact remembers when this process last ran and last heard from its zone.
type contact struct {
	mu       sync.Mutex
	lastTick time.Time
	// resumed is when the process started, or ran again after a pause, or
	// learned that it had been declared dead.
	resumed time.Time
	// lastAck is when a member of the zone last acknowledged a probe.
	lastAck time.Time
}

// step notes a step and reports whether the process was paused before it.
func (c *contact) step(now time.Time) (paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.lastTick.IsZero()
	paused = !first && now.Sub(c.lastTick) > pauseGap
	c.lastTick = now
	if first || paused {
		c.resumed, c.lastAck = now, time.Time{}
	}
	return paused
}

func (c *contact) acknowledged(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastTick) <= pauseGap {
		c.lastAck = now
	}
}

func (c *contact) declaredDead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumed, c.lastAck = now, time.Time{}
}

func (c *contact) fresh(now time.Time, alone bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastTick.IsZero() || now.Sub(c.lastTick) > pauseGap {
		return false
	}
	if !c.lastAck.IsZero() && now.Sub(c.lastAck) <= freshFor {
		return true
	}
	return alone && now.Sub(c.resumed) >= settleTime
}

// Fresh reports whether this member may rely on its view: it was not paused
// for the last second, and a member of its zone has acknowledged a probe
// within the last three seconds, or it has listened long enough to know that
// its zone has no other. A member that is not fresh must treat its roles as lost.
func (m *Members) Fresh() bool {
	own := m.Self()
	alone := len(m.view().byZone[own.AvailabilityZone]) <= 1
	return m.contact.fresh(m.Now(), alone)
}
