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

// TestGuaranteesHoldOverRandomEvents drives the planner with random submissions, reclaims,
// lost workers and manifests, and checks after every round that no resource is given out
// twice and every guarantee can be met.
func TestGuaranteesHoldOverRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		h.planner.ApplyManifest(testManifest(1, 4, 20))
		generation := state.Generation(1)
		pick := func() state.JobID {
			if len(h.running) == 0 {
				t.Skip("no job is running")
			}
			return rapid.SampledFrom(slices.Sorted(maps.Keys(h.running))).Draw(t, "job")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { h.submit(drawJob(t)) },
			"burst": func(t *rapid.T) {
				job := drawJob(t)
				for range 20 {
					h.submit(job)
				}
			},
			"plan":         func(t *rapid.T) { h.plan(t) },
			"obeyReclaims": func(*rapid.T) { h.stopReclaimed() },
			"end":          func(*rapid.T) { h.end(pick()) },
			"requeue":      func(*rapid.T) { h.requeue(pick()) },
			"started": func(*rapid.T) {
				id := pick()
				h.planner.Started(id, h.running[id].Attempt)
			},
			"cancel": func(t *rapid.T) {
				id := state.NewJobID("z1", fmt.Sprint(rapid.IntRange(1, h.submitted+1).Draw(t, "serial")))
				if _, runs := h.running[id]; h.planner.Cancel(id) == CancelRunning != runs {
					t.Fatalf("Cancel(%s) disagrees on whether the job runs", id)
				}
			},
			"wait": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "seconds")) * time.Second)
			},
			"loseWorker": func(t *rapid.T) {
				i := rapid.IntRange(0, 12).Draw(t, "worker")
				h.loseWorker(testWorker(i, 6).Address)
			},
			"putWorker": func(t *rapid.T) {
				w := testWorker(rapid.IntRange(0, 12).Draw(t, "worker"), 6)
				w.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
				h.workers[w.Address] = w
				h.planner.PutWorker(w)
			},
			"apply": func(t *rapid.T) {
				generation++
				h.planner.ApplyManifest(testManifest(generation, rapid.IntRange(0, 8).Draw(t, "shops"), rapid.IntRange(0, 40).Draw(t, "chains")))
			},
		})
		if rapid.Bool().Draw(t, "demand") {
			h.checkGuaranteesOnDemand(t)
		}
		h.checkQueuesDrain(t)
	})
}

// checkGuaranteesOnDemand submits an urgent job for every unused guarantee that is not
// broken, all at once. After one round, its reclaims and a second round, all of them must
// run. Queued jobs are cancelled first, since older ones may take precedence.
func (h *harness) checkGuaranteesOnDemand(t rapid.TB) {
	for i := range h.submitted {
		id := state.NewJobID("z1", fmt.Sprint(i+1))
		if _, runs := h.running[id]; !runs {
			h.planner.Cancel(id)
		}
	}
	h.plan(t)
	h.stopReclaimed()
	h.plan(t)
	h.stopReclaimed()
	demanded := make(map[state.JobID]bool)
	for _, g := range h.planner.guarantees {
		idle := g.pinnedUnits - g.usedUnits
		if g.broken != NoBreach || g.usedUnits > 0 || idle == 0 {
			continue
		}
		id, reason := h.submit(state.Job{
			Organisation: g.organisation, Members: idle, Shape: g.Shape,
			Adjacency: g.Adjacency, Urgency: state.Urgent, DeclaredRunTime: time.Hour,
		})
		if reason != "" {
			t.Fatalf("urgent job within the guarantee of %s is refused: %s", g.organisation, reason)
		}
		demanded[id] = true
	}
	h.plan(t)
	h.stopReclaimed()
	h.plan(t)
	for id := range demanded {
		if _, runs := h.running[id]; !runs {
			t.Fatalf("urgent job %s within a guarantee does not run", id)
		}
	}
}

// checkQueuesDrain brings all workers back and ends the running jobs round by round; every
// queued job must start, so that none starves.
func (h *harness) checkQueuesDrain(t rapid.TB) {
	for i := range 13 {
		w := testWorker(i, 6)
		h.workers[w.Address] = w
		h.planner.PutWorker(w)
	}
	for range 4 * (h.submitted + 1) {
		h.plan(t)
		h.stopReclaimed()
		h.plan(t)
		if len(h.running) == 0 {
			break
		}
		h.end(slices.Min(slices.Collect(maps.Keys(h.running))))
		h.now = h.now.Add(time.Minute)
	}
	for _, q := range h.planner.View().Queues {
		if q.Queued > 0 {
			oldest, _ := h.planner.jobs.Get(q.Oldest)
			t.Fatalf("%s still has %d queued jobs; the oldest, %+v, waits for %s", q.Organisation, q.Queued, oldest.job, q.Waiting)
		}
	}
}
