package message

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/protocol/body"
	"comfreystream/state"
	"comfreystream/transport"
)

const contentType = "application/json"

// Call posts the request to the path on the peer and returns its response. A
// failure is a *state.StepError whose step is the path or the one that the
// peer reported; it is ambiguous if the peer may have acted.
func Call[Request, Response any](ctx context.Context, client *transport.Client,
	peer netip.AddrPort, path string, request Request,
) (response Response, err error) {
	text, err := json.Marshal(request)
	if err != nil {
		return response, state.NewStepError(path, peer, state.BadRequest, err)
	}
	call := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(call)
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(answer)
	call.Header.SetMethod(fasthttp.MethodPost)
	call.Header.SetContentType(contentType)
	call.Header.SetHost(peer.String())
	call.SetRequestURI(path)
	call.SetBodyRaw(text)
	if err := client.Do(ctx, peer, call, answer); err != nil {
		return response, lost(path, peer, err)
	}
	if answer.StatusCode() != fasthttp.StatusOK {
		return response, decodeError(path, peer, answer)
	}
	if err := body.Decode(answer.Body(), &response); err != nil {
		return response, state.AmbiguousStep(path, peer, state.ConnectionLost, err)
	}
	return response, nil
}

func lost(path string, peer netip.AddrPort, err error) error {
	if transport.MayHaveActed(err) {
		return state.AmbiguousStep(path, peer, state.ConnectionLost, err)
	}
	return state.NewStepError(path, peer, state.ConnectionLost, err)
}

func decodeError(path string, peer netip.AddrPort, answer *fasthttp.Response) error {
	var failed errorBody
	if err := body.Decode(answer.Body(), &failed); err != nil || failed.Reason == "" {
		return untypedError(path, peer, answer.StatusCode())
	}
	return state.StepParts(failed).StepError(path, peer)
}

// untypedError types an answer that no handler gave: by these statuses a
// server refuses a request before it is handled.
func untypedError(path string, peer netip.AddrPort, status int) error {
	cause := errors.Errorf("status %d without a typed error", status)
	switch status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return state.NewStepError(path, peer, state.ConnectionLost, cause)
	case fasthttp.StatusRequestEntityTooLarge:
		return state.NewStepError(path, peer, state.BodyTooLarge, cause)
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound, fasthttp.StatusRequestHeaderFieldsTooLarge:
		return state.NewStepError(path, peer, state.BadRequest, cause)
	default:
		return state.AmbiguousStep(path, peer, state.ConnectionLost, cause)
	}
}
