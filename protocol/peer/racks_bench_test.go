package peer

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
	"comfreystream/transport"
)

var benchRack = state.Rack{Name: "costa-1-r17", AvailabilityZone: "costa-1", Position: 17}

// BenchmarkRacks measures, for each call between a planner and a rack's home, the
// HTTP bytes without TCP and IP headers, and the CPU time of both ends together.
func BenchmarkRacks(b *testing.B) {
	const members, workers = 64, 8
	tests := []struct {
		name string
		call func(ctx context.Context, c *Client, home netip.AddrPort) error
	}{
		{"reportQuiet", reportCall(0, 0, false)},
		{"reportChanged=1", reportCall(1, 1, false)},
		{"reportChanged=64", reportCall(8, 8, false)},
		{"reportFull=8x27", reportCall(8, 27, true)},
		{"hold=64", func(ctx context.Context, c *Client, home netip.AddrPort) error {
			_, err := c.Hold(ctx, home, HoldRequest{Rack: benchRack.Name, Job: sampleJob, Attempt: 1, Placements: benchPlacements(workers, members), TTL: 8 * time.Second})
			return err
		}},
		{"start=64", func(ctx context.Context, c *Client, home netip.AddrPort) error {
			return c.Start(ctx, home, benchRack.Name, benchLeases(workers))
		}},
		{"stop=64", func(ctx context.Context, c *Client, home netip.AddrPort) error {
			_, err := c.Stop(ctx, home, StopRequest{Rack: benchRack.Name, Attempt: sampleAttempt})
			return err
		}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			var bytes atomic.Int64
			service := (&recorder{}).service()
			service.Hold = func(context.Context, HoldRequest) ([]state.Lease, error) { return benchLeases(workers), nil }
			service.Report = func(context.Context, state.RackReport) (state.ReportReply, error) { return state.ReportReply{}, nil }
			server, err := transport.Listen(loopback, countBytes(service.Handler(), &bytes), transport.Limits{})
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
				if err := tt.call(b.Context(), client, server.Address()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wireBytes/op")
		})
	}
}

func benchAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, 30, byte(n)}), 7070)
}

func benchPlacements(workers, members int) (placements []state.Placement) {
	for n := range workers {
		placements = append(placements, state.Placement{Worker: benchAddress(n), Rack: benchRack.Name, Members: members / workers})
	}
	return placements
}

func benchLeases(workers int) (leases []state.Lease) {
	for n := range workers {
		leases = append(leases, state.Lease{
			ID: state.LeaseID(n), Token: 41, Worker: benchAddress(n),
			Job: "costa-1.00000000000000ff", Attempt: 1, Members: 8, Expires: time.Now().Add(8 * time.Second),
		})
	}
	return leases
}

// reportCall returns a call that reports on a rack with the given number of
// workers and of tasks on each.
func reportCall(workers, tasks int, full bool) func(ctx context.Context, c *Client, home netip.AddrPort) error {
	report := state.RackReport{Rack: benchRack, Home: benchAddress(200), Sequence: 3000, Full: full}
	for n := range workers {
		worker := state.WorkerReport{Listed: true, Worker: state.Worker{
			Address: benchAddress(n), Rack: benchRack,
			Capacity: state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 128 << 30},
		}}
		for i := range tasks {
			t := state.Task{Phase: state.TaskRunning, Started: true, Lease: benchLeases(1)[0]}
			t.Lease.Worker, t.Lease.Job = benchAddress(n), state.JobID(fmt.Sprintf("costa-1.%016x", i))
			if full {
				t.Job = sampleJob
			}
			worker.Tasks = append(worker.Tasks, t)
		}
		report.Workers = append(report.Workers, worker)
	}
	return func(ctx context.Context, c *Client, home netip.AddrPort) error {
		_, err := c.Report(ctx, home, report)
		return err
	}
}

// countBytes wraps the handler and adds the length of each request and response to total.
func countBytes(handler fasthttp.RequestHandler, total *atomic.Int64) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		total.Add(int64(len(ctx.Request.Header.Header()) + len(ctx.Request.Body())))
		handler(ctx)
		ctx.Response.Header.SetContentLength(len(ctx.Response.Body()))
		total.Add(int64(len(ctx.Response.Header.Header()) + len(ctx.Response.Body())))
	}
}
