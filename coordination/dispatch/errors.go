package dispatch

import (
	"net/netip"

	"comfreystream/state"
)

// stepError returns a refusal by this planner itself, without a peer.
func stepError(step string, reason state.Reason) error {
	return state.NewStepError(step, netip.AddrPort{}, reason, nil)
}
