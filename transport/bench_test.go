package transport

import (
	"bufio"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// BenchmarkEmptyHandler measures the server with a handler that does nothing; the
// client writes and reads raw bytes, so that it costs little itself.
func BenchmarkEmptyHandler(b *testing.B) {
	s := listen(b, func(*fasthttp.RequestCtx) {})
	defer reportCPUTime(b)()
	b.RunParallel(func(pb *testing.PB) {
		conn, err := net.Dial("tcp", s.Address().String())
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for pb.Next() {
			if err := rawExchange(conn, reader); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkClient measures sequential calls of Client to a handler that does nothing.
func BenchmarkClient(b *testing.B) {
	s := listen(b, func(*fasthttp.RequestCtx) {})
	client := NewClient(ClientLimits{})
	defer func() { _ = client.Close() }()
	defer reportCPUTime(b)()
	for b.Loop() {
		if err := get(b, client, s.Address()); err != nil {
			b.Fatal(err)
		}
	}
}

var rawRequest = []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")

// rawExchange sends rawRequest and reads the response, which must have no body.
func rawExchange(conn net.Conn, reader *bufio.Reader) error {
	if _, err := conn.Write(rawRequest); err != nil {
		return err
	}
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == len("\r\n") {
			return nil
		}
	}
}

func get(tb testing.TB, client *Client, peer netip.AddrPort) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("/")
	request.Header.SetHost("x")
	return client.Do(tb.Context(), peer, request, response)
}

func listen(tb testing.TB, handler fasthttp.RequestHandler) *Server {
	tb.Helper()
	s, err := Listen(loopback, handler, Limits{})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = s.Close() })
	return s
}

// reportCPUTime returns a function that reports the CPU time since now per call,
// for client and server together.
func reportCPUTime(b *testing.B) (report func()) {
	b.ReportAllocs()
	before := cpuTime(b)
	return func() {
		spent := cpuTime(b) - before
		b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N), "cpu-ns/op")
	}
}

func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkWaitingCalls measures the memory that a call uses in client and server
// together while it waits for its response.
func BenchmarkWaitingCalls(b *testing.B) {
	const calls = 1000
	for b.Loop() {
		h := &blockingHandler{entered: make(chan struct{}, calls), open: make(chan struct{}), cancelled: make(chan struct{}, calls)}
		s := listen(b, h.handle)
		client := NewClient(ClientLimits{ConnectionsPerPeer: calls})
		before := heapAndStackBytes()
		var all sync.WaitGroup
		for range calls {
			all.Go(func() { _ = get(b, client, s.Address()) })
			<-h.entered
		}
		b.ReportMetric(float64(heapAndStackBytes()-before)/calls, "B/call")
		close(h.open)
		all.Wait()
		_ = client.Close()
	}
}

func heapAndStackBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
