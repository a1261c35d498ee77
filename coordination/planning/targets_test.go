package planning

import (
	"sync"
	"testing"

	"comfreystream/state"
)

// Bounds for the planner's figures as ratios to the baseline's.
const (
	maxFragmentationRatio = 0.7
	maxCompletionRatio    = 0.7
	maxLargeWaitRatio     = 0.5
	// testedSeeds is the number of workloads, from seed 1, that the test replays.
	testedSeeds = 3
)

// TestTargets fails if the planner breaks a guarantee, starves a job or does not beat the
// baseline by the bounds above on the seeded workloads.
func TestTargets(t *testing.T) {
	if testing.Short() {
		t.Skip("replays take seconds")
	}
	outcomes := state.NewTable[string, [2]outcome]()
	var replays sync.WaitGroup
	for _, s := range sites[:2] {
		replays.Go(func() {
			planner, baseline := compare(s, testedSeeds)
			outcomes.Put(s.name, [2]outcome{planner, baseline})
		})
	}
	replays.Wait()
	tests := []struct {
		name  string
		site  string
		bound float64
		value func(planner, baseline outcome) float64
	}{
		{"guarantee violations", "andina", 0, violations},
		{"guarantee violations", "brazos", 0, violations},
		{"latest urgent start", "andina", maxUrgentWait.Seconds(), latestUrgentStart},
		{"latest urgent start", "brazos", maxUrgentWait.Seconds(), latestUrgentStart},
		{"jobs that never ran", "andina", 0, unfinished},
		{"jobs that never ran", "brazos", 0, unfinished},
		{"accelerators used less", "andina", 0, utilisationLoss},
		{"accelerators used less", "brazos", 0, utilisationLoss},
		{"large wait", "andina", maxLargeWaitRatio, largeWaitRatio},
		{"large wait", "brazos", maxLargeWaitRatio, largeWaitRatio},
		{"fragmentation", "andina", maxFragmentationRatio, fragmentationRatio},
		{"completion", "brazos", maxCompletionRatio, completionRatio},
	}
	for _, tt := range tests {
		t.Run(tt.site+"/"+tt.name, func(t *testing.T) {
			pair, _ := outcomes.Get(tt.site)
			if got := tt.value(pair[0], pair[1]); got > tt.bound {
				t.Errorf("%s is %.3f, more than %.3f", tt.name, got, tt.bound)
			}
		})
	}
}

func violations(planner, _ outcome) float64 { return float64(planner.violations) }
func unfinished(planner, _ outcome) float64 { return float64(planner.unfinished) }
func utilisationLoss(planner, baseline outcome) float64 {
	return baseline.utilisation - planner.utilisation
}

func latestUrgentStart(planner, _ outcome) float64 {
	return percentile(planner.wait["urgent"], 1).Seconds()
}

func largeWaitRatio(planner, baseline outcome) float64 {
	return percentileRatio(0.99, planner.wait["large"], baseline.wait["large"])
}

func fragmentationRatio(planner, baseline outcome) float64 {
	return planner.fragmentation / baseline.fragmentation
}

func completionRatio(planner, baseline outcome) float64 {
	return percentileRatio(0.99, planner.completion["all"], baseline.completion["all"])
}
