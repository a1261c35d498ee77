package message

import (
	"comfreystream/state"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// errorBody is the body of an answer that is not a success.
type errorBody struct {
	Step      string         `json:"step"`
	Peer      netip.AddrPort `json:"peer,omitzero"`
	Reason    state.Reason   `json:"reason"`
	Ambiguous bool           `json:"ambiguous"`
	Detail    string         `json:"detail,omitempty"`
}

func (b errorBody) stepError(path string, peer netip.AddrPort) error {
	step := b.Step
	if step == "" {
		step = path
	}
	if b.Peer.IsValid() {
		peer = b.Peer
	}
	var cause error
	if b.Detail != "" {
		cause = errors.New(b.Detail)
	}
	if b.Ambiguous {
		return state.AmbiguousStep(step, peer, b.Reason, cause)
	}
	return state.NewStepError(step, peer, b.Reason, cause)
}

func fail(ctx *fasthttp.RequestCtx, err error) {
	body := errorBody{Step: string(ctx.Path()), Reason: state.TaskFailed, Ambiguous: true, Detail: err.Error()}
	var step *state.StepError
	if errors.As(err, &step) {
		body = errorBody{Step: step.Step, Peer: step.Peer, Reason: step.Reason, Ambiguous: step.Ambiguous}
		if cause := step.Unwrap(); cause != nil {
			body.Detail = cause.Error()
		}
	}
	answer(ctx, statusOf(body), body)
}

func statusOf(body errorBody) int {
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
