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

// InstanceChanges is what happened to the list since the version that a reader knows.
type InstanceChanges struct {
	// Version is the list's own count of changes after these.
	Version uint64
	// Full is set when Changed is the whole list.
	Full bool
	// Changed lists new and changed instances.
	Changed InstanceList
	// Gone lists the instances that are no longer there.
	Gone []netip.AddrPort
}
