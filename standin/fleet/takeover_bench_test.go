package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"comfreystream/instance"
	"comfreystream/state"
)

// BenchmarkTakeover kills the planner of a zone without a handover and reports the
// completion time of a job submitted to another entry right after that. The time
// includes the detection of the failure, the next planner's recovery of its state
// from the racks, and the job itself.
func BenchmarkTakeover(b *testing.B) {
	f, client := startFleet(b, Plan{AvailabilityZones: []string{"za"}, EntriesPerZone: 3, WorkersPerZone: 8})
	times := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for range b.N {
		planner := f.awaitPlanner(b)
		f.RemoveEntry(planner)
		if err := planner.Abandon(); err != nil {
			b.Fatal(err)
		}
		began := time.Now()
		progress, err := client.Submit(b.Context(), f.Entries()[0].Address(), smallJob())
		if err != nil || progress.Outcome.Ran != state.RanToCompletion {
			b.Fatalf("submit: %+v, error %v", progress, err)
		}
		times = append(times, time.Since(began))
		if _, err := f.AddEntry("za"); err != nil {
			b.Fatal(err)
		}
		if err := f.Ready(b.Context(), client, []byte(manifestFile)); err != nil {
			b.Fatal(err)
		}
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
}

// awaitPlanner waits until an entry is a planner, and returns the first such entry.
func (f *Fleet) awaitPlanner(b testing.TB) (planner *instance.Instance) {
	b.Helper()
	err := f.retry(b.Context(), func() error {
		i := slices.IndexFunc(f.Entries(), (*instance.Instance).IsPlanner)
		if i < 0 {
			return errors.New("no entry is the planner")
		}
		planner = f.Entries()[i]
		return nil
	})
	if err != nil {
		b.Fatal(err)
	}
	return planner
}
