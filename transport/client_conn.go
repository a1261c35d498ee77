package transport

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// aLongTimeAgo is a deadline that ends pending reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// clientConn is an open connection of a client; it serves one call at a time.
type clientConn struct {
	conn           net.Conn
	buffered       *bufio.Reader
	silenceTimeout time.Duration
	reading        responseReading
	// written counts the bytes of the current request that have been written.
	written int
	// deadline is that of the current call; aborted is set when the call's
	// context ends before.
	deadline  time.Time
	aborted   atomic.Bool
	idleSince time.Time
}

func newClientConn(conn net.Conn, silenceTimeout time.Duration, responses *responseBudget) *clientConn {
	c := &clientConn{conn: conn, silenceTimeout: silenceTimeout, reading: responseReading{budget: responses}}
	c.buffered = bufio.NewReader((*deadlineReader)(c))
	return c
}

// roundTrip makes one call; after an error the connection must be closed.
func (c *clientConn) roundTrip(ctx context.Context, deadline time.Time, request *fasthttp.Request,
	response *fasthttp.Response, maxResponseBytes int,
) error {
	c.written, c.deadline = 0, deadline
	if ctx.Done() == nil {
		return c.writeAndRead(request, response, maxResponseBytes)
	}
	stop := context.AfterFunc(ctx, c.abort)
	err := c.writeAndRead(request, response, maxResponseBytes)
	if !stop() && err == nil {
		// The response is complete, but abort has run or is about to, so the
		// connection must not be reused.
		response.SetConnectionClose()
	}
	if ctxErr := ctx.Err(); err != nil && ctxErr != nil {
		return errors.Wrap(ctxErr, err.Error())
	}
	return err
}

// abort ends the current call. It sets aborted before the deadline, and reads and
// writes check aborted after they set theirs, so that none overrides the abort.
func (c *clientConn) abort() {
	c.aborted.Store(true)
	_ = c.conn.SetDeadline(aLongTimeAgo)
}

func (c *clientConn) writeAndRead(request *fasthttp.Request, response *fasthttp.Response, maxResponseBytes int) error {
	if c.silenceTimeout > 0 {
		requestHeartbeats(request)
	}
	if err := c.writeRequest(request); err != nil {
		return errors.Wrap(err, "write request")
	}
	if err := c.skipHeartbeats(); err != nil {
		return errors.Wrap(err, "wait for response")
	}
	response.Reset()
	response.SkipBody = request.Header.IsHead()
	defer c.reading.end()
	return errors.Wrap(c.readResponse(response, maxResponseBytes), "read response")
}

// requestWriters holds write buffers; calls share them, so that a call that waits
// for its response holds none.
var requestWriters = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

func (c *clientConn) writeRequest(request *fasthttp.Request) error {
	writer := requestWriters.Get().(*bufio.Writer)
	defer func() {
		writer.Reset(nil)
		requestWriters.Put(writer)
	}()
	writer.Reset((*deadlineWriter)(c))
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// skipHeartbeats discards heartbeats until the response begins.
func (c *clientConn) skipHeartbeats() error {
	for needed := 1; ; needed++ {
		if _, err := c.buffered.Peek(needed); err != nil {
			return err
		}
		needed = min(c.buffered.Buffered(), len(heartbeatResponse))
		text, _ := c.buffered.Peek(needed)
		if string(text) != heartbeatResponse[:needed] {
			return nil
		}
		if needed == len(heartbeatResponse) {
			_, _ = c.buffered.Discard(needed)
			needed = 0
		}
	}
}

// isStale reports whether the idle connection can't be reused: the peer has
// closed it or sent bytes that belong to no call.
func (c *clientConn) isStale() bool {
	return c.buffered.Buffered() > 0 || hasInput(c.conn)
}

// nextDeadline returns the deadline of the next read or write: that of the call
// or the end of the silence timeout, whichever is earlier.
func (c *clientConn) nextDeadline() time.Time {
	silenceDeadline := time.Now().Add(c.silenceTimeout)
	if c.silenceTimeout <= 0 || c.deadline.Before(silenceDeadline) {
		return c.deadline
	}
	return silenceDeadline
}

// deadlineReader reads from the connection and sets a deadline for each read.
type deadlineReader clientConn

// Read implements io.Reader.
func (r *deadlineReader) Read(p []byte) (int, error) {
	c := (*clientConn)(r)
	_ = c.conn.SetReadDeadline(c.nextDeadline())
	if c.aborted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.conn.Read(p)
	if budgetErr := c.reading.receive(n); budgetErr != nil {
		return 0, budgetErr
	}
	return n, err
}

// deadlineWriter writes to the connection, sets a deadline for each write and
// counts the bytes written.
type deadlineWriter clientConn

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	c := (*clientConn)(w)
	_ = c.conn.SetWriteDeadline(c.nextDeadline())
	if c.aborted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.conn.Write(p)
	c.written += n
	return n, err
}
