package transport

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
)

// CallError is the error of a call that got no complete response.
type CallError struct {
	Peer netip.AddrPort
	// Sent is set if any byte of the request was written, so that the peer may
	// have acted on it; otherwise it is safe to send the request again.
	Sent bool
	// TimedOut is set if a deadline passed before the response was complete.
	TimedOut bool
	cause    error
}

func (e *CallError) Error() string {
	state := "request not sent"
	if e.Sent {
		state = "request sent, no complete response"
	}
	return fmt.Sprintf("call %s: %s: %v", e.Peer, state, e.cause)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.cause }

// Timeout reports whether a deadline passed, as in net.Error.
func (e *CallError) Timeout() bool { return e.TimedOut }

// MayHaveActed reports whether the peer may have acted on a request whose call
// failed with the error; it returns true for errors other than a *CallError.
func MayHaveActed(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.Sent
	}
	return err != nil
}
