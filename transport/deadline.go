package transport

import (
	"time"
)

// plan sets the deadline that fits the connection's present state.
func (c *connection) plan() {
	switch {
	case c.deaf:
	case c.running:
		c.deadline = time.Time{}
	case c.reader.started():
		if c.overdue != RequestIncomplete || c.deadline.IsZero() {
			c.expireIn(c.server.limits.RequestTimeout, RequestIncomplete)
		}
	default:
		c.expireIn(c.server.limits.IdleTimeout, ConnectionIdle)
	}
}

// expireIn closes the connection after the duration, unless another deadline
// is set before; reason is counted if it is not empty.
func (c *connection) expireIn(after time.Duration, reason string) {
	c.deadline = time.Now().Add(after)
	c.overdue = reason
	if c.timer == nil {
		c.timerAt = c.deadline
		c.timer = time.AfterFunc(after, func() { _ = c.onLoop(c.checkDeadline) })
		return
	}
	if c.timerAt.IsZero() || c.deadline.Before(c.timerAt) {
		c.timerAt = c.deadline
		c.timer.Reset(after)
	}
}

func (c *connection) checkDeadline() {
	c.timerAt = time.Time{}
	if c.closed || c.deadline.IsZero() {
		return
	}
	if left := time.Until(c.deadline); left > 0 {
		c.timerAt = c.deadline
		c.timer.Reset(left)
		return
	}
	if c.overdue != "" {
		c.server.limits.Count(c.overdue)
	}
	c.shut()
}
