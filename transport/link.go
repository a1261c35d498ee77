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

// aLongTimeAgo is a deadline that ends a read or a write at once.
var aLongTimeAgo = time.Unix(1, 0)

// link is one open connection of a client; one call uses it at a time.
type link struct {
	conn    net.Conn
	reader  *bufio.Reader
	silence time.Duration
	// written counts the bytes of the present request that have left.
	written int
	// deadline is that of the present call; aborted ends it before.
	deadline time.Time
	aborted  atomic.Bool
	idle     time.Time
}

func newLink(conn net.Conn, silence time.Duration) *link {
	l := &link{conn: conn, silence: silence}
	l.reader = bufio.NewReader((*linkReader)(l))
	return l
}

// roundTrip makes one call; after an error the link must be closed.
func (l *link) roundTrip(ctx context.Context, deadline time.Time, request *fasthttp.Request,
	response *fasthttp.Response, limit int,
) error {
	l.written, l.deadline = 0, deadline
	if ctx.Done() == nil {
		return l.exchange(request, response, limit)
	}
	stop := context.AfterFunc(ctx, l.abort)
	err := l.exchange(request, response, limit)
	if !stop() && err == nil {
		// The answer is whole, but the connection may be aborted at any time.
		response.SetConnectionClose()
	}
	if ended := ctx.Err(); err != nil && ended != nil {
		return errors.Wrap(ended, err.Error())
	}
	return err
}

// abort ends the present call; a deadline that is set at the same time is
// followed by a look at aborted.
func (l *link) abort() {
	l.aborted.Store(true)
	_ = l.conn.SetDeadline(aLongTimeAgo)
}

func (l *link) exchange(request *fasthttp.Request, response *fasthttp.Response, limit int) error {
	if l.silence > 0 {
		askForHeartbeat(request)
	}
	if err := l.send(request); err != nil {
		return errors.Wrap(err, "write the request")
	}
	if err := l.skipHeartbeats(); err != nil {
		return errors.Wrap(err, "wait for the answer")
	}
	response.Reset()
	response.SkipBody = request.Header.IsHead()
	return errors.Wrap(response.ReadLimitBody(l.reader, limit), "read the answer")
}

// writers lends buffers to requests, so that no call holds one while it waits.
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

func (l *link) send(request *fasthttp.Request) error {
	writer := writers.Get().(*bufio.Writer)
	defer func() {
		writer.Reset(nil)
		writers.Put(writer)
	}()
	writer.Reset((*linkWriter)(l))
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// skipHeartbeats waits for the answer's first bytes.
func (l *link) skipHeartbeats() error {
	for needed := 1; ; needed++ {
		if _, err := l.reader.Peek(needed); err != nil {
			return err
		}
		needed = min(l.reader.Buffered(), len(heartbeatText))
		text, _ := l.reader.Peek(needed)
		if string(text) != heartbeatText[:needed] {
			return nil
		}
		if needed == len(heartbeatText) {
			_, _ = l.reader.Discard(needed)
			needed = 0
		}
	}
}

// stale reports whether the peer has closed the connection or sent bytes
// that no call has asked for.
func (l *link) stale() bool {
	return l.reader.Buffered() > 0 || hasInput(l.conn)
}

// until returns when the next read or write must have moved a byte.
func (l *link) until() time.Time {
	silent := time.Now().Add(l.silence)
	if l.silence <= 0 || l.deadline.Before(silent) {
		return l.deadline
	}
	return silent
}

type linkReader link

// Read implements io.Reader.
func (r *linkReader) Read(p []byte) (int, error) {
	l := (*link)(r)
	_ = l.conn.SetReadDeadline(l.until())
	if l.aborted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return l.conn.Read(p)
}

type linkWriter link

// Write implements io.Writer.
func (w *linkWriter) Write(p []byte) (int, error) {
	l := (*link)(w)
	_ = l.conn.SetWriteDeadline(l.until())
	if l.aborted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := l.conn.Write(p)
	l.written += n
	return n, err
}
