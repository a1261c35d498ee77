package transport

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"
)

// flushCheckInterval is how often an answer that the other side has not yet
// taken whole is looked at.
const flushCheckInterval = 20 * time.Millisecond

// lingerTimeout is how long input is still read and dropped after a refusal,
// so that a reset does not overtake the answer.
const lingerTimeout = time.Second

// connection is one client's connection; all fields belong to its event loop,
// except the exchange that a handler works on.
type connection struct {
	server *Server
	conn   gnet.Conn
	remote remoteEnd
	reader reader

	waiting []*exchange
	running bool
	// deaf is set after a refusal: all further input is dropped.
	deaf   bool
	closed bool

	ctx    context.Context
	cancel context.CancelFunc

	deadline time.Time
	overdue  string
	timer    *time.Timer
	timerAt  time.Time
}

// exchange is one request and its answer.
type exchange struct {
	ctx     fasthttp.RequestCtx
	refused bool
}

func newConnection(s *Server, conn gnet.Conn) *connection {
	c := &connection{server: s, conn: conn}
	c.remote = remoteEnd{local: conn.LocalAddr(), remote: conn.RemoteAddr()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.reader = reader{limits: &s.limits}
	return c
}

// receive reads as many whole requests as have arrived.
func (c *connection) receive() gnet.Action {
	for !c.deaf && !c.server.drained.Load() {
		next, reason := c.reader.next(c.conn)
		if reason != "" {
			c.refuse(reason)
			break
		}
		if next == nil {
			break
		}
		if len(c.waiting) >= c.server.limits.Pipelined {
			c.refuse(TooManyPipelined)
			break
		}
		c.enqueue(next)
	}
	if c.deaf || c.server.drained.Load() {
		_, _ = c.conn.Discard(-1)
	}
	c.plan()
	return gnet.None
}

// refuse queues a refusal behind the answers that are due, and reads nothing more.
func (c *connection) refuse(reason string) {
	c.server.limits.Count(reason)
	c.deaf = true
	x := &exchange{refused: true}
	c.fillRefusal(&x.ctx, reason)
	c.enqueue(x)
}

func (c *connection) fillRefusal(ctx *fasthttp.RequestCtx, reason string) {
	ctx.Response.Reset()
	ctx.Response.SetStatusCode(statusOf(reason))
	ctx.Response.SetConnectionClose()
	if c.server.limits.Refuse != nil {
		c.server.limits.Refuse(&ctx.Response, reason)
		return
	}
	ctx.Response.SetBodyString(reason)
}

func (c *connection) enqueue(x *exchange) {
	c.server.inFlight.Add(1)
	c.waiting = append(c.waiting, x)
	if !c.running {
		c.start()
	}
}

// start hands the first waiting request to the pool; a refusal is answered at once.
func (c *connection) start() {
	x := c.waiting[0]
	c.running = true
	if x.refused {
		c.answer(x)
		return
	}
	c.server.handlers.Add(1)
	err := c.server.pool.Submit(func() {
		defer c.server.handlers.Done()
		c.handle(x)
	})
	if err == nil {
		return
	}
	c.server.handlers.Done()
	c.server.limits.Count(TooManyRequests)
	c.deaf = true
	x.refused = true
	c.fillRefusal(&x.ctx, TooManyRequests)
	c.answer(x)
}

func (c *connection) handle(x *exchange) {
	x.ctx.Init2(&c.remote, silent{}, false)
	x.ctx.SetUserValue(contextKey{}, c.ctx)
	func() {
		defer func() {
			if recover() != nil {
				c.server.limits.Count(HandlerPanicked)
				c.fillRefusal(&x.ctx, HandlerPanicked)
			}
		}()
		c.server.handler(&x.ctx)
	}()
	c.answer(x)
}

// answer writes the answer; only one of a connection is under way at a time,
// so that answers leave in the order of their requests.
func (c *connection) answer(x *exchange) {
	request, response := &x.ctx.Request, &x.ctx.Response
	last := x.refused || response.ConnectionClose() || request.Header.ConnectionClose() || c.server.draining.Load()
	if last {
		response.SetConnectionClose()
	} else if !request.Header.IsHTTP11() {
		response.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	response.SkipBody = request.Header.IsHead()
	buffer := bytebufferpool.Get()
	if _, err := response.WriteTo(buffer); err != nil {
		last = true
	}
	_ = c.conn.AsyncWrite(buffer.B, func(gnet.Conn, error) error {
		bytebufferpool.Put(buffer)
		c.sent(last)
		return nil
	})
}

// sent runs on the event loop once the answer has been passed to the kernel
// or to the connection's own buffer.
func (c *connection) sent(last bool) {
	if c.closed {
		return
	}
	if c.conn.OutboundBuffered() > 0 {
		c.awaitFlush(last, time.Now().Add(c.server.limits.WriteTimeout))
		return
	}
	c.finish(last)
}

func (c *connection) awaitFlush(last bool, until time.Time) {
	time.AfterFunc(flushCheckInterval, func() {
		_ = c.onLoop(func() {
			switch {
			case c.closed:
			case c.conn.OutboundBuffered() == 0:
				c.finish(last)
			case time.Now().After(until):
				c.server.limits.Count(AnswerNotTaken)
				c.shut()
			default:
				c.awaitFlush(last, until)
			}
		})
	})
}

// finish takes the answered request off the queue and starts the next.
func (c *connection) finish(last bool) {
	c.waiting[0] = nil
	c.waiting = c.waiting[1:]
	c.running = false
	c.server.settle()
	if last {
		c.dropWaiting()
		c.linger()
		return
	}
	if len(c.waiting) > 0 {
		c.start()
	}
	c.plan()
}

// linger closes the connection, after a refusal only once its input has had
// time to run out.
func (c *connection) linger() {
	if !c.deaf {
		c.shut()
		return
	}
	c.expireIn(lingerTimeout, "")
}

func (c *connection) dropWaiting() {
	for range c.waiting {
		c.server.settle()
	}
	c.waiting = nil
}

// forget runs when the connection is closed.
func (c *connection) forget() {
	c.closed = true
	c.cancel()
	c.dropWaiting()
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *connection) shut() {
	_ = c.conn.EventLoop().Close(c.conn)
}

func (c *connection) onLoop(act func()) error {
	return c.conn.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		act()
		return nil
	}))
}

// remoteEnd gives handlers the two addresses of a connection.
type remoteEnd struct {
	net.Conn
	local, remote net.Addr
}

func (e *remoteEnd) LocalAddr() net.Addr  { return e.local }
func (e *remoteEnd) RemoteAddr() net.Addr { return e.remote }

type silent struct{}

func (silent) Printf(string, ...any) {}

type contextKey struct{}

// Context returns a context that ends when the connection of the request is closed.
func Context(ctx *fasthttp.RequestCtx) context.Context {
	if bound, found := ctx.UserValue(contextKey{}).(context.Context); found {
		return bound
	}
	return context.Background()
}
