package planning

import (
	"comfreystream/state"
	"fmt"
	"testing"
	"time"
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
			books: p, submit: p.Submit, cancel: p.Cancel, plan: p.Plan, started: p.Started, ended: p.Ended,
			requeue: func(job state.JobID, attempt state.Attempt) { p.Requeue(job, attempt, time.Time{}, nil) },
		}
	}
}

func baselinePolicy(s site) func(now func() time.Time) policy {
	return func(now func() time.Time) policy {
		b := newBaseline(s, now)
		return policy{
			books: b.books, submit: b.submit, cancel: b.cancel, plan: b.plan, ended: b.ended,
			started: func(state.JobID, state.Attempt) {},
			requeue: func(state.JobID, state.Attempt) {},
		}
	}
}

func everything(byClass map[string][]time.Duration) (all []time.Duration) {
	for _, values := range byClass {
		all = append(all, values...)
	}
	return all
}

func BenchmarkPolicy(b *testing.B) {
	from := time.Unix(1_000_000, 0)
	for _, s := range sites {
		for _, seed := range []uint64{1, 2, 3} {
			b.Run(fmt.Sprintf("%s/seed=%d", s.name, seed), func(b *testing.B) {
				list := s.arrivals(seed, from)
				for b.Loop() {
					plain := run(s, list, from, baselinePolicy(s))
					planned := run(s, list, from, plannerPolicy(s))
					report(b, planned, plain)
				}
			})
		}
	}
}

// report gives the planner's figures, and as ratios those against the baseline.
func report(b *testing.B, planned, plain outcome) {
	all, allPlain := everything(planned.completion), everything(plain.completion)
	ratio := func(part float64, of, to []time.Duration) float64 {
		return percentile(of, part).Seconds() / percentile(to, part).Seconds()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(planned.violations), "violations")
	b.ReportMetric(percentile(planned.wait["urgent"], 1).Seconds(), "urgent-max-s")
	b.ReportMetric(percentile(plain.wait["urgent"], 1).Seconds(), "urgent-max-s-plain")
	b.ReportMetric(ratio(0.5, all, allPlain), "completion-p50-ratio")
	b.ReportMetric(ratio(0.99, all, allPlain), "completion-p99-ratio")
	b.ReportMetric(ratio(0.99, planned.wait["large"], plain.wait["large"]), "large-wait-p99-ratio")
	b.ReportMetric(planned.fragmentation/plain.fragmentation, "fragmentation-ratio")
	b.ReportMetric(planned.fragmentation, "fragmentation")
	b.ReportMetric(planned.use, "use")
	b.ReportMetric(plain.use, "use-plain")
	b.ReportMetric(planned.wasted, "wasted")
	b.ReportMetric(float64(planned.reclaims), "reclaims")
	b.ReportMetric(float64(planned.unserved), "unserved")
	b.ReportMetric(float64(plain.unserved), "unserved-plain")
	b.ReportMetric(percentile(planned.plans, 0.99).Seconds()*1000, "round-p99-ms")
	for _, class := range []string{"small", "middle", "large", "overnight", "urgent"} {
		b.Logf("%-9s completion p50 %v p99 %v, plain p50 %v p99 %v", class,
			percentile(planned.completion[class], 0.5).Round(time.Second), percentile(planned.completion[class], 0.99).Round(time.Second),
			percentile(plain.completion[class], 0.5).Round(time.Second), percentile(plain.completion[class], 0.99).Round(time.Second))
	}
}
