package planning

import (
	"sync"
	"testing"

	"comfreystream/state"
)

// The targets of the policy against the baseline, over the seeded lists.
const (
	largestFragmentationRatio = 0.7
	largestCompletionRatio    = 0.7
	largestLargeWaitRatio     = 0.5
	// listsTested is the number of lists, from seed 1, that the test replays.
	listsTested = 3
)

func TestTargets(t *testing.T) {
	if testing.Short() {
		t.Skip("replays take seconds")
	}
	outcomes := state.NewTable[string, [2]outcome]()
	var replays sync.WaitGroup
	for _, s := range sites[:2] {
		replays.Go(func() {
			planned, plain := compare(s, listsTested)
			outcomes.Put(s.name, [2]outcome{planned, plain})
		})
	}
	replays.Wait()
	tests := []struct {
		name  string
		site  string
		bound float64
		value func(planned, plain outcome) float64
	}{
		{"guarantee violations", "andina", 0, violations},
		{"guarantee violations", "brazos", 0, violations},
		{"latest urgent start", "andina", urgentLimit.Seconds(), latestUrgent},
		{"latest urgent start", "brazos", urgentLimit.Seconds(), latestUrgent},
		{"jobs that never ran", "andina", 0, unserved},
		{"jobs that never ran", "brazos", 0, unserved},
		{"accelerators used less", "andina", 0, lessUse},
		{"accelerators used less", "brazos", 0, lessUse},
		{"large wait", "andina", largestLargeWaitRatio, largeWait},
		{"large wait", "brazos", largestLargeWaitRatio, largeWait},
		{"fragmentation", "andina", largestFragmentationRatio, fragmentationRatio},
		{"completion", "brazos", largestCompletionRatio, completionRatio},
	}
	for _, tt := range tests {
		t.Run(tt.site+"/"+tt.name, func(t *testing.T) {
			both, _ := outcomes.Get(tt.site)
			if got := tt.value(both[0], both[1]); got > tt.bound {
				t.Errorf("%s is %.3f, more than %.3f", tt.name, got, tt.bound)
			}
		})
	}
}

func violations(planned, _ outcome) float64 { return float64(planned.violations) }
func unserved(planned, _ outcome) float64   { return float64(planned.unserved) }
func lessUse(planned, plain outcome) float64 {
	return plain.use - planned.use
}

func latestUrgent(planned, _ outcome) float64 {
	return percentile(planned.wait["urgent"], 1).Seconds()
}

func largeWait(planned, plain outcome) float64 {
	return ratio(0.99, planned.wait["large"], plain.wait["large"])
}

func fragmentationRatio(planned, plain outcome) float64 {
	return planned.fragmentation / plain.fragmentation
}

func completionRatio(planned, plain outcome) float64 {
	return ratio(0.99, planned.completion["all"], plain.completion["all"])
}
