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

// echoRequest is a request to echo.
type echoRequest struct {
	Text string
	Wait time.Duration
}

type echoResponse struct{ Text string }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// echo returns the text in capitals, or the kind of error that the text names.
func echo(_ context.Context, request echoRequest) (echoResponse, error) {
	switch request.Text {
	case "refused":
		return echoResponse{}, state.NewStepError("hold", loopback, state.LeaseRefused, errors.New("no slots"))
	case "ambiguous":
		return echoResponse{}, state.NewAmbiguousStepError("start", loopback, state.WorkerSilent, nil)
	case "untyped":
		return echoResponse{}, errors.New("odd")
	}
	return echoResponse{Text: strings.ToUpper(request.Text)}, nil
}

func statusOnly(status int) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(status) }
}

func TestCall(t *testing.T) {
	server, err := transport.Listen(loopback, Routes([]Route{
		{"/ask", Handle(Limits{BodyBytes: 200}, echo)},
		{"/busy", statusOnly(fasthttp.StatusServiceUnavailable)},
		{"/large", statusOnly(fasthttp.StatusRequestEntityTooLarge)},
		{"/broken", statusOnly(fasthttp.StatusInternalServerError)},
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
		{"success", server.Address(), "/ask", echoRequest{Text: "a"}, "", false},
		{"refused with a reason", server.Address(), "/ask", echoRequest{Text: "refused"}, state.LeaseRefused, false},
		{"ambiguous error of the peer", server.Address(), "/ask", echoRequest{Text: "ambiguous"}, state.WorkerSilent, true},
		{"error without a step is ambiguous", server.Address(), "/ask", echoRequest{Text: "untyped"}, state.TaskFailed, true},
		{"unknown field", server.Address(), "/ask", struct{ Colour int }{1}, state.BadRequest, false},
		{"wrong type", server.Address(), "/ask", []int{1}, state.BadRequest, false},
		{"body too large", server.Address(), "/ask", echoRequest{Text: strings.Repeat("a", 300)}, state.BodyTooLarge, false},
		{"unknown path", server.Address(), "/other", echoRequest{}, state.BadRequest, false},
		{"service unavailable without an error body", server.Address(), "/busy", echoRequest{}, state.ConnectionLost, false},
		{"body too large for the server, without an error body", server.Address(), "/large", echoRequest{}, state.BodyTooLarge, false},
		{"internal error without an error body", server.Address(), "/broken", echoRequest{}, state.ConnectionLost, true},
		{"connection refused", unused, "/ask", echoRequest{}, state.ConnectionLost, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Call[any, echoResponse](t.Context(), client, tt.peer, tt.path, tt.request)
			if reason := state.ReasonOf(err, ""); reason != tt.reason || state.IsAmbiguous(err) != tt.ambiguous {
				t.Errorf("reason %q, ambiguous %v (%v); want %q, %v", reason, state.IsAmbiguous(err), err, tt.reason, tt.ambiguous)
			}
			if tt.reason == "" && got.Text != "A" {
				t.Errorf("response %q, want \"A\"", got.Text)
			}
		})
	}
}
