package transport

import (
	"bufio"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

type counts struct {
	mu    sync.Mutex
	heard []string
}

func (c *counts) count(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = append(c.heard, reason)
}

func (c *counts) all() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.heard, " ")
}

// echo answers with the path and the length of the body.
func echo(ctx *fasthttp.RequestCtx) {
	ctx.SetBodyString(string(ctx.Path()) + ":" + string(ctx.PostBody()))
}

func TestServerInput(t *testing.T) {
	limits := Limits{
		HeaderBytes: 200, BodyBytes: 20, Pipelined: 2,
		RequestTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute,
	}
	tests := []struct {
		name string
		send string
		// want lists the status and body of each answer before the close.
		want  string
		count string
	}{
		{"one request", "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200 /a:", ""},
		{"back to back", "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200 /a: 200 /b:", ""},
		{"body", "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", "200 /a:abc", ""},
		{"chunked body", "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\n", "200 /a:abcd", ""},
		{"body too large", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 21\r\n\r\n", "413 bodyTooLarge", BodyTooLarge},
		{"chunks too large", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n123456789012345\r\n6\r\n", "413 bodyTooLarge", BodyTooLarge},
		{"broken chunk", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400 badRequest", BadRequest},
		{"header too large", "GET /a HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 200), "431 headerTooLarge", HeaderTooLarge},
		{"no HTTP", "hello\r\n\r\n", "400 badRequest", BadRequest},
		{"header half sent", "GET /a HT", "", RequestIncomplete},
		{"body half sent", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na", "", RequestIncomplete},
		{"refusal waits its turn", "GET /a HTTP/1.1\r\nHost: x\r\n\r\nhello\r\n\r\n", "200 /a: 400 badRequest", BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var heard counts
			limits := limits
			limits.Count = heard.count
			s, err := Listen(loopback, echo, limits)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			if got := converse(t, s.Address(), tt.send); got != tt.want {
				t.Errorf("answers %q, want %q", got, tt.want)
			}
			if heard.all() != tt.count {
				t.Errorf("counted %q, want %q", heard.all(), tt.count)
			}
		})
	}
}

// converse sends the text and returns the answers up to the close.
func converse(t *testing.T, peer netip.AddrPort, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", peer.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	var answers []string
	reader := bufio.NewReader(conn)
	for {
		var response fasthttp.Response
		if err := response.Read(reader); err != nil {
			return strings.Join(answers, " ")
		}
		answers = append(answers, strings.Join([]string{
			statusText(&response), string(response.Body()),
		}, " "))
	}
}

func statusText(response *fasthttp.Response) string {
	return strings.Fields(response.Header.String())[1]
}
