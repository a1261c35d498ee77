package message

import (
	"net/netip"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
)

// errorBody is the body of an error response. Its fields are those of
// state.StepParts.
type errorBody struct {
	Step      string         `json:"step"`
	Peer      netip.AddrPort `json:"peer,omitzero"`
	Reason    state.Reason   `json:"reason"`
	Ambiguous bool           `json:"ambiguous"`
	Detail    string         `json:"detail,omitempty"`
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	body := errorBody(state.PartsOf(err, string(ctx.Path())))
	writeJSON(ctx, httpStatus(body), body)
}

func httpStatus(body errorBody) int {
	switch {
	case body.Ambiguous:
		return fasthttp.StatusInternalServerError
	case body.Reason == state.BodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case body.Reason.MayRetry():
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusBadRequest
	}
}
