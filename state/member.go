package state

import (
	"cmp"
	"net/netip"
	"time"
)

// Incarnation orders what is said of one member: a higher one replaces all
// that was said before. It starts as the start time of the process in
// milliseconds since 1970 and grows by one with each claim that the member refutes.
type Incarnation uint64

// IncarnationAt returns the first incarnation of a process started at that wall time.
func IncarnationAt(started time.Time) Incarnation {
	return Incarnation(max(started.UnixMilli(), 0))
}

// Started returns the wall time at which the process started, to within a few seconds.
func (i Incarnation) Started() time.Time {
	return time.UnixMilli(int64(i))
}

// Advert is what a member tells all others about itself; membership carries
// it without looking into it.
type Advert struct {
	// Version counts the changes within one incarnation; membership sets it.
	Version uint32
	// Generation is that of the manifest in force at the member.
	Generation Generation
	// Digest is a checksum of the manifest in force at the member.
	Digest uint64
}

// Member is an entry instance as the other entries know it.
type Member struct {
	// Address is where the member takes calls from its peers, over TCP; it is its identity.
	Address netip.AddrPort
	// Gossip is where the member takes membership datagrams, over UDP.
	Gossip           netip.AddrPort
	AvailabilityZone string
	Incarnation      Incarnation
	Advert           Advert
}

// CompareMembers orders members by address.
func CompareMembers(a, b Member) int {
	return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
}
