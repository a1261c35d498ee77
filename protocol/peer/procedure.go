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

// result is the answer of every call: a value or a typed error.
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

// procedure is one call: its step's name and its two message types.
type procedure[Request, Response any] struct {
	step string
	call *connect.Client[Request, result[Response]]
}

const (
	// compressMinBytes is the size from which gzip saves more on the links
	// between zones than it costs.
	compressMinBytes = 4 << 10
	// maxMessageBytes bounds a message, also once it is decompressed.
	maxMessageBytes = 8 << 20
)

// wireOptions holds for both sides of a call.
var wireOptions = connect.WithOptions(
	connect.WithCodec(messageCodec),
	connect.WithCompressMinBytes(compressMinBytes),
	connect.WithReadMaxBytes(maxMessageBytes),
)

func path(step string) string { return "/peer/" + step }

func newProcedure[Request, Response any](client connect.HTTPClient, step string) procedure[Request, Response] {
	return procedure[Request, Response]{
		step: step,
		call: connect.NewClient[Request, result[Response]](client, "http://peer"+path(step), connect.WithSendGzip(), wireOptions),
	}
}

// ask calls the peer; a failure is a *state.StepError.
func (p procedure[Request, Response]) ask(ctx context.Context, peer netip.AddrPort, request Request) (response Response, err error) {
	answer, err := p.call.CallUnary(transport.WithPeer(ctx, peer), connect.NewRequest(&request))
	if err != nil {
		return response, lost(p.step, peer, err)
	}
	if failure := answer.Msg.Error; failure != nil {
		return response, state.StepParts(*failure).StepError(p.step, peer)
	}
	return answer.Msg.Value, nil
}

// handle adds the procedure to the mux; serve works on wire types.
func handle[Request, Response any](mux *http.ServeMux, step string,
	serve func(ctx context.Context, request Request) (Response, error),
) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[result[Response]], error) {
		value, err := serve(ctx, *request.Msg)
		if err != nil {
			failure := wireError(state.PartsOf(err, step))
			return connect.NewResponse(&result[Response]{Error: &failure}), nil
		}
		return connect.NewResponse(&result[Response]{Value: value}), nil
	}
	mux.Handle(path(step), connect.NewUnaryHandler(path(step), unary, wireOptions))
}

// lost types a call without a whole answer.
func lost(step string, peer netip.AddrPort, err error) error {
	var call *transport.CallError
	switch {
	case errors.As(err, &call) && !call.Sent:
		return state.NewStepError(step, peer, state.HomeUnreachable, err)
	case call != nil:
		return state.AmbiguousStep(step, peer, state.ConnectionLost, err)
	}
	switch code := connect.CodeOf(err); {
	case code == connect.CodeUnavailable:
		// The peer's transport refused the request before it was handled.
		return state.NewStepError(step, peer, state.HomeUnreachable, err)
	case code == connect.CodeUnimplemented:
		return state.NewStepError(step, peer, state.BadRequest, err)
	case connect.IsWireError(err) && (code == connect.CodeInvalidArgument || code == connect.CodeResourceExhausted):
		// The peer could not decode the request; without IsWireError it is the
		// answer that could not be decoded here.
		return state.NewStepError(step, peer, state.BadRequest, err)
	}
	return state.AmbiguousStep(step, peer, state.ConnectionLost, err)
}
