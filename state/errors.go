package state

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
)

// StepError says at which step, towards which peer and for which reason
// something failed; callers find it with errors.As.
type StepError struct {
	Step   string
	Peer   netip.AddrPort
	Reason Reason
	// Ambiguous is set when the peer may have acted all the same.
	Ambiguous bool
	cause     error
}

// NewStepError returns a StepError around cause, which may be nil.
func NewStepError(step string, peer netip.AddrPort, reason Reason, cause error) *StepError {
	return &StepError{Step: step, Peer: peer, Reason: reason, cause: cause}
}

// AmbiguousStep returns a StepError for a request whose answer was lost.
func AmbiguousStep(step string, peer netip.AddrPort, reason Reason, cause error) *StepError {
	return &StepError{Step: step, Peer: peer, Reason: reason, Ambiguous: true, cause: cause}
}

func (e *StepError) Error() string {
	text := e.Step
	if e.Peer.IsValid() {
		text += ": " + e.Peer.String()
	}
	text += ": " + string(e.Reason)
	if e.cause == nil {
		return text
	}
	return fmt.Sprintf("%s: %v", text, e.cause)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.cause }

// ReasonOf returns the reason that err carries, or otherwise if it carries none.
func ReasonOf(err error, otherwise Reason) Reason {
	var step *StepError
	if errors.As(err, &step) {
		return step.Reason
	}
	return otherwise
}

// IsAmbiguous reports whether the peer may have acted although err came back;
// an error without a step counts as ambiguous.
func IsAmbiguous(err error) bool {
	var step *StepError
	if errors.As(err, &step) {
		return step.Ambiguous
	}
	return err != nil
}

// StepParts is a StepError in plain values, as messages carry it.
type StepParts struct {
	Step      string
	Peer      netip.AddrPort
	Reason    Reason
	Ambiguous bool
	// Detail is the text of the cause.
	Detail string
}

// PartsOf returns the parts of the StepError in err; any other error counts
// as an ambiguous taskFailed at the step.
func PartsOf(err error, step string) StepParts {
	var known *StepError
	if !errors.As(err, &known) {
		return StepParts{Step: step, Reason: TaskFailed, Ambiguous: true, Detail: err.Error()}
	}
	parts := StepParts{Step: known.Step, Peer: known.Peer, Reason: known.Reason, Ambiguous: known.Ambiguous}
	if known.cause != nil {
		parts.Detail = known.cause.Error()
	}
	return parts
}

// StepError returns the error again; step and peer stand in where the parts name none.
func (p StepParts) StepError(step string, peer netip.AddrPort) *StepError {
	e := &StepError{Step: p.Step, Peer: p.Peer, Reason: p.Reason, Ambiguous: p.Ambiguous}
	if e.Step == "" {
		e.Step = step
	}
	if !e.Peer.IsValid() {
		e.Peer = peer
	}
	if p.Detail != "" {
		e.cause = errors.New(p.Detail)
	}
	return e
}
