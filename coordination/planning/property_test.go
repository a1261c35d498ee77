package planning

import (
	"comfreystream/state"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const gib = int64(1) << 30

var oneAccelerator = state.Resources{Slots: 1, Accelerators: 1, Cores: 4, MemoryBytes: 16 * gib}

// bench plays the caller of a planner and keeps its own books.
type bench struct {
	planner *Planner
	now     time.Time
	workers map[netip.AddrPort]state.Worker
	running map[state.JobID]Start
	stops   map[state.JobID]Reclaim
	serial  int
}

func newBench() *bench {
	b := &bench{
		planner: New("z1"),
		now:     time.Unix(1_000_000, 0),
		workers: make(map[netip.AddrPort]state.Worker),
		running: make(map[state.JobID]Start),
		stops:   make(map[state.JobID]Reclaim),
	}
	b.planner.Now = func() time.Time { return b.now }
	for i := range 13 {
		w := testWorker(i, 6)
		b.workers[w.Address] = w
		b.planner.PutWorker(w)
	}
	return b
}

func testWorker(i, perRack int) state.Worker {
	return state.Worker{
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7070),
		Rack:     state.Rack{Name: fmt.Sprintf("r%03d", i/perRack), AvailabilityZone: "z1", Position: i / perRack},
		Capacity: oneAccelerator.Times(8),
	}
}

func testManifest(generation state.Generation, shops, chains int) *state.Manifest {
	return &state.Manifest{
		Generation: generation,
		Weights:    state.Weights{CompletionTime: 0.5, Fragmentation: 0.5},
		Organisations: []state.Organisation{
			{Name: "chains", Share: 2, Guarantees: []state.Guarantee{
				{AvailabilityZone: "z1", Members: chains, Shape: oneAccelerator, Adjacency: state.AdjacentRacks},
			}},
			{Name: "other", Share: 1, Quota: state.Resources{Accelerators: 60}},
			{Name: "shops", Share: 1, Guarantees: []state.Guarantee{
				{AvailabilityZone: "z1", Members: shops, Shape: oneAccelerator.Times(2), Adjacency: state.SameRack},
			}},
		},
	}
}

// plan runs a round, obeys it and checks it against the books.
func (b *bench) plan(t rapid.TB) {
	round := b.planner.Plan()
	for _, start := range round.Starts {
		if state.Members(start.Placements) != start.Job.Members {
			t.Fatalf("start of %s has %d members of %d", start.Job.ID, state.Members(start.Placements), start.Job.Members)
		}
		if start.Borrowed && !start.Job.Borrows() {
			t.Fatalf("%s borrows but can be neither saved nor repeated", start.Job.ID)
		}
		if _, twice := b.running[start.Job.ID]; twice {
			t.Fatalf("%s starts twice", start.Job.ID)
		}
		b.running[start.Job.ID] = start
		b.checkAdjacency(t, start)
	}
	for _, reclaim := range round.Reclaims {
		victim := b.running[reclaim.Job]
		e, _ := b.planner.jobs.Get(reclaim.Job)
		if !victim.Job.Borrows() || e.tenure != borrowed || victim.Attempt != reclaim.Attempt {
			t.Fatalf("reclaim of %s, which does not borrow", reclaim.Job)
		}
		b.stops[reclaim.Job] = reclaim
	}
	b.check(t)
}

func (b *bench) checkAdjacency(t rapid.TB, start Start) {
	var on []*worker
	for _, placement := range start.Placements {
		w := b.planner.zone.workers[placement.Worker]
		if w == nil || w.Leaving {
			t.Fatalf("%s starts on %v, which is gone or leaves", start.Job.ID, placement.Worker)
		}
		on = append(on, w)
	}
	span := b.planner.sizes.span(start.Job.Shape, start.Job.Members, start.Job.Adjacency)
	if !adjacent(on, start.Job.Adjacency, span) {
		t.Fatalf("%s starts on workers that are not adjacent: %v", start.Job.ID, start.Placements)
	}
}

// check verifies that nothing is promised twice, and that every guarantee that
// is not reported as broken can be had by stopping borrowed work alone.
func (b *bench) check(t rapid.TB) {
	used := make(map[netip.AddrPort]state.Resources)
	fixed := make(map[netip.AddrPort]state.Resources)
	for _, start := range b.running {
		for _, placement := range start.Placements {
			amount := start.Job.Shape.Times(placement.Members)
			used[placement.Worker] = used[placement.Worker].Plus(amount)
			e, _ := b.planner.jobs.Get(start.Job.ID)
			if e.tenure != borrowed || !start.Job.Borrows() {
				fixed[placement.Worker] = fixed[placement.Worker].Plus(amount)
			}
		}
	}
	for _, g := range b.planner.guarantees {
		on := g.workers()
		if g.broken == Unbroken && g.pinned != max(g.Members, g.used) {
			t.Fatalf("guarantee of %s is short by %d but not reported", g.organisation, g.Members-g.pinned)
		}
		if g.broken == Unbroken && g.pinned > g.used && !adjacent(on, g.Adjacency, b.planner.spanOf(g)) {
			t.Fatalf("places of %s's guarantee are not adjacent", g.organisation)
		}
		for _, w := range on {
			fixed[w.Address] = fixed[w.Address].Plus(g.Shape.Times(g.idle(w)))
		}
	}
	for address, w := range b.workers {
		if !used[address].FitsIn(w.Capacity) {
			t.Fatalf("%v is used beyond its capacity: %+v", address, used[address])
		}
		if !fixed[address].FitsIn(w.Capacity) {
			t.Fatalf("%v cannot honour its guarantees: %+v", address, fixed[address])
		}
	}
}

// obey stops everything that is to be stopped.
func (b *bench) obey() {
	for _, id := range slices.Sorted(maps.Keys(b.stops)) {
		b.requeue(id)
	}
}

func (b *bench) requeue(id state.JobID) {
	start := b.running[id]
	delete(b.running, id)
	delete(b.stops, id)
	b.planner.Requeue(id, start.Attempt, b.now, nil)
}

func (b *bench) end(id state.JobID) {
	start := b.running[id]
	delete(b.running, id)
	delete(b.stops, id)
	b.planner.Ended(id, start.Attempt)
}

func (b *bench) lose(address netip.AddrPort) {
	delete(b.workers, address)
	for _, id := range b.planner.LoseWorker(address) {
		b.requeue(id)
	}
}

func (b *bench) submit(job state.Job) (state.JobID, state.Reason) {
	b.serial++
	job.ID = state.NewJobID("z1", fmt.Sprint(b.serial))
	job.Submitted = b.now
	return job.ID, b.planner.Submit(job)
}

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
