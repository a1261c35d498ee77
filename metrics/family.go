package metrics

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"comfreystream/state"
)

// counter is a tally counter whose value can be read, too.
type counter struct {
	reported tally.Counter
	value    atomic.Uint64
}

func newCounter(root tally.Scope, name string, tags map[string]string) *counter {
	c := &counter{reported: root.Tagged(tags).Counter(name)}
	c.reported.Inc(0)
	return c
}

// family holds the counters of one name; the zero key takes what is not listed.
type family[Key comparable] map[Key]*counter

func reasonFamily[Reason ~string](root tally.Scope, name string, reasons []Reason) family[Reason] {
	f := make(family[Reason], len(reasons)+1)
	for _, reason := range reasons {
		f[reason] = newCounter(root, name, map[string]string{"reason": string(reason)})
	}
	f[""] = newCounter(root, name, map[string]string{"reason": unlisted})
	return f
}

func (f family[Key]) count(key Key) {
	c, listed := f[key]
	if !listed {
		var other Key
		c = f[other]
	}
	c.reported.Inc(1)
	c.value.Add(1)
}

// Total is how often a reason was counted.
type Total struct {
	Reason state.Reason
	Count  uint64
}

// totals returns the reasons that were counted, the most frequent first.
func totals(f family[state.Reason]) (list []Total) {
	for reason, c := range f {
		if count := c.value.Load(); count > 0 {
			list = append(list, Total{reason, count})
		}
	}
	slices.SortFunc(list, func(a, b Total) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}
