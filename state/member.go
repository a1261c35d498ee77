package state

import (
	"cmp"
	"net/netip"
	"time"
)

// Incarnation orders the membership updates about one member: a higher one
// supersedes all earlier ones. It starts as the process's start time in Unix
// milliseconds and grows by one each time that the member refutes an update.
type Incarnation uint64

// IncarnationAt returns the first incarnation of a process started at the given wall time.
func IncarnationAt(started time.Time) Incarnation {
	return Incarnation(max(started.UnixMilli(), 0))
}

// Started returns the wall time at which the process started, to within a few
// seconds: each refutation adds a millisecond.
func (i Incarnation) Started() time.Time {
	return time.UnixMilli(int64(i))
}

// Advert is metadata that a member publishes to all others; the membership
// protocol carries it without interpreting it.
type Advert struct {
	// Version counts the changes within one incarnation; package membership sets it.
	Version uint32
	// Generation is the generation of the manifest in force at the member.
	Generation Generation
	// Digest is a checksum of the manifest in force at the member.
	Digest uint64
}

// Member is an entry instance as the other entries know it.
type Member struct {
	// Address is the TCP address for calls from peers; it identifies the member.
	Address netip.AddrPort
	// Gossip is the UDP address for membership datagrams.
	Gossip           netip.AddrPort
	AvailabilityZone string
	Incarnation      Incarnation
	Advert           Advert
}

// CompareMembers orders members by address, then by incarnation.
func CompareMembers(a, b Member) int {
	return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
}
