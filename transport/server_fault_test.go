package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const getRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"

// blockingHandler blocks requests until open is closed.
type blockingHandler struct {
	entered   chan struct{}
	open      chan struct{}
	cancelled chan struct{}
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{entered: make(chan struct{}, 100), open: make(chan struct{}), cancelled: make(chan struct{}, 100)}
}

// handle also returns when the connection is closed.
func (h *blockingHandler) handle(ctx *fasthttp.RequestCtx) {
	h.entered <- struct{}{}
	select {
	case <-h.open:
	case <-ConnectionContext(ctx).Done():
		h.cancelled <- struct{}{}
	}
	ctx.SetBodyString("whole")
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// readAll reads until the server closes the connection.
func readAll(conn net.Conn) string {
	text, _ := io.ReadAll(conn)
	return string(text)
}

func TestServerFaults(t *testing.T) {
	tests := []struct {
		name        string
		limits      Limits
		act         func(t *testing.T, s *Server, h *blockingHandler)
		wantCounted string
	}{
		{"client closes early", Limits{}, func(t *testing.T, s *Server, h *blockingHandler) {
			conn := dial(t, s)
			sendText(conn, getRequest)
			<-h.entered
			_ = conn.Close()
			<-h.cancelled
		}, ""},
		{"too many connections", Limits{Connections: 1}, func(t *testing.T, s *Server, h *blockingHandler) {
			sendText(dial(t, s), getRequest)
			<-h.entered
			if got := readAll(dial(t, s)); got != "" {
				t.Errorf("second connection got %q, want nothing", got)
			}
			close(h.open)
		}, TooManyConnections},
		{"too many pipelined requests", Limits{PipelinedRequests: 2}, func(t *testing.T, s *Server, h *blockingHandler) {
			conn := dial(t, s)
			sendText(conn, strings.Repeat(getRequest, 4))
			<-h.entered
			close(h.open)
			got := readAll(conn)
			if strings.Count(got, "whole") != 2 || !strings.HasSuffix(got, TooManyPipelined) {
				t.Errorf("responses %q, want 2 and a refusal", got)
			}
		}, TooManyPipelined},
		{"too many requests handled at the same time", Limits{Handlers: 1}, func(t *testing.T, s *Server, h *blockingHandler) {
			sendText(dial(t, s), getRequest)
			<-h.entered
			conn := dial(t, s)
			sendText(conn, getRequest)
			if got := readAll(conn); !strings.HasPrefix(got, "HTTP/1.1 503") || !strings.HasSuffix(got, TooManyRequests) {
				t.Errorf("response %q, want a refusal", got)
			}
			close(h.open)
		}, TooManyRequests},
		{"idle connection", Limits{IdleTimeout: 50 * time.Millisecond}, func(t *testing.T, s *Server, _ *blockingHandler) {
			if got := readAll(dial(t, s)); got != "" {
				t.Errorf("got %q, want nothing", got)
			}
		}, ConnectionIdle},
		{"waiting for a response is not idle", Limits{IdleTimeout: 50 * time.Millisecond}, func(t *testing.T, s *Server, h *blockingHandler) {
			conn := dial(t, s)
			sendText(conn, "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nHeartbeat: 1s\r\n\r\n")
			<-h.entered
			first := make([]byte, len(heartbeatResponse))
			if _, err := io.ReadFull(conn, first); err != nil || string(first) != heartbeatResponse {
				t.Errorf("got %q, %v, want a heartbeat", first, err)
			}
			close(h.open)
			if got := readAll(conn); !strings.HasSuffix(got, "whole") {
				t.Errorf("response %q, want the handler's", got)
			}
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var recorder reasonRecorder
			tt.limits.Count = recorder.record
			h := newBlockingHandler()
			s, err := Listen(loopback, h.handle, tt.limits)
			if err != nil {
				t.Fatal(err)
			}
			tt.act(t, s, h)
			if err := s.Close(); err != nil {
				t.Error(err)
			}
			if recorder.joined() != tt.wantCounted {
				t.Errorf("counted %q, want %q", recorder.joined(), tt.wantCounted)
			}
		})
	}
}

// TestAnswerNotTaken checks that the server closes a connection whose client does
// not read the response.
func TestAnswerNotTaken(t *testing.T) {
	reasons := make(chan string, 1)
	s, err := Listen(loopback, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, 64<<20)) },
		Limits{WriteTimeout: 100 * time.Millisecond, Count: func(reason string) { reasons <- reason }})
	if err != nil {
		t.Fatal(err)
	}
	sendText(dial(t, s), getRequest)
	if reason := <-reasons; reason != AnswerNotTaken {
		t.Errorf("counted %q", reason)
	}
	_ = s.Close()
}

func TestHandlerPanics(t *testing.T) {
	var recorder reasonRecorder
	panics := make(chan error, 1)
	s, err := Listen(loopback, func(*fasthttp.RequestCtx) { panic(t.Name()) },
		Limits{Count: recorder.record, OnPanic: func(err error) { panics <- err }})
	if err != nil {
		t.Fatal(err)
	}
	if got := sendAndReadAll(t, s.Address(), getRequest); got != "500 "+HandlerPanicked || recorder.joined() != HandlerPanicked {
		t.Errorf("response %q, counted %q", got, recorder.joined())
	}
	if got := fmt.Sprintf("%+v", <-panics); !strings.Contains(got, "handle /a: panic: "+t.Name()) || !strings.Contains(got, "server_fault_test.go") {
		t.Errorf("panic reported as %s", got)
	}
	_ = s.Close()
}

func TestDrain(t *testing.T) {
	tests := []struct {
		name string
		send string
		want string
	}{
		{"one request in flight", getRequest, "200 whole"},
		{"pipelined requests", getRequest + getRequest, "200 whole 200 whole"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newBlockingHandler()
			s, err := Listen(loopback, h.handle, Limits{})
			if err != nil {
				t.Fatal(err)
			}
			responses := make(chan string, 1)
			go func() { responses <- sendAndReadAll(t, s.Address(), tt.send) }()
			<-h.entered
			cancelled, cancel := context.WithCancel(t.Context())
			cancel()
			if err := s.Drain(cancelled); err == nil {
				t.Error("Drain returned before the request in flight was answered")
			}
			close(h.open)
			if err := s.Drain(t.Context()); err != nil {
				t.Error(err)
			}
			if got := <-responses; got != tt.want {
				t.Errorf("responses %q, want %q", got, tt.want)
			}
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestListenAgainOnTheSameAddress(t *testing.T) {
	address := loopback
	for range 3 {
		s, err := Listen(address, echo, Limits{})
		if err != nil {
			t.Fatal(err)
		}
		address = s.Address()
		if got := sendAndReadAll(t, address, "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); got != "200 /a:" {
			t.Errorf("response %q", got)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}

// TestFailedEngineIsReplaced checks that the server listens again after its gnet
// engine has stopped.
func TestFailedEngineIsReplaced(t *testing.T) {
	reasons := make(chan string, 1)
	s, err := Listen(loopback, echo, Limits{Count: func(reason string) { reasons <- reason }})
	if err != nil {
		t.Fatal(err)
	}
	s.stopEngine()
	if reason := <-reasons; reason != EngineFailed {
		t.Errorf("counted %q", reason)
	}
	client := NewClient(ClientLimits{})
	for get(t, client, s.Address()) != nil { // connections are refused until the new engine listens
		<-time.After(engineRestartDelay / 10)
	}
	_ = client.Close()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// TestDrainRefusesNewRequests checks that requests on new connections get a
// refusal, rather than a closed connection, while the drain waits for its last
// response.
func TestDrainRefusesNewRequests(t *testing.T) {
	h := newBlockingHandler()
	s, err := Listen(loopback, h.handle, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	s.DisableKeepAlives()
	lastResponse := make(chan string, 1)
	go func() { lastResponse <- sendAndReadAll(t, s.Address(), getRequest) }()
	<-h.entered
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	for range 100 {
		if s.drained.Load() {
			break
		}
		<-time.After(10 * time.Millisecond)
	}
	for range 3 {
		if got := sendAndReadAll(t, s.Address(), getRequest); got != "503 draining" {
			t.Errorf("response %q, want a refusal", got)
		}
	}
	close(h.open)
	if got := <-lastResponse; got != "200 whole" {
		t.Errorf("last response is %q", got)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
