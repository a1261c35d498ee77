package state

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
)

// StepError records the operation (step) that failed, the peer that it
// addressed and the reason; use errors.As to find it.
type StepError struct {
	Step   string
	Peer   netip.AddrPort
	Reason Reason
	// Ambiguous is set when the peer may have carried out the request despite the error.
	Ambiguous bool
	cause     error
}

// NewStepError returns a StepError around cause, which may be nil.
func NewStepError(step string, peer netip.AddrPort, reason Reason, cause error) *StepError {
	return &StepError{Step: step, Peer: peer, Reason: reason, cause: cause}
}

// NewAmbiguousStepError returns a StepError for a request that the peer may have
// carried out, although no valid answer arrived; cause may be nil.
func NewAmbiguousStepError(step string, peer netip.AddrPort, reason Reason, cause error) *StepError {
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

// ReasonOf returns the reason of the StepError in err's chain, or fallback if there is none.
func ReasonOf(err error, fallback Reason) Reason {
	var step *StepError
	if errors.As(err, &step) {
		return step.Reason
	}
	return fallback
}

// IsAmbiguous reports whether the peer may have carried out the request that
// failed with err; an error that is not a StepError counts as ambiguous.
func IsAmbiguous(err error) bool {
	var step *StepError
	if errors.As(err, &step) {
		return step.Ambiguous
	}
	return err != nil
}

// StepParts holds the fields of a StepError for encoding in a message.
type StepParts struct {
	Step      string
	Peer      netip.AddrPort
	Reason    Reason
	Ambiguous bool
	// Detail is the error text of the cause.
	Detail string
}

// PartsOf returns the fields of the StepError in err; any other error becomes
// an ambiguous TaskFailed at the given step.
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

// StepError converts the parts back to an error; step and peer are the
// defaults where the parts name none.
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
