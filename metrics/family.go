package metrics

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"comfreystream/state"
)

// counter is a counter that is exported through tally and whose value can also
// be read.
type counter struct {
	exported tally.Counter
	value    atomic.Uint64
}

func newCounter(root tally.Scope, name string, tags map[string]string) *counter {
	c := &counter{exported: root.Tagged(tags).Counter(name)}
	c.exported.Inc(0)
	return c
}

// counterFamily holds the counters of one metric name by label value. The counter
// under the zero key counts everything that has no counter of its own.
type counterFamily[Key comparable] map[Key]*counter

func newReasonFamily[Reason ~string](root tally.Scope, name string, reasons []Reason) counterFamily[Reason] {
	f := make(counterFamily[Reason], len(reasons)+1)
	for _, reason := range reasons {
		f[reason] = newCounter(root, name, map[string]string{"reason": string(reason)})
	}
	f[""] = newCounter(root, name, map[string]string{"reason": unlistedLabel})
	return f
}

func (f counterFamily[Key]) count(key Key) {
	c, listed := f[key]
	if !listed {
		var unlisted Key
		c = f[unlisted]
	}
	c.exported.Inc(1)
	c.value.Add(1)
}

// ReasonCount is the number of times that a reason was counted.
type ReasonCount struct {
	Reason state.Reason
	Count  uint64
}

// nonZeroCounts returns the reasons that were counted at least once, the most
// frequent first.
func nonZeroCounts(f counterFamily[state.Reason]) (list []ReasonCount) {
	for reason, c := range f {
		if count := c.value.Load(); count > 0 {
			list = append(list, ReasonCount{reason, count})
		}
	}
	slices.SortFunc(list, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}
