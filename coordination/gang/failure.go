package gang

import (
	"context"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// failure is why a gang did not start and which workers are to blame.
type failure struct {
	reason state.Reason
	failed []netip.AddrPort
	// refused names a worker that answered no, which says nothing against it.
	refused []netip.AddrPort
}

func (f *failure) result(ran state.Ran) Result {
	return Result{Ran: ran, Reason: f.reason, Failed: f.failed, Refused: f.refused}
}

// failureOf reads what a rack's error says; one without a step means that the
// rack's home gave no answer.
func failureOf(p *part, err error) *failure {
	f := &failure{reason: state.ReasonOf(err, state.HomeUnreachable)}
	var step *state.StepError
	if !errors.As(err, &step) || !p.uses(step.Peer) {
		return f
	}
	if blames(step.Reason) {
		f.failed = []netip.AddrPort{step.Peer}
		return f
	}
	f.refused = []netip.AddrPort{step.Peer}
	return f
}

// orEnded returns f, or what ended ctx if the caller gave up meanwhile.
func (f *failure) orEnded(ctx context.Context) *failure {
	switch {
	case f == nil || ctx.Err() == nil:
		return f
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &failure{reason: state.DeadlinePassed}
	default:
		return &failure{reason: state.Cancelled}
	}
}

// blames reports whether the reason counts against the worker that gave it.
func blames(reason state.Reason) bool {
	switch reason {
	case state.WorkerFailed, state.WorkerSilent, state.WorkerLost, state.ConnectionLost:
		return true
	default:
		return false
	}
}

func (p *part) uses(worker netip.AddrPort) bool {
	return slices.ContainsFunc(p.placements, func(pl state.Placement) bool { return pl.Worker == worker })
}
