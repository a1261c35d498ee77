package planning

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"comfreystream/state"
)

// largeZone returns a planner for 1,250 workers with 33,000 running tasks, in gangs of the
// given number of members, and the planner's clock.
func largeZone(tb testing.TB, members int) (*Planner, *time.Time) {
	s := sites[len(sites)-1]
	now := time.Unix(1_000_000, 0)
	p := New("z1")
	p.Now = func() time.Time { return now }
	p.ApplyManifest(s.manifest())
	for i := range s.workers {
		p.PutWorker(s.worker(i))
	}
	tasks := 0
	for i := 0; tasks < 33_000; i++ {
		job := state.Job{
			ID: state.NewJobID("z1", fmt.Sprint(i)), Organisation: fmt.Sprintf("o%d", i%organisationCount),
			Members: members, Shape: state.Resources{Slots: 1, Cores: 1, MemoryBytes: gib},
			Checkpointable: true, Submitted: now, DeclaredRunTime: time.Hour,
		}
		if i%6 == 0 {
			job.Shape.Accelerators = 1
		}
		if reason := p.Submit(job); reason != "" {
			tb.Fatal(reason)
		}
		tasks += job.Members
	}
	for len(p.Plan().Starts) > 0 {
		now = now.Add(time.Second)
	}
	if used := p.zone.total.Slots - p.View().Free.Slots; used < 33_000 {
		tb.Fatalf("%d tasks run, want at least 33,000", used)
	}
	return p, &now
}

// BenchmarkDecision measures one planning round for one new job in a large zone.
func BenchmarkDecision(b *testing.B) {
	tests := []struct {
		name string
		job  state.Job
	}{
		{"one", state.Job{Members: 1, Checkpointable: true}},
		{"gang of 512, adjacent", state.Job{Members: 512, Adjacency: state.AdjacentRacks, Checkpointable: true}},
		{"gang of 512, adjacent, not stoppable", state.Job{Members: 512, Adjacency: state.AdjacentRacks}},
		{"gang of 512, urgent", state.Job{Members: 512, Adjacency: state.AdjacentRacks, Urgency: state.Urgent}},
		{"gang of 512 of 8 accelerators that must wait", state.Job{Members: 512, Shape: state.Resources{Slots: 1, Accelerators: 8}, Checkpointable: true}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			p, now := largeZone(b, 11)
			var took []time.Duration
			for i := 0; b.Loop(); i++ {
				job := tt.job
				job.ID = state.NewJobID("z1", fmt.Sprint("x", i))
				job.Organisation, job.Submitted, job.DeclaredRunTime = "o1", *now, time.Hour
				if job.Shape == (state.Resources{}) {
					job.Shape = state.Resources{Slots: 1, Accelerators: 1, Cores: 1, MemoryBytes: gib}
				}
				if reason := p.Submit(job); reason != "" {
					b.Fatal(reason)
				}
				before := time.Now()
				round := p.Plan()
				took = append(took, time.Since(before))
				for _, reclaim := range round.Reclaims {
					p.Requeue(reclaim.Job, reclaim.Attempt, now.Add(time.Hour), nil)
				}
				for _, start := range round.Starts {
					p.Ended(start.Job.ID, start.Attempt)
				}
				p.Cancel(job.ID)
				p.Plan()
			}
			b.ReportMetric(percentile(took, 0.99).Seconds()*1000, "p99-ms")
		})
	}
}

// BenchmarkStateMemory measures the heap of a planner for a large zone with 33,000 running
// tasks.
func BenchmarkStateMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p, _ := largeZone(b, 1)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(p)
	}
}

// BenchmarkCancelWave measures one cancel of a queued job, with many jobs queued and
// cancelled at once.
func BenchmarkCancelWave(b *testing.B) {
	for _, queuedJobs := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(queuedJobs), func(b *testing.B) {
			var rounds []time.Duration
			for b.Loop() {
				b.StopTimer()
				p := newHarness().planner
				p.ApplyManifest(testManifest(1, 4, 20))
				for i := range queuedJobs {
					p.Submit(state.Job{ID: state.NewJobID("z1", fmt.Sprint(i)), Organisation: "chains", Members: 40, Shape: oneAccelerator})
				}
				p.Plan()
				b.StartTimer()
				for i := range queuedJobs {
					p.Cancel(state.NewJobID("z1", fmt.Sprint(i)))
				}
				before := time.Now()
				p.Plan()
				rounds = append(rounds, time.Since(before))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*queuedJobs), "ns/cancel")
			b.ReportMetric(slices.Max(rounds).Seconds()*1000, "round-max-ms")
		})
	}
}
