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

// input is a connection of which only the received bytes are used.
type input struct {
	gnet.Conn
	received bytes.Buffer
}

func (i *input) Peek(n int) ([]byte, error) {
	if n <= 0 {
		return i.received.Bytes(), nil
	}
	return i.received.Bytes()[:n], nil
}

func (i *input) Next(n int) ([]byte, error)     { return i.received.Next(n), nil }
func (i *input) Discard(n int) (int, error)     { return len(i.received.Next(n)), nil }
func (i *input) InboundBuffered() int           { return i.received.Len() }
func (i *input) Write(text []byte) (int, error) { return len(text), nil }

// requestsIn feeds the text in pieces and tells which requests were read, up
// to the first refusal.
func requestsIn(text []byte, piece int) string {
	limits := Limits{HeaderBytes: 300, BodyBytes: 100}
	r := &reader{limits: &limits, parsers: &sync.Pool{New: func() any {
		return &headerParser{buffered: bufio.NewReaderSize(nil, limits.HeaderBytes)}
	}}}
	conn := &input{}
	var read strings.Builder
	for len(text) > 0 {
		size := min(piece, len(text))
		conn.received.Write(text[:size])
		text = text[size:]
		for {
			x, reason := r.next(conn)
			if reason != "" {
				return read.String() + reason
			}
			if x == nil {
				break
			}
			request := &x.ctx.Request
			fmt.Fprintf(&read, "%s %s %q\n", request.Header.Method(), request.RequestURI(), request.Body())
		}
	}
	return read.String()
}

// FuzzReader checks that it does not matter in which pieces the input comes,
// and that no request passes the limits.
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
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		whole := requestsIn(text, len(text))
		if pieces := requestsIn(text, int(piece)+1); pieces != whole {
			t.Errorf("in pieces of %d: %s\nat once: %s", int(piece)+1, pieces, whole)
		}
	})
}

func TestReaderRefuses(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"length and chunks", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", BadRequest},
		{"two lengths", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", BadRequest},
		{"header that ends early", "GET /a HTTP/1.1\nHost: x\n\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n", BadRequest},
		{"chunk size that overflows", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\n", BadRequest},
		{"endless chunk line", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", maxChunkLineBytes), BadRequest},
		{"endless header", "GET /a HTTP/1.1\r\nHost: " + strings.Repeat("x", 300), HeaderTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := requestsIn([]byte(tt.text), len(tt.text)); got != tt.want {
				t.Errorf("read %q, want %q", got, tt.want)
			}
		})
	}
}
