package transport

import (
	"time"

	"github.com/valyala/fasthttp"
)

// heartbeatInterval is how often a server says that a request is still being
// handled, if the request asked for it; it is just above the 2 s for which the
// periodic calls between instances wait, so that those need none.
const heartbeatInterval = 2100 * time.Millisecond

// heartbeatHeader asks for heartbeats; heartbeatText is one: an interim
// answer (RFC 9110, section 15.2), which other clients skip as well.
const (
	heartbeatHeader = "Heartbeat"
	heartbeatText   = "HTTP/1.1 102 Processing\r\n\r\n"
)

func (x *exchange) wantsHeartbeat() bool {
	return len(x.ctx.Request.Header.Peek(heartbeatHeader)) > 0
}

// heartbeat sends heartbeats while a connection's request is at work; its
// timer runs on for up to one interval, so that short requests never set it.
type heartbeat struct {
	timer  *time.Timer
	ticks  bool
	wanted *exchange
	// since is when the request came or the last heartbeat left.
	since time.Time
}

func (h *heartbeat) start(c *connection) {
	h.wanted = c.waiting[0]
	h.since = time.Now()
	if h.ticks {
		return
	}
	h.ticks = true
	if h.timer == nil {
		h.timer = c.afterOnLoop(heartbeatInterval, c.sendHeartbeat)
		return
	}
	h.timer.Reset(heartbeatInterval)
}

func (h *heartbeat) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
}

// sendHeartbeat runs on the event loop, as do all writes, so it can't stand
// within or behind the answer.
func (c *connection) sendHeartbeat() {
	h := &c.beat
	h.ticks = false
	if c.closed || !c.running || c.waiting[0] != h.wanted || c.conn.OutboundBuffered() > 0 {
		return
	}
	left := heartbeatInterval - time.Since(h.since)
	if left <= 0 {
		_, _ = c.conn.Write([]byte(heartbeatText))
		h.since = time.Now()
		left = heartbeatInterval
	}
	h.ticks = true
	h.timer.Reset(left)
}

// askForHeartbeat makes the server send heartbeats.
func askForHeartbeat(request *fasthttp.Request) {
	request.Header.Set(heartbeatHeader, heartbeatInterval.String())
}
