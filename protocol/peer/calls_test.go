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

var sampleOutcome = state.Outcome{Job: "a.1", Attempt: 2, Ran: state.RanToCompletion, Retry: true, Answer: []byte("whole")}

var sampleAttempt = state.JobAttempt{Job: "a.1", Attempt: 2}

// recorder implements every call with sample results and keeps the last request.
type recorder struct {
	mu      sync.Mutex
	request any
	failure error
}

var sampleUpdate = rollout.Update{
	Generation: 9, Digest: 8, Weights: state.Weights{CompletionTime: 0.3, Fragmentation: 0.7},
	Evacuated: []string{"za", "zb"}, Since: 7, Parts: []rollout.Part{{Name: "north", Changed: 9, Body: []byte{7}}},
}

func (r *recorder) record(request any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.request = request
	return r.failure
}

// failWith makes later calls fail with err and returns the last request.
func (r *recorder) failWith(err error) (lastRequest any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = err
	return r.request
}

func (r *recorder) service() *Service {
	return &Service{
		Submit: func(_ context.Context, job state.Job, resent bool) error { return r.record([]any{job, resent}) },
		Accept: func(_ context.Context, job state.Job) error { return r.record(job) },
		Await: func(_ context.Context, job state.JobID, wait time.Duration) (state.Progress, error) {
			return state.Progress{Done: true, Phase: state.JobDone, Outcome: sampleOutcome}, r.record([]any{job, wait})
		},
		Cancel: func(_ context.Context, job state.JobID) error { return r.record(job) },
		Hold:   func(_ context.Context, hold HoldRequest) ([]state.Lease, error) { return nil, r.record(hold) },
		Start: func(_ context.Context, rack string, leases []state.Lease) error {
			return r.record([]any{rack, len(leases)})
		},
		Stop: func(_ context.Context, stop StopRequest) (bool, error) { return true, r.record(stop) },
		Checkpoint: func(_ context.Context, rack string, attempt state.JobAttempt) ([][]byte, error) {
			return [][]byte{{1}}, r.record([]any{rack, attempt})
		},
		Report: func(_ context.Context, report state.RackReport) (state.ReportReply, error) {
			return state.ReportReply{Resend: true, Stop: []state.JobAttempt{sampleAttempt}}, r.record(report)
		},
		Announce: func(context.Context) error { return r.record("announced") },
		PushManifest: func(_ context.Context, update rollout.Update) (rollout.ManifestID, error) {
			return rollout.ManifestID{Generation: 9, Digest: 8}, r.record(update)
		},
		FetchManifest: func(_ context.Context, current rollout.ManifestID) (rollout.Update, error) {
			return sampleUpdate, r.record(current)
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

// TestCalls makes each call over TCP, checks the request that the service gets
// and the response that the client returns, and that an error arrives unchanged.
func TestCalls(t *testing.T) {
	hold := HoldRequest{Rack: "r1", Job: sampleJob, Attempt: 2, Placements: []state.Placement{{Worker: worker, Rack: "r1", Members: 4}}, TTL: time.Second}
	stop := StopRequest{Rack: "r1", Attempt: sampleAttempt, Workers: []netip.AddrPort{worker}}
	report := state.RackReport{
		Rack: state.Rack{Name: "r1", AvailabilityZone: "a", Position: 3}, Home: worker, Sequence: 4, Full: true,
		Workers: []state.WorkerReport{{Worker: state.Worker{Address: worker, Capacity: sampleJob.Shape, Leaving: true}, Listed: true, Lost: true}},
	}
	id := rollout.ManifestID{Generation: 9, Digest: 8}
	ctx := t.Context()
	tests := []struct {
		name        string
		call        func(c *Client, p netip.AddrPort) (any, error)
		wantRequest any
		want        any
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
		{"push", func(c *Client, p netip.AddrPort) (any, error) { return c.PushManifest(ctx, p, sampleUpdate) }, sampleUpdate, id},
		{"fetch", func(c *Client, p netip.AddrPort) (any, error) { return c.FetchManifest(ctx, p, id) }, id, sampleUpdate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &recorder{}
			client, address := start(t, r.service())
			failure := state.NewAmbiguousStepError("start", worker, state.WorkerSilent, errors.New("no answer"))
			got, err := tt.call(client, address)
			request := r.failWith(failure)
			if err != nil || !reflect.DeepEqual(got, tt.want) || !reflect.DeepEqual(request, tt.wantRequest) {
				t.Errorf("request %v, response %v, %v; want %v, %v", request, got, err, tt.wantRequest, tt.want)
			}
			var step *state.StepError
			_, err = tt.call(client, address)
			if !errors.As(err, &step) || step.Error() != failure.Error() || !step.Ambiguous {
				t.Errorf("error %v, want %v", err, failure)
			}
		})
	}
}

// TestLeaseRemainingTime checks that a lease keeps its remaining time between
// entries whose clocks differ.
func TestLeaseRemainingTime(t *testing.T) {
	sender, receiver := referenceTime{time.Unix(100, 0)}, referenceTime{time.Unix(5000, 0)}
	lease := state.Lease{ID: 1, Token: 2, Worker: worker, Job: "a.1", Attempt: 3, Members: 4, Expires: time.Unix(107, 0)}
	got := receiver.lease(sender.toLease(lease))
	lease.Expires = time.Unix(5007, 0)
	if got != lease {
		t.Errorf("lease %v, want %v", got, lease)
	}
}

// TestCallsWithoutResult covers responses that no handler of the service wrote,
// and calls without any response. A call that the peer may have handled must
// fail as ambiguous, any other call must not.
func TestCallsWithoutResult(t *testing.T) {
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
		{"unknown procedure", status(fasthttp.StatusNotFound), state.BadRequest, false},
		{"no response before the deadline", func(ctx *fasthttp.RequestCtx) { <-transport.ConnectionContext(ctx).Done() }, state.ConnectionLost, true},
		{"handler panics", func(*fasthttp.RequestCtx) { panic(t) }, state.ConnectionLost, true},
		{"body is not CBOR", func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("application/cbor")
			ctx.SetBodyString("hello")
		}, state.ConnectionLost, true},
		{"connection closed without a response", func(ctx *fasthttp.RequestCtx) { ctx.Response.SetBodyStream(iotest.ErrReader(io.EOF), 10) }, state.ConnectionLost, true},
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
				t.Errorf("after closing the client: %v", err)
			}
		})
	}
}

// TestInvalidRequests sends requests that Client never sends; the peer must
// reject each as a bad request without calling the service.
func TestInvalidRequests(t *testing.T) {
	tests := []struct {
		name    string
		request any
	}{
		{"array instead of a map", []int{1}},
		{"undefined urgency", map[int]any{1: map[int]any{7: 3}}},
		{"duplicate key", cbor.RawMessage{0xa2, 0x02, 0xf5, 0x02, 0xf5}},
		{"array of indefinite length", cbor.RawMessage{0xa1, 0x03, 0x9f, 0xff}},
		{"tagged value", cbor.RawMessage{0xa1, 0x02, 0xd8, 0x2a, 0xf5}},
		{"message too large", map[int]any{3: make([]byte, maxMessageBytes)}},
	}
	r := &recorder{}
	_, address := start(t, r.service())
	connections := transport.NewClient(transport.ClientLimits{})
	defer func() { _ = connections.Close() }()
	submit := newProcedure[any, emptyMessage](transport.HTTPClient{Client: connections}, stepSubmit)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := submit.call(t.Context(), address, tt.request)
			if state.ReasonOf(err, "") != state.BadRequest || state.IsAmbiguous(err) {
				t.Errorf("error %v, want an unambiguous badRequest", err)
			}
			if request := r.failWith(nil); request != nil {
				t.Errorf("the service was called with %v", request)
			}
		})
	}
}
