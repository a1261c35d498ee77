package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/axiomhq/hyperloglog"
	"github.com/cespare/xxhash/v2"
)

const (
	organisations = 250
	entries       = 8
	// precision gives sketches of 2^12 registers and a standard error of 1.04/2^6 = 1.6 %
	// (Flajolet, Fusy, Gandouet, Meunier: HyperLogLog, AofA 2007).
	precision = 12
)

// distinctCounter is one way to count an organisation's distinct keys.
type distinctCounter[Set any] struct {
	newSet func() Set
	insert func(s Set, hash uint64)
	merge  func(into, from Set)
	count  func(s Set) int
	bytes  func(s Set) int
}

type hashSet = map[uint64]struct{}

var exactCounter = distinctCounter[hashSet]{
	newSet: func() hashSet { return make(hashSet) },
	insert: func(s hashSet, hash uint64) { s[hash] = struct{}{} },
	merge: func(into, from hashSet) {
		for hash := range from {
			into[hash] = struct{}{}
		}
	},
	count: func(s hashSet) int { return len(s) },
	bytes: func(s hashSet) int { return 8 * len(s) },
}

// hash32Counter keeps 32 bits of each hash; two keys of an organisation collide
// with a probability of 2^-32 a pair.
var hash32Counter = distinctCounter[map[uint32]struct{}]{
	newSet: func() map[uint32]struct{} { return make(map[uint32]struct{}) },
	insert: func(s map[uint32]struct{}, hash uint64) { s[uint32(hash)] = struct{}{} },
	merge: func(into, from map[uint32]struct{}) {
		for hash := range from {
			into[hash] = struct{}{}
		}
	},
	count: func(s map[uint32]struct{}) int { return len(s) },
	bytes: func(s map[uint32]struct{}) int { return 4 * len(s) },
}

var sketchCounter = distinctCounter[*hyperloglog.Sketch]{
	newSet: func() *hyperloglog.Sketch {
		s, err := hyperloglog.NewSketch(precision, true)
		if err != nil {
			panic(err)
		}
		return s
	},
	insert: func(s *hyperloglog.Sketch, hash uint64) { s.InsertHash(hash) },
	merge: func(into, from *hyperloglog.Sketch) {
		if err := into.Merge(from); err != nil {
			panic(err)
		}
	},
	count: func(s *hyperloglog.Sketch) int { return int(s.Estimate()) },
	bytes: func(s *hyperloglog.Sketch) int {
		data, err := s.MarshalBinary()
		if err != nil {
			panic(err)
		}
		return len(data)
	},
}

// BenchmarkDistinct compares exact and approximate counts of the distinct job
// keys of 250 organisations of unequal size, collected at eight entries that see
// a third of the keys each. It merges all eight sets twice, since merging again
// must not change the counts.
func BenchmarkDistinct(b *testing.B) {
	for _, jobs := range []int{12_000, 1_000_000} {
		b.Run(fmt.Sprintf("exact/jobs=%d", jobs), func(b *testing.B) { countDistinct(b, exactCounter, jobs) })
		b.Run(fmt.Sprintf("short/jobs=%d", jobs), func(b *testing.B) { countDistinct(b, hash32Counter, jobs) })
		b.Run(fmt.Sprintf("sketch/jobs=%d", jobs), func(b *testing.B) { countDistinct(b, sketchCounter, jobs) })
	}
}

func countDistinct[Set any](b *testing.B, c distinctCounter[Set], jobs int) {
	for b.Loop() {
		b.StopTimer()
		before := liveHeap()
		seen, exactCounts := observeKeys(c, jobs)
		held := liveHeap() - before
		b.StartTimer()
		merged := c.newSets()
		c.mergeAll(merged, seen)
		once := c.counts(merged)
		c.mergeAll(merged, seen)
		b.StopTimer()
		if again := c.counts(merged); !slices.Equal(again, once) {
			b.Fatalf("merging again changed the counts from %v to %v", once, again)
		}
		sent, worst, sum := 0, 0.0, 0.0
		for n := range merged {
			sent += c.bytes(seen[0][n])
			off := math.Abs(float64(c.count(merged[n])-exactCounts[n])) / float64(max(exactCounts[n], 1))
			worst, sum = max(worst, off), sum+off
		}
		b.ReportMetric(float64(held)/entries, "heapBytes/entry")
		b.ReportMetric(float64(sent), "sentBytes/entry")
		b.ReportMetric(100*worst, "worstError-%")
		b.ReportMetric(100*sum/organisations, "meanError-%")
		runtime.KeepAlive(seen)
		b.StartTimer()
	}
}

func (c distinctCounter[Set]) mergeAll(merged []Set, seen [entries][]Set) {
	for _, sets := range seen {
		for n := range merged {
			c.merge(merged[n], sets[n])
		}
	}
}

func (c distinctCounter[Set]) counts(sets []Set) (counts []int) {
	for _, s := range sets {
		counts = append(counts, c.count(s))
	}
	return counts
}

func (c distinctCounter[Set]) newSets() (sets []Set) {
	for range organisations {
		sets = append(sets, c.newSet())
	}
	return sets
}

// observeKeys gives each key to one or more entries. It returns the sets that
// the entries keep, and the exact number of keys of each organisation.
func observeKeys[Set any](c distinctCounter[Set], jobs int) (seen [entries][]Set, exactCounts [organisations]int) {
	random := rand.New(rand.NewPCG(1, 2))
	owners := rand.NewZipf(random, 1.1, 1, organisations-1)
	for e := range seen {
		seen[e] = c.newSets()
	}
	for n := range jobs {
		owner := owners.Uint64()
		exactCounts[owner]++
		hash := xxhash.Sum64String(fmt.Sprintf("order-%d", n))
		c.insert(seen[random.IntN(entries)][owner], hash)
		for e := range seen {
			if random.IntN(4) == 0 {
				c.insert(seen[e][owner], hash)
			}
		}
	}
	return seen, exactCounts
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
