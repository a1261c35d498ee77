package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"comfreystream/state"
)

// filterBits is the size of a Filter.
const filterBits = 512

// Filter is a Bloom filter with one hash function (Bloom, CACM 1970) over the
// live members that its sender knows. Each comparison has a salt of its own,
// so that a member hidden by a collision shows in another one.
type Filter [filterBits / 8]byte

// scope says which members are compared down to their adverts.
type scope struct {
	salt uint32
	// zone is the zone of both sides, or "" if they are of different zones:
	// adverts of other zones are not compared.
	zone string
}

func (f *Filter) add(bit uint64) {
	f[bit/8] |= 1 << (bit % 8)
}

func (f *Filter) has(bit uint64) bool {
	return f[bit/8]&(1<<(bit%8)) != 0
}

// bit returns the place of what is known of a live member.
func (s scope) bit(member *state.Member) uint64 {
	var version uint32
	if member.AvailabilityZone == s.zone {
		version = member.Advert.Version
	}
	var text [24]byte
	binary.BigEndian.PutUint64(text[:8], hashAddress(member.Address))
	binary.BigEndian.PutUint64(text[8:16], uint64(member.Incarnation))
	binary.BigEndian.PutUint32(text[16:20], version)
	binary.BigEndian.PutUint32(text[20:], s.salt)
	return xxhash.Sum64(text[:]) % filterBits
}

// filter returns the filter over all live members of the view.
func (s scope) filter(v *view) (f Filter) {
	for i := range v.live {
		f.add(s.bit(&v.live[i]))
	}
	return f
}
