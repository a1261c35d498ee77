package planning

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreystream/state"
)

func drawJob(t *rapid.T) state.Job {
	return state.Job{
		Organisation:    rapid.SampledFrom([]string{"chains", "other", "shops"}).Draw(t, "organisation"),
		Members:         rapid.SampledFrom([]int{1, 1, 2, 5, 12, 30, 70}).Draw(t, "members"),
		Shape:           oneAccelerator.Times(rapid.SampledFrom([]int{1, 1, 2, 4}).Draw(t, "shape")),
		Adjacency:       state.Adjacency(rapid.IntRange(0, 2).Draw(t, "adjacency")),
		Urgency:         state.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
		Idempotent:      rapid.Bool().Draw(t, "idempotent"),
		Checkpointable:  rapid.Bool().Draw(t, "checkpointable"),
		DeclaredRunTime: time.Duration(rapid.IntRange(1, 10_000).Draw(t, "declared")) * time.Second,
	}
}

func TestGuaranteesHoldOverRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		b.planner.ApplyManifest(testManifest(1, 4, 20))
		generation := state.Generation(1)
		pick := func() state.JobID {
			if len(b.running) == 0 {
				t.Skip("nothing runs")
			}
			return rapid.SampledFrom(slices.Sorted(maps.Keys(b.running))).Draw(t, "job")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { b.submit(drawJob(t)) },
			"burst": func(t *rapid.T) {
				job := drawJob(t)
				for range 20 {
					b.submit(job)
				}
			},
			"plan":    func(t *rapid.T) { b.plan(t) },
			"obey":    func(*rapid.T) { b.obey() },
			"end":     func(*rapid.T) { b.end(pick()) },
			"requeue": func(*rapid.T) { b.requeue(pick()) },
			"started": func(*rapid.T) {
				id := pick()
				b.planner.Started(id, b.running[id].Attempt)
			},
			"cancel": func(t *rapid.T) {
				id := state.NewJobID("z1", fmt.Sprint(rapid.IntRange(1, b.serial+1).Draw(t, "serial")))
				if _, runs := b.running[id]; b.planner.Cancel(id) == CancelRunning != runs {
					t.Fatalf("cancel of %s is wrong about whether it runs", id)
				}
			},
			"wait": func(t *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "seconds")) * time.Second)
			},
			"lose": func(t *rapid.T) {
				i := rapid.IntRange(0, 12).Draw(t, "worker")
				b.lose(testWorker(i, 6).Address)
			},
			"put": func(t *rapid.T) {
				w := testWorker(rapid.IntRange(0, 12).Draw(t, "worker"), 6)
				w.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
				b.workers[w.Address] = w
				b.planner.PutWorker(w)
			},
			"apply": func(t *rapid.T) {
				generation++
				b.planner.ApplyManifest(testManifest(generation, rapid.IntRange(0, 8).Draw(t, "shops"), rapid.IntRange(0, 40).Draw(t, "chains")))
			},
		})
		if rapid.Bool().Draw(t, "demand") {
			b.checkDemand(t)
		}
		b.checkDrain(t)
	})
}

// checkDemand asks for all that is left of every unbroken guarantee at once;
// after one round, the stops it asked for, and another round, all of it runs.
// What is queued is cancelled first, since it may have the older claim.
func (b *bench) checkDemand(t rapid.TB) {
	for i := range b.serial {
		id := state.NewJobID("z1", fmt.Sprint(i+1))
		if _, runs := b.running[id]; !runs {
			b.planner.Cancel(id)
		}
	}
	b.plan(t)
	b.obey()
	b.plan(t)
	b.obey()
	demands := make(map[state.JobID]bool)
	for _, g := range b.planner.guarantees {
		idle := g.pinned - g.used
		if g.broken != Unbroken || g.used > 0 || idle == 0 {
			continue
		}
		id, reason := b.submit(state.Job{
			Organisation: g.organisation, Members: idle, Shape: g.Shape,
			Adjacency: g.Adjacency, Urgency: state.Urgent, DeclaredRunTime: time.Hour,
		})
		if reason != "" {
			t.Fatalf("demand on the guarantee of %s is refused: %s", g.organisation, reason)
		}
		demands[id] = true
	}
	b.plan(t)
	b.obey()
	b.plan(t)
	for id := range demands {
		if _, runs := b.running[id]; !runs {
			t.Fatalf("demand %s on a guarantee does not run", id)
		}
	}
}

// checkDrain brings all workers back and ends what runs, round by round; every
// queued job must get its turn.
func (b *bench) checkDrain(t rapid.TB) {
	for i := range 13 {
		w := testWorker(i, 6)
		b.workers[w.Address] = w
		b.planner.PutWorker(w)
	}
	for range 4 * (b.serial + 1) {
		b.plan(t)
		b.obey()
		b.plan(t)
		if len(b.running) == 0 {
			break
		}
		b.end(slices.Min(slices.Collect(maps.Keys(b.running))))
		b.now = b.now.Add(time.Minute)
	}
	for _, q := range b.planner.View().Queues {
		if q.Queued > 0 {
			oldest, _ := b.planner.jobs.Get(q.Oldest)
			t.Fatalf("%s still has %d queued jobs, of which %+v waits for %s", q.Organisation, q.Queued, oldest.job, q.Waiting)
		}
	}
}
