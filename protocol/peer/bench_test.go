package peer

import (
	"comfreystream/transport"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// BenchmarkCall measures one call between two entries over loopback, with
// nothing done on the other side.
func BenchmarkCall(b *testing.B) {
	server, err := transport.Listen(loopback, (&recorder{}).service().Handler(), transport.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	connections := transport.NewClient(transport.ClientLimits{})
	defer func() { _ = connections.Close() }()
	client := NewClient(connections)
	before := processorTime(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Cancel(b.Context(), server.Address(), "a.1"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
