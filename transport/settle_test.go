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

// TestDrainAfterFaults lets clients misbehave in every order, also together;
// each request must be accounted for once, or the drain could not end.
func TestDrainAfterFaults(t *testing.T) {
	const clients, steps = 40, 8
	faults := []struct {
		name string
		act  func(conn net.Conn)
	}{
		{"whole request", func(c net.Conn) { say(c, getRequest) }},
		{"pipelined", func(c net.Conn) { say(c, getRequest+getRequest+getRequest) }},
		{"half a header", func(c net.Conn) { say(c, getRequest[:9]) }},
		{"half a body", func(c net.Conn) { say(c, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc") }},
		{"no HTTP", func(c net.Conn) { say(c, "hello\r\n\r\n") }},
		{"a large answer", func(c net.Conn) { say(c, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n") }},
		{"a panic", func(c net.Conn) { say(c, "GET /panic HTTP/1.1\r\nHost: x\r\n\r\n") }},
		{"read a little", func(c net.Conn) {
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
	}, Limits{Pipelined: 4, Handlers: 8, WriteTimeout: 200 * time.Millisecond})
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
	if inFlight, late := s.inFlight.Load(), s.late.Load(); inFlight != 0 || late != 0 {
		t.Errorf("%d and %d requests are still counted", inFlight, late)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if open := s.connections.Load(); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}
