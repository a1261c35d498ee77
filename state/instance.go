package state

import "net/netip"

// Instance is an entry instance as the platform's instance list names it.
type Instance struct {
	Address          netip.AddrPort
	AvailabilityZone string
	// Leaving is set once the platform is about to take the instance away.
	Leaving bool
}

// InstanceList is what the platform says is there; it lags behind.
type InstanceList struct {
	Workers []Worker
	Entries []Instance
}
