package transport

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestDrainAfterFaults runs clients that fail in random ways at the same time. A
// request that is counted twice or never uncounted would keep Drain from ending.
func TestDrainAfterFaults(t *testing.T) {
	const clients, steps = 40, 8
	faults := []struct {
		name string
		act  func(conn net.Conn)
	}{
		{"complete request", func(c net.Conn) { sendText(c, getRequest) }},
		{"pipelined", func(c net.Conn) { sendText(c, getRequest+getRequest+getRequest) }},
		{"partial header", func(c net.Conn) { sendText(c, getRequest[:9]) }},
		{"partial body", func(c net.Conn) { sendText(c, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc") }},
		{"not HTTP", func(c net.Conn) { sendText(c, "hello\r\n\r\n") }},
		{"large response", func(c net.Conn) { sendText(c, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n") }},
		{"handler panic", func(c net.Conn) { sendText(c, "GET /panic HTTP/1.1\r\nHost: x\r\n\r\n") }},
		{"read a few bytes", func(c net.Conn) {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, _ = c.Read(make([]byte, 100))
		}},
		{"reset", func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}},
		{"close", func(c net.Conn) { _ = c.Close() }},
	}
	s, err := Listen(loopback, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/large":
			ctx.SetBody(make([]byte, 8<<20))
		case "/panic":
			panic(ctx)
		}
	}, Limits{PipelinedRequests: 4, Handlers: 8, WriteTimeout: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for seed := range uint64(clients) {
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			conn, err := net.Dial("tcp", s.Address().String())
			if err != nil {
				t.Error(err)
				return
			}
			for range steps {
				faults[random.IntN(len(faults))].act(conn)
			}
			_ = conn.Close()
		})
	}
	all.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		t.Error(err)
	}
	if inFlight, duringDrain := s.inFlight.Load(), s.inFlightDuringDrain.Load(); inFlight != 0 || duringDrain != 0 {
		t.Errorf("%d requests and %d from the drain are still counted", inFlight, duringDrain)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if open := s.openConnections.Load(); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}
