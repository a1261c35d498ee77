package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// BenchmarkApply applies manifests through eight entries in four zones in turn, and
// reports the median and the 99th percentile of the time until a manifest is in
// force on every entry.
func BenchmarkApply(b *testing.B) {
	f, client := startFleet(b, Plan{AvailabilityZones: []string{"za", "zb", "zc", "zd"}, EntriesPerZone: 2, WorkersPerZone: 4})
	entries := f.Entries()
	times := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for n := range b.N {
		file := strings.Replace(manifestFile, `"south", "share": 1`, fmt.Sprintf(`"south", "share": %d`, n+2), 1)
		began := time.Now()
		applied, err := client.Apply(b.Context(), entries[n%len(entries)].Address(), []byte(file), 0)
		if err != nil || len(applied.InForce) != len(entries) {
			b.Fatalf("apply: %+v, error %v", applied, err)
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "p99-ms")
}
