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

// Limits restricts the requests that a handler accepts.
type Limits struct {
	// BodyBytes limits the body of a request; 0 means no limit besides the server's.
	BodyBytes int
}

// Handle returns an HTTP handler that decodes a request strictly, calls handle
// with it and sends the response, or the error with its step and reason.
func Handle[Request, Response any](limits Limits,
	handle func(ctx context.Context, request Request) (Response, error),
) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		step := string(ctx.Path())
		text := ctx.PostBody()
		if limits.BodyBytes > 0 && len(text) > limits.BodyBytes {
			writeError(ctx, state.NewStepError(step, netip.AddrPort{}, state.BodyTooLarge, nil))
			return
		}
		var request Request
		if err := body.Decode(text, &request); err != nil {
			writeError(ctx, state.NewStepError(step, netip.AddrPort{}, state.BadRequest, err))
			return
		}
		response, err := handle(transport.ConnectionContext(ctx), request)
		if err != nil {
			writeError(ctx, err)
			return
		}
		writeJSON(ctx, fasthttp.StatusOK, response)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		writeError(ctx, state.NewAmbiguousStepError(string(ctx.Path()), netip.AddrPort{}, state.TaskFailed, err))
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(text)
}
