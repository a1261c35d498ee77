package message

import (
	"bytes"
	"comfreystream/state"
	"comfreystream/transport"
	"context"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
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
		body := ctx.PostBody()
		if limits.BodyBytes > 0 && len(body) > limits.BodyBytes {
			fail(ctx, state.NewStepError(step, netip.AddrPort{}, state.BodyTooLarge, nil))
			return
		}
		var request Request
		if err := decode(body, &request); err != nil {
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

func answer(ctx *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		fail(ctx, state.AmbiguousStep(string(ctx.Path()), netip.AddrPort{}, state.TaskFailed, err))
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(text)
}

// decode refuses unknown fields and anything after the one JSON value.
func decode(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "decode JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode JSON: more than one value")
	}
	return nil
}
