package workload

import (
	"context"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/instance"
)

// Sample is the fragmentation of a zone at a moment of the run, as the zone's
// planner gives it: 1 - accelerators in the largest adjacent gang that fits /
// free accelerators.
type Sample struct {
	At               time.Duration
	AvailabilityZone string
	Fragmentation    float64
	FreeAccelerators int
}

// sample asks every entry at intervals until ctx ends; only planners answer with a sample.
func (r *Runner) sample(ctx context.Context) {
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
			r.results.noteSample(Sample{
				At: time.Since(r.began), AvailabilityZone: o.AvailabilityZone,
				Fragmentation: o.Planner.Fragmentation, FreeAccelerators: o.Planner.Free.Accelerators,
			})
		}
	}
}
