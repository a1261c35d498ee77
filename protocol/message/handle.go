package message

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/valyala/fasthttp"

	"comfreystream/protocol/body"
	"comfreystream/state"
	"comfreystream/transport"
)

// Limits bounds what a handler accepts.
type Limits struct {
	// BodyBytes bounds the body of a request; 0 leaves it to the server.
	BodyBytes int
}

// Handle returns a handler that decodes a request strictly, passes it to
// decide and sends back the response, or the error with its step and reason.
func Handle[Request, Response any](limits Limits,
	decide func(ctx context.Context, request Request) (Response, error),
) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		step := string(ctx.Path())
		text := ctx.PostBody()
		if limits.BodyBytes > 0 && len(text) > limits.BodyBytes {
			fail(ctx, state.NewStepError(step, netip.AddrPort{}, state.BodyTooLarge, nil))
			return
		}
		var request Request
		if err := body.Decode(text, &request); err != nil {
			fail(ctx, state.NewStepError(step, netip.AddrPort{}, state.BadRequest, err))
			return
		}
		response, err := decide(transport.Context(ctx), request)
		if err != nil {
			fail(ctx, err)
			return
		}
		answer(ctx, fasthttp.StatusOK, response)
	}
}

func answer(ctx *fasthttp.RequestCtx, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		fail(ctx, state.AmbiguousStep(string(ctx.Path()), netip.AddrPort{}, state.TaskFailed, err))
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(text)
}
