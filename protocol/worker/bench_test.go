package worker

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"comfreystream/state"
	"comfreystream/transport"
)

var benchJob = state.Job{
	ID: "costa-1.00000000000000ff", Organisation: "andina", Kind: "reset", Members: 4,
	Shape:   state.Resources{Slots: 1, Accelerators: 1, Cores: 4, MemoryBytes: 16 << 30},
	Urgency: state.Normal, Submitted: time.Unix(1700000000, 5), Idempotent: true,
	DeclaredRunTime: time.Hour, Payload: make([]byte, 200),
}

// BenchmarkCalls measures, for each call to a worker, the HTTP bytes without TCP
// and IP headers, and the CPU time of both ends together.
func BenchmarkCalls(b *testing.B) {
	tests := []struct {
		name string
		call func(ctx context.Context, c *Client, worker netip.AddrPort) error
	}{
		{"renewQuiet", renewCall(0)},
		{"renewChanged=1", renewCall(1)},
		{"renewChanged=28", renewCall(28)},
		{"hold", func(ctx context.Context, c *Client, worker netip.AddrPort) error {
			_, err := c.Hold(ctx, worker, state.HoldRequest{Token: 41, Job: benchJob, Attempt: 1, Members: 1, TTL: 8 * time.Second})
			return err
		}},
		{"start", func(ctx context.Context, c *Client, worker netip.AddrPort) error {
			return c.Start(ctx, worker, 41, state.JobAttempt{Job: benchJob.ID, Attempt: 1})
		}},
		{"stop", func(ctx context.Context, c *Client, worker netip.AddrPort) error {
			_, err := c.Stop(ctx, worker, 41, state.JobAttempt{Job: benchJob.ID, Attempt: 1})
			return err
		}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			var bytes atomic.Int64
			server, err := transport.Listen(netip.MustParseAddrPort("127.0.0.1:0"), countBytes(benchService().Handler(), &bytes), transport.Limits{})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = server.Close() }()
			connections := transport.NewClient(transport.ClientLimits{})
			defer func() { _ = connections.Close() }()
			client := &Client{Connections: connections}
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

// renewCall returns a call of Renew whose response has the given number of
// changed tasks; benchService takes that number from Since.
func renewCall(changed uint64) func(ctx context.Context, c *Client, worker netip.AddrPort) error {
	return func(ctx context.Context, c *Client, worker netip.AddrPort) error {
		_, err := c.Renew(ctx, worker, state.RenewRequest{Token: 41, TTL: 20 * time.Second, Since: changed, Wait: 2 * time.Second})
		return err
	}
}

func benchService() *Service {
	lease := state.Lease{
		ID: 7, Token: 41, Worker: netip.MustParseAddrPort("10.20.30.40:7070"),
		Job: benchJob.ID, Attempt: 1, Members: 1, Expires: time.Unix(1700000020, 123456789),
	}
	self := state.Worker{
		Address: lease.Worker, Rack: state.Rack{Name: "costa-1-r17", AvailabilityZone: "costa-1", Position: 17},
		Capacity: state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 128 << 30},
	}
	return &Service{
		Hold:  func(context.Context, state.HoldRequest) (state.Lease, error) { return lease, nil },
		Start: func(context.Context, state.Token, state.JobAttempt) error { return nil },
		Stop:  func(context.Context, state.Token, state.JobAttempt) (bool, error) { return true, nil },
		Renew: func(_ context.Context, r state.RenewRequest) (state.RenewReply, error) {
			reply := state.RenewReply{Version: 99, Worker: self}
			for n := range r.Since {
				t := state.Task{Lease: lease, Phase: state.TaskRunning, Started: true, Job: benchJob}
				t.Lease.Job = state.JobID(fmt.Sprintf("costa-1.%016x", n))
				reply.Changed = append(reply.Changed, t)
			}
			return reply, nil
		},
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

func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
