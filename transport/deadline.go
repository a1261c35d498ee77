package transport

import (
	"time"
)

// deadlineTimer is the current deadline of a connection, which is closed when it
// passes. A later deadline does not reset the timer: when it fires early, it is
// set again for the remaining time.
type deadlineTimer struct {
	expiresAt time.Time
	// reason is counted when the deadline passes, unless it is empty.
	reason string
	timer  *time.Timer
	// firesAt is when the timer fires; it is zero if the timer is not set.
	firesAt time.Time
}

func (t *deadlineTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// updateDeadline sets the deadline for the state of the connection: none while
// a request is served, otherwise the request or the idle timeout.
func (c *connection) updateDeadline() {
	switch {
	case c.serving:
		c.deadline.expiresAt = time.Time{}
	case c.discardsInput:
	case c.reader.hasPartialRequest():
		if c.deadline.reason != RequestIncomplete || c.deadline.expiresAt.IsZero() {
			c.setDeadline(c.server.limits.RequestTimeout, RequestIncomplete)
		}
	default:
		c.setDeadline(c.server.limits.IdleTimeout, ConnectionIdle)
		c.idleSince.Store(c.deadline.expiresAt.Add(-c.server.limits.IdleTimeout).UnixNano())
	}
}

// setDeadline closes the connection after the given time, unless the deadline is
// changed before.
func (c *connection) setDeadline(after time.Duration, reason string) {
	d := &c.deadline
	d.expiresAt = time.Now().Add(after)
	d.reason = reason
	if d.timer == nil {
		d.firesAt = d.expiresAt
		d.timer = c.runOnLoopAfter(after, c.checkDeadline)
		return
	}
	if d.firesAt.IsZero() || d.expiresAt.Before(d.firesAt) {
		d.firesAt = d.expiresAt
		d.timer.Reset(after)
	}
}

func (c *connection) checkDeadline() {
	d := &c.deadline
	d.firesAt = time.Time{}
	if c.closed || d.expiresAt.IsZero() {
		return
	}
	if left := time.Until(d.expiresAt); left > 0 {
		d.firesAt = d.expiresAt
		d.timer.Reset(left)
		return
	}
	if d.reason != "" {
		c.server.limits.Count(d.reason)
	}
	c.close()
}
