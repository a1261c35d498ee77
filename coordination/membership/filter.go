package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"comfreystream/state"
)

// filterBits is the size of a Filter in bits.
const filterBits = 512

// Filter is a Bloom filter with one hash function (Bloom, CACM 1970) over the
// live members that its sender knows. Each comparison uses a new salt, so that
// a member hidden by a collision in one shows up in another.
type Filter [filterBits / 8]byte

// filterParams are the parameters on which both sides of a comparison agree.
type filterParams struct {
	salt uint32
	// zone is the common zone of both sides, or "" if their zones differ. Only
	// adverts of members of this zone are compared.
	zone string
}

func (f *Filter) add(bit uint64) {
	f[bit/8] |= 1 << (bit % 8)
}

func (f *Filter) contains(bit uint64) bool {
	return f[bit/8]&(1<<(bit%8)) != 0
}

// bitOf returns the position of the bit for a live member in its present
// incarnation and, within the common zone, with its present advert.
func (p filterParams) bitOf(member *state.Member) uint64 {
	var version uint32
	if member.AvailabilityZone == p.zone {
		version = member.Advert.Version
	}
	var buffer [24]byte
	binary.BigEndian.PutUint64(buffer[:8], hashAddress(member.Address))
	binary.BigEndian.PutUint64(buffer[8:16], uint64(member.Incarnation))
	binary.BigEndian.PutUint32(buffer[16:20], version)
	binary.BigEndian.PutUint32(buffer[20:], p.salt)
	return xxhash.Sum64(buffer[:]) % filterBits
}

// filter returns the Filter of the view's live members.
func (p filterParams) filter(v *view) (f Filter) {
	for i := range v.live {
		f.add(p.bitOf(&v.live[i]))
	}
	return f
}
