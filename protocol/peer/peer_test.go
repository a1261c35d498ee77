package peer

import (
	"context"
	"io"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/coordination/rollout"
	"comfreystream/state"
	"comfreystream/transport"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

var worker = netip.MustParseAddrPort("10.0.0.7:7070")

var sampleJob = state.Job{
	ID: "a.1", Organisation: "andina", Kind: "reset", Members: 4,
	Shape: state.Resources{Slots: 1, Accelerators: 2, Cores: 3, MemoryBytes: 1 << 40}, Adjacency: state.SameRack,
	Urgency: state.Urgent, Submitted: time.Unix(1700000000, 5), Deadline: time.Unix(1700000100, 7),
	Idempotent: true, Key: "k", Checkpointable: true, DeclaredRunTime: time.Minute, Payload: []byte{0, 255},
}

var sampleOutcome = state.Outcome{Job: "a.1", Attempt: 2, Ran: state.RanWhole, Retry: true, Answer: []byte("whole")}

var sampleAttempt = state.JobAttempt{Job: "a.1", Attempt: 2}

// recorder answers every call with samples and keeps what it was asked.
type recorder struct {
	mu      sync.Mutex
	asked   any
	failure error
}

var sampleUpdate = rollout.Update{
	Generation: 9, Digest: 8, Weights: state.Weights{CompletionTime: 0.3, Fragmentation: 0.7},
	Since: 7, Parts: []rollout.Part{{Name: "north", Changed: 9, Body: []byte{7}}},
}

func (r *recorder) note(asked any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = asked
	return r.failure
}

func (r *recorder) failWith(err error) (asked any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = err
	return r.asked
}

func (r *recorder) service() *Service {
	return &Service{
		Submit: func(_ context.Context, job state.Job, again bool) error { return r.note([]any{job, again}) },
		Accept: func(_ context.Context, job state.Job) error { return r.note(job) },
		Await: func(_ context.Context, job state.JobID, wait time.Duration) (state.Progress, error) {
			return state.Progress{Done: true, Phase: state.JobDone, Outcome: sampleOutcome}, r.note([]any{job, wait})
		},
		Cancel: func(_ context.Context, job state.JobID) error { return r.note(job) },
		Hold:   func(_ context.Context, hold Hold) ([]state.Lease, error) { return nil, r.note(hold) },
		Start: func(_ context.Context, rack string, leases []state.Lease) error {
			return r.note([]any{rack, len(leases)})
		},
		Stop: func(_ context.Context, stop Stop) (bool, error) { return true, r.note(stop) },
		Checkpoint: func(_ context.Context, rack string, attempt state.JobAttempt) ([][]byte, error) {
			return [][]byte{{1}}, r.note([]any{rack, attempt})
		},
		Report: func(_ context.Context, report state.RackReport) (state.ReportReply, error) {
			return state.ReportReply{Resend: true, Stop: []state.JobAttempt{sampleAttempt}}, r.note(report)
		},
		Announce: func(context.Context) error { return r.note("announced") },
		PushManifest: func(_ context.Context, update rollout.Update) (rollout.Have, error) {
			return rollout.Have{Generation: 9, Digest: 8}, r.note(update)
		},
		FetchManifest: func(_ context.Context, have rollout.Have) (rollout.Update, error) {
			return sampleUpdate, r.note(have)
		},
	}
}

func start(t *testing.T, service *Service) (*Client, netip.AddrPort) {
	t.Helper()
	server, err := transport.Listen(loopback, service.Handler(), transport.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	client := transport.NewClient(transport.ClientLimits{})
	t.Cleanup(func() { _ = client.Close() })
	return NewClient(client), server.Address()
}

func TestCalls(t *testing.T) {
	hold := Hold{Rack: "r1", Job: sampleJob, Attempt: 2, Placements: []state.Placement{{Worker: worker, Rack: "r1", Members: 4}}, TTL: time.Second}
	stop := Stop{Rack: "r1", Attempt: sampleAttempt, Workers: []netip.AddrPort{worker}}
	report := state.RackReport{
		Rack: state.Rack{Name: "r1", AvailabilityZone: "a", Position: 3}, Home: worker, Sequence: 4, Full: true,
		Workers: []state.WorkerReport{{Worker: state.Worker{Address: worker, Capacity: sampleJob.Shape, Leaving: true}, Listed: true, Lost: true}},
	}
	have := rollout.Have{Generation: 9, Digest: 8}
	ctx := t.Context()
	tests := []struct {
		name  string
		call  func(c *Client, p netip.AddrPort) (any, error)
		asked any
		want  any
	}{
		{"submit", func(c *Client, p netip.AddrPort) (any, error) { return nil, c.Submit(ctx, p, sampleJob, true) }, []any{sampleJob, true}, nil},
		{"accept", func(c *Client, p netip.AddrPort) (any, error) { return nil, c.Accept(ctx, p, sampleJob) }, sampleJob, nil},
		{
			"await", func(c *Client, p netip.AddrPort) (any, error) { return c.Await(ctx, p, "a.1", time.Second) },
			[]any{state.JobID("a.1"), time.Second},
			state.Progress{Done: true, Phase: state.JobDone, Outcome: sampleOutcome},
		},
		{"cancel", func(c *Client, p netip.AddrPort) (any, error) { return nil, c.Cancel(ctx, p, "a.1") }, state.JobID("a.1"), nil},
		{"hold", func(c *Client, p netip.AddrPort) (any, error) { return c.Hold(ctx, p, hold) }, hold, []state.Lease(nil)},
		{"start", func(c *Client, p netip.AddrPort) (any, error) {
			return nil, c.Start(ctx, p, "r1", make([]state.Lease, 2))
		}, []any{"r1", 2}, nil},
		{"stop", func(c *Client, p netip.AddrPort) (any, error) { return c.Stop(ctx, p, stop) }, stop, true},
		{
			"checkpoint", func(c *Client, p netip.AddrPort) (any, error) { return c.Checkpoint(ctx, p, "r1", sampleAttempt) },
			[]any{"r1", sampleAttempt},
			[][]byte{{1}},
		},
		{
			"report", func(c *Client, p netip.AddrPort) (any, error) { return c.Report(ctx, p, report) },
			report,
			state.ReportReply{Resend: true, Stop: []state.JobAttempt{sampleAttempt}},
		},
		{"announce", func(c *Client, p netip.AddrPort) (any, error) { return nil, c.Announce(ctx, p) }, "announced", nil},
		{"push", func(c *Client, p netip.AddrPort) (any, error) { return c.PushManifest(ctx, p, sampleUpdate) }, sampleUpdate, have},
		{"fetch", func(c *Client, p netip.AddrPort) (any, error) { return c.FetchManifest(ctx, p, have) }, have, sampleUpdate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &recorder{}
			client, address := start(t, r.service())
			failure := state.AmbiguousStep("start", worker, state.WorkerSilent, errors.New("no answer"))
			got, err := tt.call(client, address)
			asked := r.failWith(failure)
			if err != nil || !reflect.DeepEqual(got, tt.want) || !reflect.DeepEqual(asked, tt.asked) {
				t.Errorf("asked %v, got %v, %v; want %v, %v", asked, got, err, tt.asked, tt.want)
			}
			var step *state.StepError
			_, err = tt.call(client, address)
			if !errors.As(err, &step) || step.Error() != failure.Error() || !step.Ambiguous {
				t.Errorf("error %v, want %v", err, failure)
			}
		})
	}
}

func TestLeaseTimeLeft(t *testing.T) {
	sender, receiver := clock{time.Unix(100, 0)}, clock{time.Unix(5000, 0)}
	lease := state.Lease{ID: 1, Token: 2, Worker: worker, Job: "a.1", Attempt: 3, Members: 4, Expires: time.Unix(107, 0)}
	got := receiver.lease(sender.toLease(lease))
	lease.Expires = time.Unix(5007, 0)
	if got != lease {
		t.Errorf("lease %v, want %v", got, lease)
	}
}

// TestLostCalls has the peer answer without a word of its service, or not at all.
func TestLostCalls(t *testing.T) {
	status := func(code int) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(code) }
	}
	tests := []struct {
		name      string
		handler   fasthttp.RequestHandler
		reason    state.Reason
		ambiguous bool
	}{
		{"refused by the transport", status(fasthttp.StatusServiceUnavailable), state.HomeUnreachable, false},
		{"refused by the transport in JSON", func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetContentType("application/json")
			ctx.SetBodyString(`{"reason":"tooManyRequests","ran":"not run","retry":true}`)
		}, state.HomeUnreachable, false},
		{"unknown call", status(fasthttp.StatusNotFound), state.BadRequest, false},
		{"late", func(ctx *fasthttp.RequestCtx) { <-transport.Context(ctx).Done() }, state.ConnectionLost, true},
		{"panic", func(*fasthttp.RequestCtx) { panic(t) }, state.ConnectionLost, true},
		{"no CBOR", func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("application/cbor")
			ctx.SetBodyString("hello")
		}, state.ConnectionLost, true},
		{"closed without an answer", func(ctx *fasthttp.RequestCtx) { ctx.Response.SetBodyStream(iotest.ErrReader(io.EOF), 10) }, state.ConnectionLost, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server, err := transport.Listen(loopback, tt.handler, transport.Limits{})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Close() }()
			connections := transport.NewClient(transport.ClientLimits{})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err = NewClient(connections).Cancel(ctx, server.Address(), "a.1")
			if reason := state.ReasonOf(err, ""); reason != tt.reason || state.IsAmbiguous(err) != tt.ambiguous {
				t.Errorf("%v: ambiguous %v; want %s, %v", err, state.IsAmbiguous(err), tt.reason, tt.ambiguous)
			}
			_ = connections.Close()
			err = NewClient(connections).Cancel(t.Context(), server.Address(), "a.1")
			if reason := state.ReasonOf(err, ""); reason != state.HomeUnreachable || state.IsAmbiguous(err) {
				t.Errorf("after Close: %v", err)
			}
		})
	}
}

// TestBadMessages sends what no client of ours would.
func TestBadMessages(t *testing.T) {
	tests := []struct {
		name    string
		request any
	}{
		{"another form", []int{1}},
		{"urgency beyond the last", map[int]any{1: map[int]any{7: 3}}},
		{"a key twice", cbor.RawMessage{0xa2, 0x02, 0xf5, 0x02, 0xf5}},
		{"list without a length", cbor.RawMessage{0xa1, 0x03, 0x9f, 0xff}},
		{"tagged", cbor.RawMessage{0xa1, 0x02, 0xd8, 0x2a, 0xf5}},
		{"too large", map[int]any{3: make([]byte, maxMessageBytes)}},
	}
	r := &recorder{}
	_, address := start(t, r.service())
	connections := transport.NewClient(transport.ClientLimits{})
	defer func() { _ = connections.Close() }()
	call := newProcedure[any, none](transport.HTTPClient{Client: connections}, stepSubmit)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := call.ask(t.Context(), address, tt.request)
			if state.ReasonOf(err, "") != state.BadRequest || state.IsAmbiguous(err) {
				t.Errorf("error %v", err)
			}
			if asked := r.failWith(nil); asked != nil {
				t.Errorf("asked %v", asked)
			}
		})
	}
}
