package scheduling_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/scheduling"
	"comfreystream/state/workflow"
)

// TestPlacementDelayed guards against a job that waits beside workers with room without a
// line in the log that says why.
func TestPlacementDelayed(t *testing.T) {
	long := workflow.Step{Tasks: 1, Accelerators: 8, Estimate: 100 * time.Second}
	tests := []struct {
		name string
		// busy is how many of the six workers, in two racks, other tasks fill first.
		busy    int
		step    workflow.Step
		stretch float64
		refuses bool
		// cause is that of the line on the step's job; empty is none.
		cause string
	}{
		{"full rack", 4, workflow.Step{Tasks: 1, Accelerators: 8, PreferredRack: "rack-0", Estimate: 20 * time.Second}, 1, false, "rack"},
		{"room for a part of a gang", 5, workflow.Step{Tasks: 2, Accelerators: 4, Gang: true, SameRack: true, SpreadLimit: 1, Estimate: 20 * time.Second}, 1, false, ""},
		{"left for urgent work", 4, workflow.Step{Tasks: 1, Accelerators: 1, Estimate: 20 * time.Second}, 9, false, "deferred"},
		{"refused by all workers with room", 4, workflow.Step{Tasks: 1, Accelerators: 8, Estimate: time.Second}, 1, true, "avoided"},
		{"no room", 6, workflow.Step{Tasks: 1, Accelerators: 8, Estimate: time.Second}, 3, false, ""},
		{"room at once", 3, workflow.Step{Tasks: 1, Accelerators: 8, Estimate: time.Second}, 3, false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(6)
				var lines bytes.Buffer
				h.log = zerolog.New(zerolog.SyncWriter(&lines))
				start := h.calls.Start
				h.calls.Start = func(ctx context.Context, target workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
					if test.refuses && h.step(order.Task).Estimate < long.Estimate {
						return scheduling.RefusedUnhealthy, nil
					}
					return start(ctx, target, order)
				}
				h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration { return h.step(task).Estimate }
				h.runWaves([]jobWave{{0, test.busy, 0, long, 0}, {time.Second, 1, 1, test.step, test.stretch}}, 8*time.Second)
				got := ""
				for line := range strings.Lines(lines.String()) {
					if strings.Contains(line, `"event":"placementDelayed"`) && strings.Contains(line, string(h.jobs[test.busy].ID)) {
						_, got, _ = strings.Cut(line, `"cause":"`)
						got, _, _ = strings.Cut(got, `"`)
					}
				}
				if got != test.cause {
					t.Errorf("cause %q, want %q", got, test.cause)
				}
				if counted := h.counted("placementDelayed") > 0; counted != (test.cause != "") {
					t.Errorf("counted %v", counted)
				}
			})
		})
	}
}
