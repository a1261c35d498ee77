package state

import "net/netip"

// Instance is an entry as listed in the platform's instance list.
type Instance struct {
	Address          netip.AddrPort
	AvailabilityZone string
	// Leaving is set once the platform is about to remove the instance.
	Leaving bool
}

// InstanceList holds the workers and entries that the platform lists; it lags
// behind their actual state.
type InstanceList struct {
	Workers []Worker
	Entries []Instance
}

// InstanceChanges describes the changes of the list since the version that a reader has.
type InstanceChanges struct {
	// Version is the version of the list after these changes.
	Version uint64
	// Full is set when Changed is the whole list and replaces the reader's copy.
	Full bool
	// Changed lists new and changed instances.
	Changed InstanceList
	// Removed lists the instances that were removed.
	Removed []netip.AddrPort
}
