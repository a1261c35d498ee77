package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// connection is an accepted connection of a server. Its fields are changed
// only on its event loop, except pendingCount.
type connection struct {
	server      *Server
	conn        gnet.Conn
	loop        gnet.EventLoop
	handlerConn handlerConn
	reader      requestReader

	// pending holds the requests without a complete response, in order of
	// arrival; only the first is handled.
	pending []*exchange
	// pendingCount is the length of pending, for other goroutines.
	pendingCount atomic.Int32
	// serving is set while the first pending request is handled and its
	// response is sent.
	serving bool
	// discardsInput is set once the connection accepts no more requests and
	// drops all input.
	discardsInput bool
	// lingersOnClose is set if the client may still be sending when the
	// connection is about to be closed, as after a refusal.
	lingersOnClose bool
	closed         bool

	holdings
	deadline  deadlineTimer
	heartbeat heartbeat

	ctx    context.Context
	cancel context.CancelFunc
}

func newConnection(s *Server, conn gnet.Conn) *connection {
	c := &connection{server: s, conn: conn, loop: conn.EventLoop()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.handlerConn = handlerConn{local: conn.LocalAddr(), remote: conn.RemoteAddr(), ctx: c.ctx}
	c.reader = requestReader{limits: &s.limits, headerParsers: &s.headerParsers}
	return c
}

// readRequests takes all complete requests from the input buffer.
func (c *connection) readRequests() gnet.Action {
	for !c.discardsInput {
		next, reason := c.reader.next(c.conn)
		if reason != "" {
			c.refuse(reason)
			break
		}
		if next == nil {
			break
		}
		if len(c.pending) >= c.server.limits.PipelinedRequests {
			next.release()
			c.refuse(TooManyPipelined)
			break
		}
		c.uncountPartial()
		c.enqueue(next)
	}
	if !c.discardsInput && !c.chargePartial() {
		c.refuse(OverBudget)
	}
	if c.discardsInput {
		_, _ = c.conn.Discard(-1)
	}
	c.updateDeadline()
	return gnet.None
}

// refuse queues a refusal behind the pending responses and stops reading requests.
func (c *connection) refuse(reason string) {
	c.releasePartial()
	x := newExchange()
	x.refuse(&c.server.limits, reason)
	c.discardsInput, c.lingersOnClose = true, true
	c.enqueue(x)
}

// enqueue adds a request to the pending ones. It counts the request before it
// checks whether the server is drained, while Drain sets drained before it
// checks the count: a request is either answered before Drain returns or
// refused, but never cut off without a response.
func (c *connection) enqueue(x *exchange) {
	x.connection = c
	x.duringDrain = c.server.draining.Load()
	c.server.requestBegan(x.duringDrain)
	if c.server.drained.Load() && !x.refused {
		c.discardsInput, c.lingersOnClose = true, true
		x.refuse(&c.server.limits, Draining)
	}
	if !c.served.Load() && !x.refused {
		c.served.Store(true)
	}
	if !x.refused && !c.charge(x) {
		c.discardsInput, c.lingersOnClose = true, true
		x.refuse(&c.server.limits, OverBudget)
	}
	c.pending = append(c.pending, x)
	c.pendingCount.Add(1)
	if !c.serving {
		c.serveNext()
	}
}

// serveNext passes the first pending request to the handler pool, or writes its
// response at once if it is refused.
func (c *connection) serveNext() {
	x := c.pending[0]
	c.serving = true
	c.unqueue(x)
	x.closesConnection = x.closesConnection || x.ctx.Request.Header.ConnectionClose()
	if x.closesConnection {
		c.discardsInput = true
	}
	if x.refused {
		x.writeResponse()
		return
	}
	if x.wantsHeartbeat() {
		c.heartbeat.start(c)
	}
	x.ctx.Init2(&c.handlerConn, discardLogger{}, true)
	c.server.runningHandlers.Add(1)
	if err := c.server.handlerPool.Invoke(x); err != nil {
		c.server.runningHandlers.Done()
		c.discardsInput, c.lingersOnClose = true, true
		x.refuse(&c.server.limits, TooManyRequests)
		x.writeResponse()
	}
}

// finish removes the first request once its response has been sent, and then
// serves the next one or closes the connection.
func (c *connection) finish(x *exchange) {
	c.pending[0] = nil
	c.pending = c.pending[1:]
	c.pendingCount.Add(-1)
	c.serving = false
	c.server.requestEnded(x.duringDrain)
	closes := x.closesConnection
	x.uncharge(c.server)
	x.release()
	switch {
	case closes:
		c.dropPending()
		c.closeAfterResponse()
		return
	case len(c.pending) > 0:
		c.serveNext()
	default:
		c.pending = nil
	}
	c.updateDeadline()
}

// closeAfterResponse closes the connection after its last response. If the
// client may still be sending, it first discards input for lingerTimeout:
// closing with unread input makes the kernel send a reset, which can reach the
// client before the response.
func (c *connection) closeAfterResponse() {
	c.discardsInput = true
	if !c.lingersOnClose {
		c.close()
		return
	}
	c.setDeadline(lingerTimeout, "")
}

func (c *connection) dropPending() {
	for n, x := range c.pending {
		c.server.requestEnded(x.duringDrain)
		if n > 0 || !c.serving {
			x.uncharge(c.server) // the one in service does so itself
		}
	}
	c.pending = nil
	c.queuedBytes = 0
	c.updateReclaimable()
}

// cleanUp releases what belongs to the connection after gnet has closed it.
func (c *connection) cleanUp() {
	c.closed = true
	c.server.limits.Budget.unregister(c)
	c.releasePartial()
	c.cancel()
	c.dropPending()
	c.deadline.stop()
	c.heartbeat.stop()
}

func (c *connection) close() {
	_ = c.loop.Close(c.conn)
}

// runOnLoop runs the task on the connection's event loop; it does nothing and
// reports false after the server has been closed.
func (c *connection) runOnLoop(task func()) (queued bool) {
	err := c.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		task()
		return nil
	}))
	return err == nil
}

// runOnLoopAfter runs the task on the connection's event loop after the delay.
func (c *connection) runOnLoopAfter(after time.Duration, task func()) *time.Timer {
	return time.AfterFunc(after, func() { c.runOnLoop(task) })
}
