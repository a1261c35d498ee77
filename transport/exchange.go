package transport

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// flushCheckInterval is how often an answer that the other side has not
	// yet taken whole is looked at.
	flushCheckInterval = 20 * time.Millisecond
	// lingerTimeout is how long input is dropped after a refusal.
	lingerTimeout = time.Second
	// keptOutputBytes bounds the buffer that is kept for another answer.
	keptOutputBytes = 64 << 10
)

// exchange is one request and its answer; from start to sent it belongs to
// a goroutine of the pool, otherwise to the connection's event loop.
type exchange struct {
	ctx        fasthttp.RequestCtx
	connection *connection
	refused    bool
	// last is set if the connection closes after the answer.
	last bool
	// late is set if the request came in a drain.
	late   bool
	output []byte
}

var exchanges = sync.Pool{New: func() any { return new(exchange) }}

func newExchange() *exchange { return exchanges.Get().(*exchange) }

func (x *exchange) release() {
	x.ctx.Request.Reset()
	x.ctx.Response.Reset()
	x.ctx.ResetUserValues()
	x.connection = nil
	x.refused, x.last, x.late = false, false, false
	x.output = x.output[:0]
	if cap(x.output) > keptOutputBytes {
		x.output = nil
	}
	exchanges.Put(x)
}

// handle runs on the pool.
func (x *exchange) handle() {
	c := x.connection
	defer c.server.handlers.Done()
	if err := x.runHandler(); err != nil {
		c.server.limits.Panicked(err)
		x.refuse(&c.server.limits, HandlerPanicked)
	}
	x.answer()
}

func (x *exchange) runHandler() (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("handle %s: panic: %v", x.ctx.Path(), cause)
		}
	}()
	x.connection.server.handler(&x.ctx)
	return nil
}

// refuse counts the refusal and makes it the answer.
func (x *exchange) refuse(limits *Limits, reason string) {
	limits.Count(reason)
	x.refused, x.last = true, true
	response := &x.ctx.Response
	response.Reset()
	response.SetStatusCode(statusOf(reason))
	if limits.Refuse != nil {
		limits.Refuse(response, reason)
		return
	}
	response.SetBodyString(reason)
}

// answer writes the answer; a connection has one under way at a time, so
// that answers leave in the order of their requests.
func (x *exchange) answer() {
	request, response := &x.ctx.Request, &x.ctx.Response
	x.last = x.last || response.ConnectionClose() || x.endsDrained()
	if x.last {
		response.SetConnectionClose()
	} else if !request.Header.IsHTTP11() {
		response.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	response.SkipBody = request.Header.IsHead()
	x.output = x.output[:0]
	if _, err := response.WriteTo((*outputWriter)(x)); err != nil {
		x.last = true
	}
	_ = x.connection.conn.AsyncWrite(x.output, x.sent)
}

// endsDrained reports whether the connection has nothing else to answer while
// the server drains.
func (x *exchange) endsDrained() bool {
	c := x.connection
	return c.server.draining.Load() && c.queued.Load() == 1
}

// sent runs on the event loop once the answer has been passed to the kernel
// or to the connection's own buffer.
func (x *exchange) sent(gnet.Conn, error) error {
	c := x.connection
	c.beat.wanted = nil
	switch {
	case c.closed:
		x.release()
	case c.conn.OutboundBuffered() > 0:
		c.awaitFlush(x, c.conn.OutboundBuffered(), time.Now())
	default:
		c.finish(x)
	}
	return nil
}

// awaitFlush finishes the exchange once the other side has taken the answer,
// and gives up if it has taken nothing since for the write timeout.
func (c *connection) awaitFlush(x *exchange, left int, since time.Time) {
	c.afterOnLoop(flushCheckInterval, func() {
		if c.closed {
			return
		}
		now := c.conn.OutboundBuffered()
		switch {
		case now == 0:
			c.finish(x)
		case now < left:
			c.awaitFlush(x, now, time.Now())
		case time.Since(since) > c.server.limits.WriteTimeout:
			c.server.limits.Count(AnswerNotTaken)
			c.shut()
		default:
			c.awaitFlush(x, left, since)
		}
	})
}

type outputWriter exchange

// Write implements io.Writer.
func (w *outputWriter) Write(p []byte) (int, error) {
	w.output = append(w.output, p...)
	return len(p), nil
}

type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}
