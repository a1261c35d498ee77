package transport

import (
	"time"

	"github.com/valyala/fasthttp"
)

// heartbeatInterval is the time between two heartbeats that tell the client that
// its request is still being handled. It is just above the 2 s for which the
// periodic calls between instances wait, so that those cause no heartbeats.
const heartbeatInterval = 2100 * time.Millisecond

// heartbeatHeader is the request header that asks for heartbeats.
// heartbeatResponse is a heartbeat: an interim response (RFC 9110, section
// 15.2), which every HTTP client skips.
const (
	heartbeatHeader   = "Heartbeat"
	heartbeatResponse = "HTTP/1.1 102 Processing\r\n\r\n"
)

func (x *exchange) wantsHeartbeat() bool {
	return len(x.ctx.Request.Header.Peek(heartbeatHeader)) > 0
}

// heartbeat sends heartbeats while a connection's request is handled. Its timer
// is not stopped at the end of a request, but runs on for up to one interval,
// so that a series of short requests does not set it each time.
type heartbeat struct {
	timer *time.Timer
	// scheduled is set while the timer runs.
	scheduled bool
	// exchange is the request for which heartbeats are sent, nil if there is none.
	exchange *exchange
	// lastActivity is when the request was started or the last heartbeat sent.
	lastActivity time.Time
}

func (h *heartbeat) start(c *connection) {
	h.exchange = c.pending[0]
	h.lastActivity = time.Now()
	if h.scheduled {
		return
	}
	h.scheduled = true
	if h.timer == nil {
		h.timer = c.runOnLoopAfter(heartbeatInterval, c.sendHeartbeat)
		return
	}
	h.timer.Reset(heartbeatInterval)
}

func (h *heartbeat) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
}

// sendHeartbeat sends a heartbeat if one is due. It runs on the event loop, as do
// all writes, so that a heartbeat never lands inside or after the response.
func (c *connection) sendHeartbeat() {
	h := &c.heartbeat
	h.scheduled = false
	if c.closed || !c.serving || c.pending[0] != h.exchange || c.conn.OutboundBuffered() > 0 {
		return
	}
	remaining := heartbeatInterval - time.Since(h.lastActivity)
	if remaining <= 0 {
		_, _ = c.conn.Write([]byte(heartbeatResponse))
		h.lastActivity = time.Now()
		remaining = heartbeatInterval
	}
	h.scheduled = true
	h.timer.Reset(remaining)
}

// requestHeartbeats makes the server send heartbeats while it handles the request.
func requestHeartbeats(request *fasthttp.Request) {
	request.Header.Set(heartbeatHeader, heartbeatInterval.String())
}
