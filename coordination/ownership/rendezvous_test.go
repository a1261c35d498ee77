package ownership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"comfreystream/state"
)

const testKeys = 4096

func testMembers(count int) []state.Member {
	members := make([]state.Member, count)
	for i := range members {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)})
		members[i] = state.Member{Address: netip.AddrPortFrom(address, 7070), AvailabilityZone: "a"}
	}
	return members
}

func homes(members []state.Member) []netip.AddrPort {
	found := make([]netip.AddrPort, testKeys)
	for i := range found {
		home, _ := Home(fmt.Sprint("rack:a/r", i), members)
		found[i] = home.Address
	}
	return found
}

// TestLeavingMember checks that only the keys of a member that leaves move, each to
// the next member in rank.
func TestLeavingMember(t *testing.T) {
	tests := []struct {
		name    string
		members int
		leaving int
	}{
		{"one of two leaves", 2, 1},
		{"one of eight leaves", 8, 3},
		{"one of 32 leaves", 32, 31},
		{"one of 128 leaves", 128, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := testMembers(tt.members)
			leaving := before[tt.leaving].Address
			after := slices.Delete(slices.Clone(before), tt.leaving, tt.leaving+1)
			oldHomes, newHomes := homes(before), homes(after)
			for i := range oldHomes {
				if oldHomes[i] != leaving && newHomes[i] != oldHomes[i] {
					t.Fatalf("key %d moved from %v to %v, although %v left", i, oldHomes[i], newHomes[i], leaving)
				}
				if oldHomes[i] != leaving {
					continue
				}
				ranked := Rank(fmt.Sprint("rack:a/r", i), slices.Clone(before))
				if newHomes[i] != ranked[1].Address {
					t.Fatalf("key %d moved to %v, not to the second in rank %v", i, newHomes[i], ranked[1].Address)
				}
			}
		})
	}
}

// TestBalance checks that no member owns more keys than five standard deviations
// above the mean, and that each owns some.
func TestBalance(t *testing.T) {
	for _, count := range []int{2, 8, 32, 128} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			keyCounts := map[netip.AddrPort]int{}
			for _, home := range homes(testMembers(count)) {
				keyCounts[home]++
			}
			mean := float64(testKeys) / float64(count)
			limit := mean + 5*math.Sqrt(mean)
			for address, keys := range keyCounts {
				if float64(keys) > limit {
					t.Errorf("%v owns %d keys, want at most %.0f", address, keys, limit)
				}
			}
			if len(keyCounts) != count {
				t.Errorf("%d members own keys, want %d", len(keyCounts), count)
			}
		})
	}
}

func TestMemberOrderIsIrrelevant(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	members := testMembers(16)
	want := homes(members)
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	if !slices.Equal(homes(members), want) {
		t.Error("homes depend on the order of the members")
	}
	if _, found := Home("zone:a", nil); found {
		t.Error("Home found a member in an empty list")
	}
}

func TestAllocations(t *testing.T) {
	members := testMembers(32)
	tests := []struct {
		name string
		call func()
	}{
		{"home", func() { Home("rack:a/r1", members) }},
		{"rank", func() { Rank("rack:a/r1", members) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if allocations := testing.AllocsPerRun(100, tt.call); allocations != 0 {
				t.Errorf("%v allocations per call, want 0", allocations)
			}
		})
	}
}

func BenchmarkHome(b *testing.B) {
	members := testMembers(32)
	for b.Loop() {
		Home("rack:a/r1", members)
	}
}
