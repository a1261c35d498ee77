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

// Call posts the request to the path on the peer and returns the response. An
// error is a *state.StepError whose step is the path or the one that the peer
// reported; it is ambiguous if the request may have taken effect.
func Call[Request, Response any](ctx context.Context, client *transport.Client,
	peer netip.AddrPort, path string, request Request,
) (response Response, err error) {
	text, err := json.Marshal(request)
	if err != nil {
		return response, state.NewStepError(path, peer, state.BadRequest, err)
	}
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	httpResponse := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpResponse)
	httpRequest.Header.SetMethod(fasthttp.MethodPost)
	httpRequest.Header.SetContentType(contentType)
	httpRequest.Header.SetHost(peer.String())
	httpRequest.SetRequestURI(path)
	httpRequest.SetBodyRaw(text)
	if err := client.Do(ctx, peer, httpRequest, httpResponse); err != nil {
		return response, connectionError(path, peer, err)
	}
	if httpResponse.StatusCode() != fasthttp.StatusOK {
		return response, decodeError(path, peer, httpResponse)
	}
	if err := body.Decode(httpResponse.Body(), &response); err != nil {
		return response, state.NewAmbiguousStepError(path, peer, state.ConnectionLost, err)
	}
	return response, nil
}

func connectionError(path string, peer netip.AddrPort, err error) error {
	if transport.MayHaveActed(err) {
		return state.NewAmbiguousStepError(path, peer, state.ConnectionLost, err)
	}
	return state.NewStepError(path, peer, state.ConnectionLost, err)
}

func decodeError(path string, peer netip.AddrPort, response *fasthttp.Response) error {
	var failed errorBody
	if err := body.Decode(response.Body(), &failed); err != nil || failed.Reason == "" {
		return errorFromStatus(path, peer, response.StatusCode())
	}
	return state.StepParts(failed).StepError(path, peer)
}

// errorFromStatus returns the error for a response without an error body. Servers
// send the statuses listed here when they refuse a request before it reaches a
// handler, so the request had no effect; with any other status it may have had one.
func errorFromStatus(path string, peer netip.AddrPort, status int) error {
	cause := errors.Errorf("status %d without an error body", status)
	switch status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return state.NewStepError(path, peer, state.ConnectionLost, cause)
	case fasthttp.StatusRequestEntityTooLarge:
		return state.NewStepError(path, peer, state.BodyTooLarge, cause)
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound, fasthttp.StatusRequestHeaderFieldsTooLarge:
		return state.NewStepError(path, peer, state.BadRequest, cause)
	default:
		return state.NewAmbiguousStepError(path, peer, state.ConnectionLost, cause)
	}
}
