package dispatch_test

import (
	"context"
	"testing"
	"time"

	"comfreystream/state"
)

// evacuate has the current planner put a manifest in force that evacuates the zones.
func (z *zone) evacuate(generation state.Generation, zones ...string) {
	z.current().ApplyManifest(&state.Manifest{
		Generation: generation, Weights: state.Weights{CompletionTime: 1}, Evacuated: zones, Organisations: z.organisations,
	})
}

// TestEvacuated evacuates the zone at one step of a gang's life. Unless the gang runs
// whole by then, none of it may start, or stay started, before the zone is restored.
func TestEvacuated(t *testing.T) {
	evacuateZone := func(z *zone) { z.evacuate(2, zoneName) }
	tests := []struct {
		name, step string
		fault      func(z *zone)
		// runs is set if the gang starts all the same.
		runs bool
	}{
		{"another zone", "before hold", func(z *zone) { z.evacuate(2, "other") }, true},
		{"before hold", "before hold", evacuateZone, false},
		{"before commit", "before commit", evacuateZone, false},
		{"before a start is repeated", "after commit", func(z *zone) {
			z.moveHome(time.Second)
			z.later(500*time.Millisecond, func() { evacuateZone(z) })
		}, false},
		{"after start", "after start", evacuateZone, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runRow(t, func(t *testing.T) {
				z := newZone(t, 4)
				defer z.close()
				<-time.After(time.Second)
				z.mu.Lock()
				z.step, z.fault = test.step, test.fault
				z.mu.Unlock()
				job := gangJob("gang", 4, false)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				restored := time.Now().Add(20 * time.Second)
				z.later(20*time.Second, func() { z.evacuate(3) })
				progress := z.front.Run(ctx, job)
				if progress.Outcome.Ran != state.RanToCompletion {
					t.Errorf("the gang ended with %+v", progress.Outcome)
				}
				if early := time.Now().Before(restored); early != test.runs {
					t.Errorf("the gang ended before the zone was restored: %v, want %v", early, test.runs)
				}
				z.checkOutcome(job, progress.Outcome)
			})
		})
	}
}
