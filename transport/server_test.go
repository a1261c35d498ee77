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

// reasonRecorder records the reasons passed to Limits.Count.
type reasonRecorder struct {
	mu      sync.Mutex
	reasons []string
}

func (r *reasonRecorder) record(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons = append(r.reasons, reason)
}

func (r *reasonRecorder) joined() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.reasons, " ")
}

// echo responds with the path and the body of the request.
func echo(ctx *fasthttp.RequestCtx) {
	ctx.SetBodyString(string(ctx.Path()) + ":" + string(ctx.PostBody()))
}

func TestServerInput(t *testing.T) {
	limits := Limits{
		HeaderBytes: 200, BodyBytes: 20, PipelinedRequests: 2,
		RequestTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute,
	}
	tests := []struct {
		name string
		send string
		// want lists the status code and body of each response until the server
		// closes the connection.
		want        string
		wantCounted string
	}{
		{"one request", "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200 /a:", ""},
		{"pipelined requests", "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200 /a: 200 /b:", ""},
		{"body with a length", "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", "200 /a:abc", ""},
		{"chunked body", "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\n", "200 /a:abcd", ""},
		{"body too large", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 21\r\n\r\n", "413 bodyTooLarge", BodyTooLarge},
		{"chunked body too large", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n123456789012345\r\n6\r\n", "413 bodyTooLarge", BodyTooLarge},
		{"invalid chunk size", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400 badRequest", BadRequest},
		{"header too large", "GET /a HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 200), "431 headerTooLarge", HeaderTooLarge},
		{"not HTTP", "hello\r\n\r\n", "400 badRequest", BadRequest},
		{"partial header", "GET /a HT", "", RequestIncomplete},
		{"partial body", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na", "", RequestIncomplete},
		{"refusal after a pending response", "GET /a HTTP/1.1\r\nHost: x\r\n\r\nhello\r\n\r\n", "200 /a: 400 badRequest", BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var recorder reasonRecorder
			limits := limits
			limits.Count = recorder.record
			s, err := Listen(loopback, echo, limits)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			if got := sendAndReadAll(t, s.Address(), tt.send); got != tt.want {
				t.Errorf("responses %q, want %q", got, tt.want)
			}
			if recorder.joined() != tt.wantCounted {
				t.Errorf("counted %q, want %q", recorder.joined(), tt.wantCounted)
			}
		})
	}
}

// sendAndReadAll sends the text and returns the status code and body of each
// response until the server closes the connection.
func sendAndReadAll(t *testing.T, peer netip.AddrPort, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", peer.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	var responses []string
	reader := bufio.NewReader(conn)
	for {
		var response fasthttp.Response
		if err := response.Read(reader); err != nil {
			return strings.Join(responses, " ")
		}
		responses = append(responses, strings.Join([]string{
			statusCode(&response), string(response.Body()),
		}, " "))
	}
}

func statusCode(response *fasthttp.Response) string {
	return strings.Fields(response.Header.String())[1]
}
