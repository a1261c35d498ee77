package peer

import (
	"context"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"comfreystream/state"
	"comfreystream/transport"
)

// result is the response message of every procedure: a value or a typed error.
type result[Value any] struct {
	Error *wireError `cbor:"1,keyasint,omitempty"`
	Value Value      `cbor:"2,keyasint"`
}

type wireError struct {
	Step      string         `cbor:"1,keyasint"`
	Peer      netip.AddrPort `cbor:"2,keyasint"`
	Reason    state.Reason   `cbor:"3,keyasint"`
	Ambiguous bool           `cbor:"4,keyasint,omitempty"`
	Detail    string         `cbor:"5,keyasint,omitempty"`
}

// procedure calls one remote procedure; step is its name in paths and errors.
type procedure[Request, Response any] struct {
	step   string
	client *connect.Client[Request, result[Response]]
}

const (
	// compressMinBytes is the message size from which gzip saves more time on the
	// links between zones than it takes.
	compressMinBytes = 4 << 10
	// maxMessageBytes bounds a message both as sent and after decompression.
	maxMessageBytes = 8 << 20
)

// connectOptions applies to clients and handlers alike.
var connectOptions = connect.WithOptions(
	connect.WithCodec(messageCodec),
	connect.WithCompressMinBytes(compressMinBytes),
	connect.WithReadMaxBytes(maxMessageBytes),
)

// forPlanner is an option of the handlers of a PlannerService.
var forPlanner = connect.WithCodec(plannerCodec)

func path(step string) string { return "/peer/" + step }

func newProcedure[Request, Response any](client connect.HTTPClient, step string) procedure[Request, Response] {
	return procedure[Request, Response]{
		step:   step,
		client: connect.NewClient[Request, result[Response]](client, "http://peer"+path(step), connect.WithSendGzip(), connectOptions),
	}
}

// call sends the request to the peer; it fails with a *state.StepError.
func (p procedure[Request, Response]) call(ctx context.Context, peer netip.AddrPort, request Request) (response Response, err error) {
	reply, err := p.client.CallUnary(transport.WithPeer(ctx, peer), connect.NewRequest(&request))
	if err != nil {
		return response, classifyCallError(p.step, peer, err)
	}
	if failure := reply.Msg.Error; failure != nil {
		return response, state.StepParts(*failure).StepError(p.step, peer)
	}
	return reply.Msg.Value, nil
}

// handle registers the procedure of the step on the mux; serve takes and returns
// wire types, and its error is sent as part of the result.
func handle[Request, Response any](mux *http.ServeMux, step string,
	serve func(ctx context.Context, request Request) (Response, error), options ...connect.HandlerOption,
) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[result[Response]], error) {
		value, err := serve(ctx, *request.Msg)
		if err != nil {
			failure := wireError(state.PartsOf(err, step))
			return connect.NewResponse(&result[Response]{Error: &failure}), nil
		}
		return connect.NewResponse(&result[Response]{Value: value}), nil
	}
	mux.Handle(path(step), connect.NewUnaryHandler(path(step), unary, append([]connect.HandlerOption{connectOptions}, options...)...))
}

// classifyCallError returns a *state.StepError for a call that got no complete
// result; it is ambiguous if the peer may have handled the request.
func classifyCallError(step string, peer netip.AddrPort, err error) error {
	var callErr *transport.CallError
	switch {
	case errors.As(err, &callErr) && !callErr.Sent:
		return state.NewStepError(step, peer, state.HomeUnreachable, err)
	case callErr != nil:
		return state.NewAmbiguousStepError(step, peer, state.ConnectionLost, err)
	}
	switch code := connect.CodeOf(err); {
	case code == connect.CodeUnavailable:
		// The peer's transport refused the request before it was handled.
		return state.NewStepError(step, peer, state.HomeUnreachable, err)
	case code == connect.CodeUnimplemented:
		return state.NewStepError(step, peer, state.BadRequest, err)
	case connect.IsWireError(err) && (code == connect.CodeInvalidArgument || code == connect.CodeResourceExhausted):
		// The peer could not decode the request. Without IsWireError, this side
		// could not decode the response.
		return state.NewStepError(step, peer, state.BadRequest, err)
	}
	return state.NewAmbiguousStepError(step, peer, state.ConnectionLost, err)
}
