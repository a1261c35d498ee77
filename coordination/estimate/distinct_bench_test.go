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
	observers     = 8
	// precision gives sketches of 2^12 registers and a standard error of 1.04/2^6 = 1.6 %
	// (Flajolet, Fusy, Gandouet, Meunier: HyperLogLog, AofA 2007).
	precision = 12
)

// counter is what one entry keeps of the distinct keys of each organisation.
type counter[Set any] struct {
	fresh  func() Set
	insert func(s Set, hash uint64)
	merge  func(into, from Set)
	count  func(s Set) int
	bytes  func(s Set) int
}

type hashSet = map[uint64]struct{}

var exact = counter[hashSet]{
	fresh:  func() hashSet { return make(hashSet) },
	insert: func(s hashSet, hash uint64) { s[hash] = struct{}{} },
	merge: func(into, from hashSet) {
		for hash := range from {
			into[hash] = struct{}{}
		}
	},
	count: func(s hashSet) int { return len(s) },
	bytes: func(s hashSet) int { return 8 * len(s) },
}

// short keeps 32 bits of each hash; two keys of an organisation are taken for one
// with a probability of 2^-32 a pair.
var short = counter[map[uint32]struct{}]{
	fresh:  func() map[uint32]struct{} { return make(map[uint32]struct{}) },
	insert: func(s map[uint32]struct{}, hash uint64) { s[uint32(hash)] = struct{}{} },
	merge: func(into, from map[uint32]struct{}) {
		for hash := range from {
			into[hash] = struct{}{}
		}
	},
	count: func(s map[uint32]struct{}) int { return len(s) },
	bytes: func(s map[uint32]struct{}) int { return 4 * len(s) },
}

var sketched = counter[*hyperloglog.Sketch]{
	fresh: func() *hyperloglog.Sketch {
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

// BenchmarkDistinct counts the distinct job keys of each of 250 organisations,
// a few of them large, at eight entries of which each sees a third of the keys,
// and merges all eight twice.
func BenchmarkDistinct(b *testing.B) {
	for _, jobs := range []int{12_000, 1_000_000} {
		b.Run(fmt.Sprintf("exact/jobs=%d", jobs), func(b *testing.B) { countDistinct(b, exact, jobs) })
		b.Run(fmt.Sprintf("short/jobs=%d", jobs), func(b *testing.B) { countDistinct(b, short, jobs) })
		b.Run(fmt.Sprintf("sketch/jobs=%d", jobs), func(b *testing.B) { countDistinct(b, sketched, jobs) })
	}
}

func countDistinct[Set any](b *testing.B, c counter[Set], jobs int) {
	for b.Loop() {
		b.StopTimer()
		before := heap()
		seen, truth := observe(c, jobs)
		held := heap() - before
		b.StartTimer()
		merged := c.all()
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
			off := math.Abs(float64(c.count(merged[n])-truth[n])) / float64(max(truth[n], 1))
			worst, sum = max(worst, off), sum+off
		}
		b.ReportMetric(float64(held)/observers, "heapBytes/entry")
		b.ReportMetric(float64(sent), "sentBytes/entry")
		b.ReportMetric(100*worst, "worstError-%")
		b.ReportMetric(100*sum/organisations, "meanError-%")
		runtime.KeepAlive(seen)
		b.StartTimer()
	}
}

func (c counter[Set]) mergeAll(merged []Set, seen [observers][]Set) {
	for _, sets := range seen {
		for n := range merged {
			c.merge(merged[n], sets[n])
		}
	}
}

func (c counter[Set]) counts(sets []Set) (counts []int) {
	for _, s := range sets {
		counts = append(counts, c.count(s))
	}
	return counts
}

func (c counter[Set]) all() (sets []Set) {
	for range organisations {
		sets = append(sets, c.fresh())
	}
	return sets
}

// observe has each key seen by some of the entries, at least by one, and
// returns what they keep and how many keys each organisation has.
func observe[Set any](c counter[Set], jobs int) (seen [observers][]Set, truth [organisations]int) {
	random := rand.New(rand.NewPCG(1, 2))
	owners := rand.NewZipf(random, 1.1, 1, organisations-1)
	for e := range seen {
		seen[e] = c.all()
	}
	for n := range jobs {
		owner := owners.Uint64()
		truth[owner]++
		hash := xxhash.Sum64String(fmt.Sprintf("order-%d", n))
		c.insert(seen[random.IntN(observers)][owner], hash)
		for e := range seen {
			if random.IntN(4) == 0 {
				c.insert(seen[e][owner], hash)
			}
		}
	}
	return seen, truth
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
