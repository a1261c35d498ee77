package fleet

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
	"comfreystream/transport"
)

// processorTime returns the user and system CPU time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportProcessorTime reports the CPU time of run per operation.
func reportProcessorTime(b *testing.B, run func()) {
	before := processorTime(b)
	run()
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkEmptyHandler measures an HTTP request to an empty handler, through the
// client, gnet and fasthttp.
func BenchmarkEmptyHandler(b *testing.B) {
	server, err := transport.Listen(anyPort, func(*fasthttp.RequestCtx) {}, transport.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client := transport.NewClient(transport.ClientLimits{})
	defer func() { _ = client.Close() }()
	b.ReportAllocs()
	reportProcessorTime(b, func() {
		b.RunParallel(func(pb *testing.PB) {
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.Header.SetMethod(fasthttp.MethodPost)
			request.Header.SetHost(server.Address().String())
			request.SetRequestURI("/v1/jobs")
			request.SetBody(make([]byte, 300))
			for pb.Next() {
				if err := client.Do(context.Background(), server.Address(), request, response); err != nil {
					b.Error(err)
				}
			}
		})
	})
}

// BenchmarkOneSlotJob measures a job of one slot from the caller through the planner
// to a simulated worker and back. The client and the simulated platform run in the
// same process, so the results include them.
func BenchmarkOneSlotJob(b *testing.B) {
	f, client := startFleet(b, Plan{AvailabilityZones: []string{"za"}, EntriesPerZone: 1, WorkersPerZone: 8})
	entry := f.Entries()[0].Address()
	job := smallJob()
	job.Shape = state.Resources{Slots: 1}
	job.Payload = []byte(`{"run":"0s"}`)
	if _, err := client.Submit(b.Context(), entry, job); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	reportProcessorTime(b, func() {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				progress, err := client.Submit(b.Context(), entry, job)
				if err != nil || progress.Outcome.Ran != state.RanToCompletion {
					b.Errorf("submit: %+v, error %v", progress, err)
				}
			}
		})
	})
}

// BenchmarkIdle runs eight entries in two zones of 26 idle workers each and reports
// the CPU time of the whole process divided by the number of entries.
func BenchmarkIdle(b *testing.B) {
	startFleet(b, Plan{AvailabilityZones: []string{"za", "zb"}, EntriesPerZone: 4, WorkersPerZone: 26})
	const span = 10 * time.Second
	b.ResetTimer()
	for range b.N {
		before := processorTime(b)
		<-time.After(span)
		b.ReportMetric(100*float64(processorTime(b)-before)/float64(span)/8, "core-%/entry")
	}
}
