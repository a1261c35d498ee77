package workload

import (
	"context"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/instance"
)

// Sample is the fragmentation of a zone at a time during the run, as reported by the
// zone's planner. The fragmentation is 1 minus the ratio of the accelerators in the
// largest adjacent gang that would fit to all free accelerators.
type Sample struct {
	At               time.Duration
	AvailabilityZone string
	Fragmentation    float64
	FreeAccelerators int
}

// sampleFragmentation queries every entry at intervals until ctx ends; only planners
// report a fragmentation.
func (r *Runner) sampleFragmentation(ctx context.Context) {
	for pause.For(ctx, r.Plan.SampleEvery) {
		for _, entry := range r.Entries {
			data, err := r.Overview(ctx, entry)
			if err != nil {
				continue
			}
			o, err := instance.DecodeOverview(data)
			if err != nil || o.Planner == nil {
				continue
			}
			r.results.recordSample(Sample{
				At: time.Since(r.startedAt), AvailabilityZone: o.AvailabilityZone,
				Fragmentation: o.Planner.Fragmentation, FreeAccelerators: o.Planner.Free.Accelerators,
			})
		}
	}
}
