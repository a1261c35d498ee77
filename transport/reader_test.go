package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/panjf2000/gnet/v2"
)

// fakeConn is a gnet.Conn that returns the received bytes and discards writes.
type fakeConn struct {
	gnet.Conn
	received bytes.Buffer
}

func (c *fakeConn) Peek(n int) ([]byte, error) {
	if n <= 0 {
		return c.received.Bytes(), nil
	}
	return c.received.Bytes()[:n], nil
}

func (c *fakeConn) Next(n int) ([]byte, error)     { return c.received.Next(n), nil }
func (c *fakeConn) Discard(n int) (int, error)     { return len(c.received.Next(n)), nil }
func (c *fakeConn) InboundBuffered() int           { return c.received.Len() }
func (c *fakeConn) Write(text []byte) (int, error) { return len(text), nil }

// parseRequests passes the text to a requestReader in pieces. It returns a line
// for each request and the reason of the first refusal.
func parseRequests(text []byte, pieceBytes int) string {
	limits := Limits{HeaderBytes: 300, BodyBytes: 100}
	r := &requestReader{limits: &limits, headerParsers: &sync.Pool{New: func() any {
		return &headerParser{buffered: bufio.NewReaderSize(nil, limits.HeaderBytes)}
	}}}
	conn := &fakeConn{}
	var parsed strings.Builder
	for len(text) > 0 {
		size := min(pieceBytes, len(text))
		conn.received.Write(text[:size])
		text = text[size:]
		for {
			x, reason := r.next(conn)
			if reason != "" {
				return parsed.String() + reason
			}
			if x == nil {
				break
			}
			request := &x.ctx.Request
			fmt.Fprintf(&parsed, "%s %s %q\n", request.Header.Method(), request.RequestURI(), request.Body())
		}
	}
	return parsed.String()
}

// FuzzReader checks that input is parsed in the same way when it arrives in pieces
// and when it arrives at once.
func FuzzReader(f *testing.F) {
	seeds := []string{
		"GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
		"GET /a HTTP/1.1\nHost: x\n\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"hello\r\n\r\n",
		"\r\n\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n",
	}
	for _, seed := range seeds {
		f.Add([]byte(seed), uint8(7))
	}
	f.Fuzz(func(t *testing.T, text []byte, pieceBytes uint8) {
		atOnce := parseRequests(text, len(text))
		if inPieces := parseRequests(text, int(pieceBytes)+1); inPieces != atOnce {
			t.Errorf("in pieces of %d: %s\nat once: %s", int(pieceBytes)+1, inPieces, atOnce)
		}
	})
}

func TestReaderRefuses(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"content length and chunked encoding", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", BadRequest},
		{"two content lengths", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", BadRequest},
		{"header that ends early for a lenient parser", "GET /a HTTP/1.1\nHost: x\n\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n", BadRequest},
		{"chunk size that overflows", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\n", BadRequest},
		{"unbounded chunk line", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", maxChunkLineBytes), BadRequest},
		{"unbounded header", "GET /a HTTP/1.1\r\nHost: " + strings.Repeat("x", 300), HeaderTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := parseRequests([]byte(tt.text), len(tt.text)); got != tt.want {
				t.Errorf("parsed %q, want %q", got, tt.want)
			}
		})
	}
}
