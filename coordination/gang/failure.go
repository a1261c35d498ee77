package gang

import (
	"context"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// failure is why a gang did not start, and which workers are to blame.
type failure struct {
	reason state.Reason
	blamed []netip.AddrPort
	// refused lists workers that refused a request, which does not count against
	// them.
	refused []netip.AddrPort
}

func (f *failure) result(ran state.Ran) Result {
	return Result{Ran: ran, Reason: f.reason, Failed: f.blamed, Refused: f.refused}
}

// classifyError converts a rack's error to a failure. An error without a
// state.StepError means that the rack's home did not answer.
func classifyError(p *rackPart, err error) *failure {
	f := &failure{reason: state.ReasonOf(err, state.HomeUnreachable)}
	var step *state.StepError
	if !errors.As(err, &step) || !p.includesWorker(step.Peer) {
		return f
	}
	if blamesWorker(step.Reason) {
		f.blamed = []netip.AddrPort{step.Peer}
		return f
	}
	f.refused = []netip.AddrPort{step.Peer}
	return f
}

// orContextError returns f, or the reason why ctx ended if the caller gave up in
// the meantime.
func (f *failure) orContextError(ctx context.Context) *failure {
	switch {
	case f == nil || ctx.Err() == nil:
		return f
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failure{reason: state.DeadlinePassed}
	default:
		return &failure{reason: state.Cancelled}
	}
}

// blamesWorker reports whether the reason counts against the worker that gave
// it.
func blamesWorker(reason state.Reason) bool {
	switch reason {
	case state.WorkerFailed, state.WorkerSilent, state.WorkerLost, state.ConnectionLost:
		return true
	default:
		return false
	}
}

func (p *rackPart) includesWorker(worker netip.AddrPort) bool {
	return slices.ContainsFunc(p.placements, func(pl state.Placement) bool { return pl.Worker == worker })
}
