package planning

import (
	"testing"
	"time"

	"comfreystream/state"
)

func plannerPolicy(s site) func(now func() time.Time) policy {
	return func(now func() time.Time) policy {
		p := New("z1")
		p.Now = now
		p.ApplyManifest(s.manifest())
		for i := range s.workers {
			p.PutWorker(s.worker(i))
		}
		return policy{
			planner: p, submit: p.Submit, cancel: p.Cancel, plan: p.Plan, started: p.Started, ended: p.Ended,
			requeue: func(job state.JobID, attempt state.Attempt) { p.Requeue(job, attempt, time.Time{}, nil) },
		}
	}
}

func baselinePolicy(s site) func(now func() time.Time) policy {
	return func(now func() time.Time) policy {
		b := newBaseline(s, now)
		return policy{
			planner: b.planner, submit: b.submit, cancel: b.cancel, plan: b.plan, ended: b.ended,
			started: func(state.JobID, state.Attempt) {},
			requeue: func(state.JobID, state.Attempt) {},
		}
	}
}

// BenchmarkPolicy compares the planner with the baseline over each site's seeded workloads.
func BenchmarkPolicy(b *testing.B) {
	for _, s := range sites {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				planner, baseline := compare(s, s.seeds)
				reportComparison(b, planner, baseline)
			}
		})
	}
}

// compare replays the seeded workloads with the planner and the baseline and pools the
// outcomes of each.
func compare(s site, seeds int) (planner, baseline outcome) {
	from := time.Unix(1_000_000, 0)
	for seed := range uint64(seeds) {
		arrivals, arrivalSpan := s.arrivals(seed+1, from)
		baseline.add(replayJobs(arrivals, from, arrivalSpan, baselinePolicy(s)), seeds)
		planner.add(replayJobs(arrivals, from, arrivalSpan, plannerPolicy(s)), seeds)
	}
	return planner, baseline
}

// add pools another run's outcome; means are taken over the given number of runs.
func (o *outcome) add(other outcome, runs int) {
	if o.completion == nil {
		o.completion = make(map[string][]time.Duration)
		o.wait = make(map[string][]time.Duration)
	}
	for class, values := range other.completion {
		o.completion[class] = append(o.completion[class], values...)
		o.completion["all"] = append(o.completion["all"], values...)
	}
	for class, values := range other.wait {
		o.wait[class] = append(o.wait[class], values...)
	}
	o.fragmentation += other.fragmentation / float64(runs)
	o.utilisation += other.utilisation / float64(runs)
	o.wasted += other.wasted / float64(runs)
	o.violations += other.violations
	o.reclaims += other.reclaims
	o.unfinished += other.unfinished
	o.roundTimes = append(o.roundTimes, other.roundTimes...)
}

// percentileRatio returns the ratio of a percentile of values to that of baseValues.
func percentileRatio(fraction float64, values, baseValues []time.Duration) float64 {
	return percentile(values, fraction).Seconds() / percentile(baseValues, fraction).Seconds()
}

// reportComparison reports the planner's figures and their ratios to the baseline's.
func reportComparison(b *testing.B, planner, baseline outcome) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(planner.violations), "violations")
	b.ReportMetric(percentile(planner.wait["urgent"], 1).Seconds(), "urgent-max-s")
	b.ReportMetric(percentile(baseline.wait["urgent"], 1).Seconds(), "urgent-max-s-plain")
	b.ReportMetric(percentileRatio(0.5, planner.completion["all"], baseline.completion["all"]), "completion-p50-ratio")
	b.ReportMetric(percentileRatio(0.99, planner.completion["all"], baseline.completion["all"]), "completion-p99-ratio")
	b.ReportMetric(percentileRatio(0.99, planner.wait["large"], baseline.wait["large"]), "large-wait-p99-ratio")
	b.ReportMetric(planner.fragmentation/baseline.fragmentation, "fragmentation-ratio")
	b.ReportMetric(planner.fragmentation, "fragmentation")
	b.ReportMetric(planner.utilisation, "use")
	b.ReportMetric(baseline.utilisation, "use-plain")
	b.ReportMetric(planner.wasted, "wasted")
	b.ReportMetric(float64(planner.reclaims), "reclaims")
	b.ReportMetric(float64(planner.unfinished), "unserved")
	b.ReportMetric(percentile(planner.roundTimes, 0.99).Seconds()*1000, "round-p99-ms")
	for _, class := range []string{"small", "middle", "large", "overnight", "urgent"} {
		b.Logf("%-9s completion p50 %v p99 %v, baseline p50 %v p99 %v", class,
			percentile(planner.completion[class], 0.5).Round(time.Second), percentile(planner.completion[class], 0.99).Round(time.Second),
			percentile(baseline.completion[class], 0.5).Round(time.Second), percentile(baseline.completion[class], 0.99).Round(time.Second))
	}
}
