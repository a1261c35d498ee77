package transport

import (
	"time"
)

// connectionTimer closes a connection whose deadline passes; it is set anew
// only when it must fire earlier than planned.
type connectionTimer struct {
	at time.Time
	// reason is counted when the deadline passes, if it is not empty.
	reason string
	timer  *time.Timer
	// fires is when the timer fires, zero if it does not.
	fires time.Time
}

func (t *connectionTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// plan sets the deadline that fits the connection's present state.
func (c *connection) plan() {
	switch {
	case c.running:
		c.deadline.at = time.Time{}
	case c.deaf:
	case c.reader.started():
		if c.deadline.reason != RequestIncomplete || c.deadline.at.IsZero() {
			c.expireIn(c.server.limits.RequestTimeout, RequestIncomplete)
		}
	default:
		c.expireIn(c.server.limits.IdleTimeout, ConnectionIdle)
	}
}

// expireIn closes the connection after the duration, unless another deadline
// is set before.
func (c *connection) expireIn(after time.Duration, reason string) {
	d := &c.deadline
	d.at = time.Now().Add(after)
	d.reason = reason
	if d.timer == nil {
		d.fires = d.at
		d.timer = c.afterOnLoop(after, c.checkDeadline)
		return
	}
	if d.fires.IsZero() || d.at.Before(d.fires) {
		d.fires = d.at
		d.timer.Reset(after)
	}
}

func (c *connection) checkDeadline() {
	d := &c.deadline
	d.fires = time.Time{}
	if c.closed || d.at.IsZero() {
		return
	}
	if left := time.Until(d.at); left > 0 {
		d.fires = d.at
		d.timer.Reset(left)
		return
	}
	if d.reason != "" {
		c.server.limits.Count(d.reason)
	}
	c.shut()
}
