package transport

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// counters counts refusals by reason.
type counters struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *counters) add(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[reason]++
}

func (c *counters) of(reason string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[reason]
}

func postRequest(announced, sent int) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", announced, strings.Repeat("b", sent))
}

// TestBudget guards against clients that make a server hold bytes without a bound:
// those that hold most for longest must be cut short, others must be served, and
// everything must be given back.
func TestBudget(t *testing.T) {
	const kib = 1 << 10
	tests := []struct {
		name string
		act  func(t *testing.T, s *Server, h *blockingHandler, c *counters)
		// reason is what must have been counted.
		reason string
	}{
		{"the older of two incomplete bodies is dropped", func(t *testing.T, s *Server, h *blockingHandler, c *counters) {
			older, newer := dial(t, s), dial(t, s)
			sendText(older, postRequest(110*kib, 100*kib))
			awaitHeld(t, s, 110*kib)
			sendText(newer, postRequest(90*kib, 80*kib))
			if got := readAll(older); !strings.HasPrefix(got, "HTTP/1.1 503") || !strings.HasSuffix(got, OverBudget) || !strings.Contains(got, "Retry-After") {
				t.Errorf("older connection got %q, want a refusal", got)
			}
			close(h.open)
			sendText(newer, strings.Repeat("b", 10*kib)+"GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			if got := readAll(newer); strings.Count(got, "whole") != 2 {
				t.Errorf("newer connection got %q, want two responses", got)
			}
		}, OverBudget},
		{"pipelined requests are dropped, the one in service is answered", func(t *testing.T, s *Server, h *blockingHandler, c *counters) {
			conn := dial(t, s)
			sendText(conn, getRequest)
			<-h.entered
			sendText(conn, strings.Repeat(postRequest(60*kib, 60*kib), 6))
			for range 2000 {
				if c.of(OverBudget) > 0 {
					break
				}
				wait(time.Millisecond)
			}
			close(h.open)
			got := readAll(conn)
			if strings.Count(got, "whole") < 1 || strings.Count(got, OverBudget) < 1 {
				t.Errorf("got %q, want a response and refusals", got)
			}
		}, OverBudget},
		{"a response that is not taken is dropped", func(t *testing.T, s *Server, h *blockingHandler, c *counters) {
			close(h.open)
			conn := dial(t, s)
			sendText(conn, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
			awaitHeld(t, s, 1024*kib)
			for range 500 {
				sendText(dial(t, s), postRequest(2*kib, kib))
				if s.limits.Budget.Held() < 1024*kib {
					return
				}
				wait(5 * time.Millisecond)
			}
			t.Error("the response is still held")
		}, OverBudget},
		{"an idle connection makes room", func(t *testing.T, s *Server, h *blockingHandler, c *counters) {
			close(h.open)
			for range 40 {
				conn := dial(t, s)
				sendText(conn, getRequest)
				<-h.entered
			}
		}, ConnectionDisplaced},
		{"the current limit for bodies", func(t *testing.T, s *Server, _ *blockingHandler, _ *counters) {
			conn := dial(t, s)
			sendText(conn, postRequest(200*kib, 0))
			if got := readAll(conn); !strings.HasPrefix(got, "HTTP/1.1 413") {
				t.Errorf("got %q, want a refusal", got)
			}
		}, BodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var counted counters
			h := newBlockingHandler()
			handle := func(ctx *fasthttp.RequestCtx) {
				if string(ctx.Path()) == "/large" {
					ctx.SetBody(make([]byte, 4<<20))
					return
				}
				h.handle(ctx)
			}
			s, err := Listen(loopback, handle, Limits{
				Budget: NewBudget(256 * kib), CurrentBodyBytes: func() int { return 160 * kib }, Connections: 32, Count: counted.add, SocketBytes: 4 * kib,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = s.Close() })
			t.Run("", func(t *testing.T) { tt.act(t, s, h, &counted) }) // its clients are gone afterwards
			for range 1000 {
				if s.limits.Budget.Held() == 0 && s.openConnections.Load() == 0 {
					break
				}
				wait(5 * time.Millisecond)
			}
			if held, reclaiming := s.limits.Budget.Held(), s.limits.Budget.reclaiming.Load(); held != 0 || reclaiming != 0 || s.displacing.Load() != 0 {
				t.Errorf("%d bytes held and %d being reclaimed without clients, %d connections being displaced", held, reclaiming, s.displacing.Load())
			}
			if counted.of(tt.reason) == 0 {
				t.Errorf("%s was not counted", tt.reason)
			}
		})
	}
}

// awaitHeld waits until the server holds at least the bytes.
func awaitHeld(t *testing.T, s *Server, bytes int64) {
	t.Helper()
	for range 2000 {
		if s.limits.Budget.Held() >= bytes {
			return
		}
		wait(time.Millisecond)
	}
	t.Fatalf("%d bytes held, want %d", s.limits.Budget.Held(), bytes)
}

// TestBudgetUnderLoad guards against bytes that are counted twice or never given back
// when clients of all kinds come and go at once.
func TestBudgetUnderLoad(t *testing.T) {
	s, err := Listen(loopback, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) }, Limits{Budget: NewBudget(1 << 20), Connections: 64})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	var clients sync.WaitGroup
	for n := range 200 {
		clients.Go(func() {
			conn, err := net.Dial("tcp", s.Address().String())
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
			switch n % 4 {
			case 0:
				sendText(conn, postRequest(100<<10, 90<<10))
			case 1:
				sendText(conn, strings.Repeat(postRequest(50<<10, 50<<10), 8))
			case 2:
				sendText(conn, getRequest[:20])
			}
			_ = readAll(conn)
		})
	}
	clients.Wait()
	for range 1000 {
		if s.limits.Budget.Held() == 0 {
			return
		}
		wait(5 * time.Millisecond)
	}
	t.Errorf("%d bytes held without clients", s.limits.Budget.Held())
}

// TestCutShortTooLate guards against a refusal without a request: a connection that was
// chosen to be cut short but holds nothing any more when that happens must be kept.
func TestCutShortTooLate(t *testing.T) {
	h := newBlockingHandler()
	close(h.open)
	var counted counters
	s, err := Listen(loopback, h.handle, Limits{Count: counted.add})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	client := dial(t, s)
	sendText(client, getRequest)
	<-h.entered
	s.limits.Budget.mu.Lock()
	for c := range s.limits.Budget.connections {
		c.evicted.Store(true)
		for c.pendingCount.Load() > 0 {
			wait(time.Millisecond)
		}
		c.runOnLoop(c.cutShort)
	}
	s.limits.Budget.mu.Unlock()
	sendText(client, "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	if got := readAll(client); strings.Count(got, "whole") != 2 || strings.Contains(got, "503") {
		t.Errorf("got %q, want two responses", got)
	}
	if count := counted.of(OverBudget); count != 0 {
		t.Errorf("%d refusals were counted, want none", count)
	}
}

// TestCutShortQueue guards against a refusal without a request behind those of dropped
// requests: each request must get one response, and the connection must end after them.
func TestCutShortQueue(t *testing.T) {
	h := newBlockingHandler()
	s, err := Listen(loopback, h.handle, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	client := dial(t, s)
	sendText(client, getRequest)
	<-h.entered
	sendText(client, getRequest+getRequest)
	s.limits.Budget.mu.Lock()
	for c := range s.limits.Budget.connections {
		for c.pendingCount.Load() < 3 {
			wait(time.Millisecond)
		}
		c.runOnLoop(func() { c.cutShort(); close(h.open) })
	}
	s.limits.Budget.mu.Unlock()
	got := readAll(client)
	if strings.Count(got, "whole") != 1 || strings.Count(got, "HTTP/1.1 503") != 2 || strings.Count(got, "Connection: close") != 1 {
		t.Errorf("got %q, want one response and two refusals, the last of which closes", got)
	}
}
