package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"comfreystream/state"
)

// Home returns the member that owns the key, the one with the highest score, or
// false if there are no members. It does not allocate.
func Home(key string, members []state.Member) (home state.Member, found bool) {
	keyHash := xxhash.Sum64String(key)
	var best uint64
	for i := range members {
		s := score(keyHash, &members[i])
		if found && !ranksHigher(s, best, &members[i], &home) {
			continue
		}
		home, best, found = members[i], s, true
	}
	return home, found
}

// Rank sorts the members in place and returns them: the key's home first, then the
// members in the order in which they take over. It does not allocate.
func Rank(key string, members []state.Member) []state.Member {
	keyHash := xxhash.Sum64String(key)
	slices.SortFunc(members, func(a, b state.Member) int {
		return cmp.Or(
			cmp.Compare(score(keyHash, &b), score(keyHash, &a)),
			a.Address.Compare(b.Address),
		)
	})
	return members
}

// score returns the rendezvous score of a member for a key.
func score(keyHash uint64, m *state.Member) uint64 {
	var text [18]byte
	address := m.Address.Addr().As16()
	port := m.Address.Port()
	copy(text[:16], address[:])
	text[16], text[17] = byte(port>>8), byte(port)
	return mix(keyHash ^ xxhash.Sum64(text[:]))
}

// ranksHigher reports whether the first score and member rank above the second; equal
// scores are ordered by address.
func ranksHigher(a, b uint64, first, second *state.Member) bool {
	if a != b {
		return a > b
	}
	return first.Address.Compare(second.Address) < 0
}

// mix is the 64-bit finalizer of MurmurHash3 (Appleby, 2011): every bit of x affects
// all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
