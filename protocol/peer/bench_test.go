package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"comfreystream/state"
	"comfreystream/transport"
)

// BenchmarkCall measures one call between two entries over loopback; the
// handler does no work.
func BenchmarkCall(b *testing.B) {
	server, err := transport.Listen(loopback, (&recorder{}).service().Handler(), transport.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	connections := transport.NewClient(transport.ClientLimits{})
	defer func() { _ = connections.Close() }()
	client := NewClient(connections)
	before := cpuTime(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Cancel(b.Context(), server.Address(), "a.1"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countingConn adds the bytes read and written on a connection to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkCallBytes measures the bytes of one request and its response, without
// TCP and IP headers.
func BenchmarkCallBytes(b *testing.B) {
	report := state.RackReport{
		Rack: state.Rack{Name: "r1", AvailabilityZone: "a"}, Home: worker, Sequence: 4,
		Workers: []state.WorkerReport{{Worker: state.Worker{Address: worker, Capacity: sampleJob.Shape}, Listed: true}},
	}
	calls := []struct {
		name string
		call func(c *Client, peer netip.AddrPort) error
	}{
		{"cancel", func(c *Client, peer netip.AddrPort) error { return c.Cancel(b.Context(), peer, "a.17ce8ee21fed9ecc") }},
		{"await", func(c *Client, peer netip.AddrPort) error {
			_, err := c.Await(b.Context(), peer, "a.17ce8ee21fed9ecc", time.Second)
			return err
		}},
		{"submit", func(c *Client, peer netip.AddrPort) error { return c.Submit(b.Context(), peer, sampleJob, false) }},
		{"reportOneWorker", func(c *Client, peer netip.AddrPort) error {
			_, err := c.Report(b.Context(), peer, report)
			return err
		}},
	}
	for _, bb := range calls {
		b.Run(bb.name, func(b *testing.B) {
			server, err := transport.Listen(loopback, (&recorder{}).service().Handler(), transport.Limits{})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = server.Close() }()
			connections := transport.NewClient(transport.ClientLimits{})
			defer func() { _ = connections.Close() }()
			var transferred atomic.Int64
			connections.Dial = func(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", peer.String())
				return countingConn{conn, &transferred}, err
			}
			client := NewClient(connections)
			for b.Loop() {
				if err := bb.call(client, server.Address()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(transferred.Load())/float64(b.N), "wire-B/op")
		})
	}
}
