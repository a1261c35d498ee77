package dispatch

import (
	"net/netip"

	"comfreystream/state"
)

// stepError is a refusal by this planner itself; no peer has a part in it.
func stepError(step string, reason state.Reason) error {
	return state.NewStepError(step, netip.AddrPort{}, reason, nil)
}
