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

// processorTime returns what this process has used so far, user and system.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func reportProcessorTime(b *testing.B, run func()) {
	before := processorTime(b)
	run()
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkEmptyHandler is the HTTP path alone: client, gnet, fasthttp and back.
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

// BenchmarkOneSlotJob is a whole job of one slot, from the caller through the
// planner to a stand-in worker and back; the client and the stand-in run in
// this process, too, and are in the figures.
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
				if err != nil || progress.Outcome.Ran != state.RanWhole {
					b.Errorf("%+v, %v", progress, err)
				}
			}
		})
	})
}

// BenchmarkIdle runs eight entries in two zones with 26 workers each, none of
// which has work, and reports the processor time of all of it by entry.
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
