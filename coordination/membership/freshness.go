package membership

import (
	"sync"
	"time"
)

// freshness records when this process last ran and last heard from its zone.
type freshness struct {
	mu       sync.Mutex
	lastTick time.Time
	// listeningSince is when the process started, resumed after a pause or
	// learned that it had been declared dead, whichever was last.
	listeningSince time.Time
	// lastAck is when a member of the zone last acknowledged a probe.
	lastAck time.Time
}

// recordTick records a tick and reports whether the process was paused before it.
func (f *freshness) recordTick(now time.Time) (paused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.lastTick.IsZero()
	paused = !first && now.Sub(f.lastTick) > pauseThreshold
	f.lastTick = now
	if first || paused {
		f.listeningSince, f.lastAck = now, time.Time{}
	}
	return paused
}

// recordAck records an Ack from the zone. One that arrives after a pause and
// before the next tick is ignored, since it may be from before the pause.
func (f *freshness) recordAck(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastTick) <= pauseThreshold {
		f.lastAck = now
	}
}

// recordDeclaredDead discards the contact so far, since others declared this member dead.
func (f *freshness) recordDeclaredDead(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeningSince, f.lastAck = now, time.Time{}
}

// isFresh is Fresh for a given time; alone says that the view has no other live
// member of the zone.
func (f *freshness) isFresh(now time.Time, alone bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastTick.IsZero() || now.Sub(f.lastTick) > pauseThreshold {
		return false
	}
	if !f.lastAck.IsZero() && now.Sub(f.lastAck) <= ackValidity {
		return true
	}
	return alone && now.Sub(f.listeningSince) >= settleTime
}

// Fresh reports whether the local member may rely on its view: it ticked within
// the last second, and either a member of its zone has acknowledged a probe
// within the last three seconds, or it has listened long enough to conclude
// that its zone has no other. A member that is not fresh must treat its roles as lost.
func (m *Members) Fresh() bool {
	own := m.Self()
	alone := len(m.view().byZone[own.AvailabilityZone]) <= 1
	return m.freshness.isFresh(m.Now(), alone)
}
