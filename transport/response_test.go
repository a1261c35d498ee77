package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestLargeResponses guards against peers whose responses, announced or just sent, make
// the client's process hold more than its limit: the call must fail, later ones not.
func TestLargeResponses(t *testing.T) {
	const mib = 1 << 20
	body := strings.Repeat("b", mib)
	tests := []struct {
		name  string
		calls int
		send  func(conn net.Conn)
		fails bool
	}{
		{"announced body over the limit", 1, func(c net.Conn) { _, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 5*mib) }, true},
		{"endless chunks", 1, func(c net.Conn) {
			sendText(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for range 6 {
				sendText(c, "100000\r\n"+body+"\r\n")
			}
		}, true},
		{"endless body without a length", 1, func(c net.Conn) {
			sendText(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			for range 6 {
				sendText(c, body)
			}
		}, true},
		{"endless headers", 1, func(c net.Conn) { sendText(c, "HTTP/1.1 200 OK\r\n"); sendText(c, strings.Repeat("A: b\r\n", mib)) }, true},
		{"endless interim responses", 1, func(c net.Conn) { sendText(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000)) }, true},
		{"large responses at once", 8, func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 3*mib, body)
		}, true},
		{"one large response", 1, func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s%s", 3*mib, body, body, body)
		}, false},
		{"one large chunked response", 1, func(c net.Conn) {
			sendText(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n"+body+"\r\n0\r\n\r\n")
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := NewClient(ClientLimits{ResponseBytes: 4 * mib, TotalResponseBytes: 4 * mib, SilenceTimeout: -1})
			var peers sync.WaitGroup
			client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
				clientSide, server := net.Pipe()
				peers.Go(func() {
					if readRequest(server) {
						tt.send(server)
					}
					_, _ = io.Copy(io.Discard, server)
					_ = server.Close()
				})
				return clientSide, nil
			}
			var calls sync.WaitGroup
			for range tt.calls {
				calls.Go(func() {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					if tt.calls > 1 { // those within the limit get no end of their response
						var stop context.CancelFunc
						ctx, stop = context.WithTimeout(ctx, heartbeatInterval/10)
						defer stop()
					}
					request, response := newGet()
					if err := client.Do(ctx, loopback, request, response); (err != nil) != tt.fails {
						t.Errorf("error %v, want one: %v", err, tt.fails)
					}
				})
			}
			calls.Wait()
			if held := client.responses.held.Load(); held != 0 {
				t.Errorf("%d bytes held after the calls", held)
			}
			_ = client.Close()
			peers.Wait()
		})
	}
}

func newGet() (*fasthttp.Request, *fasthttp.Response) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("/")
	request.Header.SetHost("x")
	return request, response
}
