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

// harness plays the caller of a planner and keeps its own record of what runs, to check the
// planner's decisions against.
type harness struct {
	planner   *Planner
	now       time.Time
	workers   map[netip.AddrPort]state.Worker
	running   map[state.JobID]Start
	reclaims  map[state.JobID]Reclaim
	submitted int
}

// newHarness returns a planner for 13 workers of 8 accelerators, 6 workers to a rack.
func newHarness() *harness {
	h := &harness{
		planner:  New("z1"),
		now:      time.Unix(1_000_000, 0),
		workers:  make(map[netip.AddrPort]state.Worker),
		running:  make(map[state.JobID]Start),
		reclaims: make(map[state.JobID]Reclaim),
	}
	h.planner.Now = func() time.Time { return h.now }
	for i := range 13 {
		w := testWorker(i, 6)
		h.workers[w.Address] = w
		h.planner.PutWorker(w)
	}
	return h
}

func testWorker(i, workersPerRack int) state.Worker {
	return state.Worker{
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7070),
		Rack:     state.Rack{Name: fmt.Sprintf("r%03d", i/workersPerRack), AvailabilityZone: "z1", Position: i / workersPerRack},
		Capacity: oneAccelerator.Times(8),
	}
}

func testManifest(generation state.Generation, shopsMembers, chainsMembers int) *state.Manifest {
	return &state.Manifest{
		Generation: generation,
		Weights:    state.Weights{CompletionTime: 0.5, Fragmentation: 0.5},
		Organisations: []state.Organisation{
			{Name: "chains", Share: 2, Guarantees: []state.Guarantee{
				{AvailabilityZone: "z1", Members: chainsMembers, Shape: oneAccelerator, Adjacency: state.AdjacentRacks},
			}},
			{Name: "other", Share: 1, Quota: state.Resources{Accelerators: 60}},
			{Name: "shops", Share: 1, Guarantees: []state.Guarantee{
				{AvailabilityZone: "z1", Members: shopsMembers, Shape: oneAccelerator.Times(2), Adjacency: state.SameRack},
			}},
		},
	}
}

// plan runs a round, applies its starts, records its reclaims and checks the invariants.
func (h *harness) plan(t rapid.TB) {
	round := h.planner.Plan()
	for _, start := range round.Starts {
		if state.Members(start.Placements) != start.Job.Members {
			t.Fatalf("start of %s has %d members, want %d", start.Job.ID, state.Members(start.Placements), start.Job.Members)
		}
		if start.Borrowed && !start.Job.MayBorrow() {
			t.Fatalf("start of %s is borrowed, but the job is neither checkpointable nor idempotent", start.Job.ID)
		}
		if _, twice := h.running[start.Job.ID]; twice {
			t.Fatalf("%s is started again while it runs", start.Job.ID)
		}
		h.running[start.Job.ID] = start
		h.checkAdjacency(t, start)
	}
	for _, reclaim := range round.Reclaims {
		victim := h.running[reclaim.Job]
		e, _ := h.planner.jobs.Get(reclaim.Job)
		if !victim.Job.MayBorrow() || e.entitlement != borrowed || victim.Attempt != reclaim.Attempt {
			t.Fatalf("reclaim of %s, which is not a running borrowed attempt", reclaim.Job)
		}
		h.reclaims[reclaim.Job] = reclaim
	}
	h.check(t)
}

func (h *harness) checkAdjacency(t rapid.TB, start Start) {
	var workers []*worker
	for _, placement := range start.Placements {
		w := h.planner.zone.workers[placement.Worker]
		if w == nil || w.Leaving {
			t.Fatalf("%s starts on %v, which is lost or leaving", start.Job.ID, placement.Worker)
		}
		workers = append(workers, w)
	}
	maxRacks := h.planner.feasibility.maxRacks(start.Job.Shape, start.Job.Members, start.Job.Adjacency)
	if !satisfiesAdjacency(workers, start.Job.Adjacency, maxRacks) {
		t.Fatalf("start of %s violates its adjacency rule: %v", start.Job.ID, start.Placements)
	}
}

// check verifies that no worker is used beyond its capacity, and that every guarantee that
// is not reported as broken can be met by stopping only borrowed jobs.
func (h *harness) check(t rapid.TB) {
	used := make(map[netip.AddrPort]state.Resources)
	nonPreemptible := make(map[netip.AddrPort]state.Resources)
	for _, start := range h.running {
		for _, placement := range start.Placements {
			amount := start.Job.Shape.Times(placement.Members)
			used[placement.Worker] = used[placement.Worker].Plus(amount)
			e, _ := h.planner.jobs.Get(start.Job.ID)
			if e.entitlement != borrowed || !start.Job.MayBorrow() {
				nonPreemptible[placement.Worker] = nonPreemptible[placement.Worker].Plus(amount)
			}
		}
	}
	for _, g := range h.planner.guarantees {
		pinnedOn := g.pinnedWorkers()
		if g.broken == NoBreach && g.pinnedUnits != max(g.Members, g.usedUnits) {
			t.Fatalf("guarantee of %s lacks %d pinned units but is not reported as broken", g.organisation, g.Members-g.pinnedUnits)
		}
		if g.broken == NoBreach && g.pinnedUnits > g.usedUnits && !satisfiesAdjacency(pinnedOn, g.Adjacency, h.planner.maxRacksOf(g)) {
			t.Fatalf("pins of the guarantee of %s are not adjacent", g.organisation)
		}
		for _, w := range pinnedOn {
			nonPreemptible[w.Address] = nonPreemptible[w.Address].Plus(g.Shape.Times(g.idleUnits(w)))
		}
	}
	for address, w := range h.workers {
		if !used[address].FitsIn(w.Capacity) {
			t.Fatalf("%v is used beyond its capacity: %+v", address, used[address])
		}
		if !nonPreemptible[address].FitsIn(w.Capacity) {
			t.Fatalf("guarantees and non-preemptible jobs exceed the capacity of %v: %+v", address, nonPreemptible[address])
		}
	}
}

// stopReclaimed stops and requeues every reclaimed job.
func (h *harness) stopReclaimed() {
	for _, id := range slices.Sorted(maps.Keys(h.reclaims)) {
		h.requeue(id)
	}
}

func (h *harness) requeue(id state.JobID) {
	start := h.running[id]
	delete(h.running, id)
	delete(h.reclaims, id)
	h.planner.Requeue(id, start.Attempt, h.now, nil)
}

func (h *harness) end(id state.JobID) {
	start := h.running[id]
	delete(h.running, id)
	delete(h.reclaims, id)
	h.planner.Ended(id, start.Attempt)
}

func (h *harness) loseWorker(address netip.AddrPort) {
	delete(h.workers, address)
	for _, id := range h.planner.RemoveWorker(address) {
		h.requeue(id)
	}
}

func (h *harness) submit(job state.Job) (state.JobID, state.Reason) {
	h.submitted++
	job.ID = state.NewJobID("z1", fmt.Sprint(h.submitted))
	job.Submitted = h.now
	return job.ID, h.planner.Submit(job)
}
