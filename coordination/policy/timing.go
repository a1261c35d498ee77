package policy

import (
	"net/netip"
	"time"
)

// confirmTimeout bounds one read of the configuration.
const confirmTimeout = 800 * time.Millisecond

// noPeer stands in errors that arose before anything was sent.
var noPeer netip.AddrPort
