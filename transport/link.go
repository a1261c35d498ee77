package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// link is one open connection of a client; one call uses it at a time.
type link struct {
	conn    net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	written int
	idle    time.Time
}

func newLink(conn net.Conn) *link {
	l := &link{conn: conn}
	l.reader = bufio.NewReader(conn)
	l.writer = bufio.NewWriter((*countingWriter)(l))
	return l
}

func (l *link) roundTrip(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, limit int) error {
	l.written = 0
	if deadline, limited := ctx.Deadline(); limited {
		_ = l.conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(time.Unix(1, 0)) })
	err := l.exchange(request, response, limit)
	if !stop() && err == nil {
		// The connection's deadline is spoilt, but the answer is whole.
		response.SetConnectionClose()
	}
	if ended := ctx.Err(); err != nil && ended != nil {
		return errors.Wrap(ended, err.Error())
	}
	return err
}

func (l *link) exchange(request *fasthttp.Request, response *fasthttp.Response, limit int) error {
	if err := request.Write(l.writer); err != nil {
		return errors.Wrap(err, "write the request")
	}
	if err := l.writer.Flush(); err != nil {
		return errors.Wrap(err, "write the request")
	}
	response.Reset()
	response.SkipBody = request.Header.IsHead()
	return errors.Wrap(response.ReadLimitBody(l.reader, limit), "read the answer")
}

// stale reports whether the peer has closed the connection or sent bytes
// that no call has asked for.
func (l *link) stale() bool {
	if l.reader.Buffered() > 0 {
		return true
	}
	return hasInput(l.conn)
}

type countingWriter link

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.written += n
	return n, err
}
