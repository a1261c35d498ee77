package message

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/state"
	"comfreystream/transport"
)

type question struct {
	Text string
	Wait time.Duration
}

type reply struct{ Text string }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func decide(_ context.Context, q question) (reply, error) {
	switch q.Text {
	case "refused":
		return reply{}, state.NewStepError("hold", loopback, state.LeaseRefused, errors.New("no slots"))
	case "ambiguous":
		return reply{}, state.AmbiguousStep("start", loopback, state.WorkerSilent, nil)
	case "untyped":
		return reply{}, errors.New("odd")
	}
	return reply{Text: strings.ToUpper(q.Text)}, nil
}

func untyped(status int) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(status) }
}

func TestCall(t *testing.T) {
	server, err := transport.Listen(loopback, Routes([]Route{
		{"/ask", Handle(Limits{BodyBytes: 200}, decide)},
		{"/busy", untyped(fasthttp.StatusServiceUnavailable)},
		{"/large", untyped(fasthttp.StatusRequestEntityTooLarge)},
		{"/broken", untyped(fasthttp.StatusInternalServerError)},
	}), transport.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client := transport.NewClient(transport.ClientLimits{})
	defer func() { _ = client.Close() }()
	unused := netip.MustParseAddrPort("127.0.0.1:1")
	tests := []struct {
		name      string
		peer      netip.AddrPort
		path      string
		request   any
		reason    state.Reason
		ambiguous bool
	}{
		{"answered", server.Address(), "/ask", question{Text: "a"}, "", false},
		{"refused with a reason", server.Address(), "/ask", question{Text: "refused"}, state.LeaseRefused, false},
		{"peer is not sure", server.Address(), "/ask", question{Text: "ambiguous"}, state.WorkerSilent, true},
		{"untyped error counts as ambiguous", server.Address(), "/ask", question{Text: "untyped"}, state.TaskFailed, true},
		{"unknown field", server.Address(), "/ask", struct{ Colour int }{1}, state.BadRequest, false},
		{"wrong type", server.Address(), "/ask", []int{1}, state.BadRequest, false},
		{"body too large", server.Address(), "/ask", question{Text: strings.Repeat("a", 300)}, state.BodyTooLarge, false},
		{"unknown path", server.Address(), "/other", question{}, state.BadRequest, false},
		{"refused by the server", server.Address(), "/busy", question{}, state.ConnectionLost, false},
		{"too large for the server", server.Address(), "/large", question{}, state.BodyTooLarge, false},
		{"broken without a word", server.Address(), "/broken", question{}, state.ConnectionLost, true},
		{"nobody listens", unused, "/ask", question{}, state.ConnectionLost, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Call[any, reply](t.Context(), client, tt.peer, tt.path, tt.request)
			if reason := state.ReasonOf(err, ""); reason != tt.reason || state.IsAmbiguous(err) != tt.ambiguous {
				t.Errorf("reason %q, ambiguous %v (%v); want %q, %v", reason, state.IsAmbiguous(err), err, tt.reason, tt.ambiguous)
			}
			if tt.reason == "" && got.Text != "A" {
				t.Errorf("answer %q", got.Text)
			}
		})
	}
}
