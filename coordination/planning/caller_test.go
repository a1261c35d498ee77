package planning

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"comfreystream/state"
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
