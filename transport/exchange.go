package transport

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// flushCheckInterval is the time between checks whether the client has
	// read the rest of a buffered response.
	flushCheckInterval = 20 * time.Millisecond
	// lingerTimeout is how long input is discarded after a refusal.
	lingerTimeout = time.Second
	// refusalRetryAfter is the Retry-After header of a refusal with status 503, in seconds.
	refusalRetryAfter = "1"
	// bodyGrowth is the factor by which the buffer of an incomplete body grows.
	bodyGrowth = 4
	// maxReusedBodyBytes bounds the buffers for bodies that are kept for reuse.
	maxReusedBodyBytes = 8 << 10
	// maxReusedOutputBytes bounds the output buffers that are kept for reuse.
	maxReusedOutputBytes = 8 << 10
)

// exchange is one request and its response. From serveNext to onWritten it
// belongs to a goroutine of the handler pool, otherwise to the event loop of
// its connection.
type exchange struct {
	ctx        fasthttp.RequestCtx
	connection *connection
	refused    bool
	// closesConnection is set if the connection is closed after the response.
	closesConnection bool
	// duringDrain is set if the request arrived while the server was draining.
	duringDrain bool
	output      []byte
	// body holds the request's body; it is kept for reuse if it is small.
	body []byte
	// cost is what the exchange counts in the server's budget.
	cost int64
}

var exchangePool = sync.Pool{New: func() any { return new(exchange) }}

func newExchange() *exchange { return exchangePool.Get().(*exchange) }

func (x *exchange) release() {
	x.ctx.Request.Reset()
	x.ctx.Response.Reset()
	x.ctx.ResetUserValues()
	x.connection = nil
	x.refused, x.closesConnection, x.duringDrain = false, false, false
	x.output = x.output[:0]
	if cap(x.output) > maxReusedOutputBytes {
		x.output = nil
	}
	x.body = x.body[:0]
	if cap(x.body) > maxReusedBodyBytes {
		x.body = nil
	}
	x.cost = 0
	exchangePool.Put(x)
}

// appendBody adds a part of the body, whose whole length is expected or, if that is
// 0, not known.
func (x *exchange) appendBody(part []byte, expected int) {
	if needed := len(x.body) + len(part); needed > cap(x.body) {
		// Doubling would leave as much garbage as the body is large.
		size := max(needed, bodyGrowth*cap(x.body))
		if expected > 0 {
			size = max(needed, min(size, expected))
		}
		grown := make([]byte, len(x.body), size)
		copy(grown, x.body)
		x.body = grown
	}
	x.body = append(x.body, part...)
}

// dropBody releases the body of a request that no handler will see.
func (x *exchange) dropBody() {
	x.body = nil
	x.ctx.Request.ResetBody()
}

// handle runs the handler and writes its response; it runs on the handler pool.
func (x *exchange) handle() {
	c := x.connection
	defer c.server.runningHandlers.Done()
	if err := x.runHandler(); err != nil {
		c.server.limits.OnPanic(err)
		x.refuse(&c.server.limits, HandlerPanicked)
	}
	x.writeResponse()
}

func (x *exchange) runHandler() (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = errors.Errorf("handle %s: panic: %v", x.ctx.Path(), value)
		}
	}()
	x.connection.server.handler(&x.ctx)
	return nil
}

// refuse counts the refusal and replaces the response by it.
func (x *exchange) refuse(limits *Limits, reason string) {
	limits.Count(reason)
	x.refused, x.closesConnection = true, true
	response := &x.ctx.Response
	response.Reset()
	response.SetStatusCode(statusOf(reason))
	if response.StatusCode() == fasthttp.StatusServiceUnavailable {
		response.Header.Set(fasthttp.HeaderRetryAfter, refusalRetryAfter)
	}
	if limits.WriteRefusal != nil {
		limits.WriteRefusal(response, reason)
		return
	}
	response.SetBodyString(reason)
}

// writeResponse writes the response. A connection serves one request at a time,
// so that responses leave in the order of their requests.
func (x *exchange) writeResponse() {
	request, response := &x.ctx.Request, &x.ctx.Response
	x.closesConnection = x.closesConnection || response.ConnectionClose() || x.isLastInDrain()
	if x.closesConnection {
		response.SetConnectionClose()
	} else if !request.Header.IsHTTP11() {
		response.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	response.SkipBody = request.Header.IsHead()
	x.output = x.output[:0]
	if _, err := response.WriteTo((*outputAppender)(x)); err != nil {
		x.closesConnection = true
	}
	s := x.connection.server
	if len(x.output) > largeResponseBytes {
		// What the kernel does not take at once is copied to a buffer of its own.
		x.cost += 2 * int64(len(x.output))
		s.limits.Budget.add(2 * int64(len(x.output)))
	}
	if err := x.connection.conn.AsyncWrite(x.output, x.onWritten); err != nil {
		x.uncharge(s)
	}
}

// isLastInDrain reports whether the server is draining and the connection has no
// other pending request.
func (x *exchange) isLastInDrain() bool {
	c := x.connection
	return c.server.draining.Load() && c.pendingCount.Load() == 1
}

// onWritten runs on the event loop once the response has been passed to the
// kernel or to the connection's output buffer.
func (x *exchange) onWritten(gnet.Conn, error) error {
	c := x.connection
	c.heartbeat.exchange = nil
	switch {
	case c.closed:
		x.uncharge(c.server)
		x.release()
	case c.conn.OutboundBuffered() > 0:
		c.unsentBytes = x.cost
		c.updateReclaimable()
		c.awaitFlush(x, c.conn.OutboundBuffered(), time.Now())
	default:
		c.finish(x)
	}
	return nil
}

// awaitFlush finishes the exchange once the output buffer is empty, and closes
// the connection if the buffer has not shrunk for WriteTimeout.
func (c *connection) awaitFlush(x *exchange, unflushed int, lastProgress time.Time) {
	c.runOnLoopAfter(flushCheckInterval, func() {
		if c.closed {
			x.uncharge(c.server)
			return
		}
		buffered := c.conn.OutboundBuffered()
		switch {
		case buffered == 0:
			c.unsentBytes = 0
			c.updateReclaimable()
			c.finish(x)
		case buffered < unflushed:
			c.awaitFlush(x, buffered, time.Now())
		case time.Since(lastProgress) > c.server.limits.WriteTimeout:
			c.server.limits.Count(AnswerNotTaken)
			c.close()
			x.uncharge(c.server)
		default:
			c.awaitFlush(x, unflushed, lastProgress)
		}
	})
}

// outputAppender appends what is written to the exchange's output.
type outputAppender exchange

// Write implements io.Writer.
func (w *outputAppender) Write(p []byte) (int, error) {
	w.output = append(w.output, p...)
	return len(p), nil
}

// discardLogger drops the log messages of fasthttp.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
