package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"comfreystream/instance"
	"comfreystream/state"
)

// BenchmarkTakeover kills a zone's planner without a word and reports how long
// a job that is submitted right after it waits for its answer at another entry:
// detection, the next planner's recovery from the racks, and the job itself.
func BenchmarkTakeover(b *testing.B) {
	f, client := startFleet(b, Plan{AvailabilityZones: []string{"za"}, EntriesPerZone: 3, WorkersPerZone: 8})
	times := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for range b.N {
		planner := f.planner(b)
		f.Drop(planner)
		if err := planner.Abandon(); err != nil {
			b.Fatal(err)
		}
		began := time.Now()
		progress, err := client.Submit(b.Context(), f.Entries()[0].Address(), smallJob())
		if err != nil || progress.Outcome.Ran != state.RanWhole {
			b.Fatalf("%+v, %v", progress, err)
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

// planner waits until an entry plans for the first zone, and returns it.
func (f *Fleet) planner(b testing.TB) (planner *instance.Instance) {
	b.Helper()
	err := f.until(b.Context(), func() error {
		i := slices.IndexFunc(f.Entries(), (*instance.Instance).Plans)
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
