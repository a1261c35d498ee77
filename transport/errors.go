package transport

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
)

// CallError is a request that got no whole answer.
type CallError struct {
	Peer netip.AddrPort
	// Sent is set once any byte of the request may have left, so that the
	// peer may have acted; otherwise the request may be sent again.
	Sent bool
	// Silent is set when the deadline passed before the answer came.
	Silent bool
	cause  error
}

func (e *CallError) Error() string {
	state := "not sent"
	if e.Sent {
		state = "sent, no whole answer"
	}
	return fmt.Sprintf("call: %s: %s: %v", e.Peer, state, e.cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }

// Timeout reports whether the deadline passed.
func (e *CallError) Timeout() bool { return e.Silent }

// MayHaveActed reports whether the peer of a failed call may have acted;
// errors of other kinds count as such.
func MayHaveActed(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.Sent
	}
	return err != nil
}
