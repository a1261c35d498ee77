package planning

import (
	"comfreystream/state"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// site is a zone to plan for and the load that it gets.
type site struct {
	name     string
	workers  int
	perRack  int
	capacity state.Resources
	weights  state.Weights
	jobs     int
	// span is the time over which the jobs arrive.
	span time.Duration
	// median is the median run time.
	median  time.Duration
	gangs   []int
	urgents int
}

var sites = []site{
	{
		name: "andina", workers: 13, perRack: 6,
		capacity: state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 128 * gib},
		weights:  state.Weights{CompletionTime: 0.3, Fragmentation: 0.7},
		jobs:     700, span: 4 * time.Hour, median: 4 * time.Minute,
		gangs: []int{24, 32, 48, 64}, urgents: 60,
	},
	{
		name: "brazos", workers: 17, perRack: 8,
		capacity: state.Resources{Slots: 8, Accelerators: 8, Cores: 128, MemoryBytes: 256 * gib},
		weights:  state.Weights{CompletionTime: 0.7, Fragmentation: 0.3},
		jobs:     900, span: 4 * time.Hour, median: 4 * time.Minute,
		gangs: []int{32, 48, 64, 80}, urgents: 80,
	},
	{
		name: "large", workers: 1250, perRack: 8,
		capacity: state.Resources{Slots: 32, Accelerators: 8, Cores: 128, MemoryBytes: 512 * gib},
		weights:  state.Weights{CompletionTime: 0.5, Fragmentation: 0.5},
		jobs:     3000, span: 24 * time.Hour, median: 2 * time.Hour,
		gangs: []int{128, 256, 384, 512}, urgents: 100,
	},
}

func (s site) worker(i int) state.Worker {
	w := testWorker(i, s.perRack)
	w.Capacity = s.capacity
	return w
}

// member returns what a member with that many accelerators asks for.
func (s site) member(accelerators int) state.Resources {
	one := state.Resources{Slots: 1, Cores: s.capacity.Cores / 16, MemoryBytes: s.capacity.MemoryBytes / 16}
	return state.Resources{
		Slots: 1, Accelerators: accelerators,
		Cores:       one.Cores * max(1, accelerators),
		MemoryBytes: one.MemoryBytes * int64(max(1, accelerators)),
	}
}

const organisations = 4

// manifest gives every organisation a guarantee, a third of the zone together.
func (s site) manifest() *state.Manifest {
	manifest := &state.Manifest{Generation: 1, Weights: s.weights}
	for i := range organisations {
		manifest.Organisations = append(manifest.Organisations, state.Organisation{
			Name: fmt.Sprintf("o%d", i), Share: float64(1 + i%2),
			Guarantees: []state.Guarantee{{
				AvailabilityZone: "z1", Members: s.guaranteed(), Shape: s.member(1), Adjacency: state.AdjacentRacks,
			}},
		})
	}
	return manifest
}

func (s site) guaranteed() int {
	return s.workers * s.capacity.Accelerators / 3 / organisations
}

// arrival is a job, what it really needs, and when its caller gives up.
type arrival struct {
	job state.Job
	// runTime is the true run time.
	runTime  time.Duration
	cancelAt time.Time
	class    string
	never    bool
}

// arrivals returns a seeded list by time: bursts of small, middle and large
// work with declarations that are wrong by large factors, urgent work within
// the guarantees, work that can never run, and two waves of cancels.
func (s site) arrivals(seed uint64, from time.Time) (list []arrival) {
	random := rand.New(rand.NewPCG(seed, 17))
	at := from
	for len(list) < s.jobs {
		burst := 1 + int(random.ExpFloat64()*4)
		at = at.Add(time.Duration(random.ExpFloat64() * float64(s.span) / float64(s.jobs) * 5))
		for range burst {
			a := s.draw(random)
			a.job.Submitted = at
			if random.IntN(12) == 0 {
				wave := from.Add(s.span * time.Duration(1+random.IntN(2)) / 3)
				if wave.After(at) {
					a.cancelAt = wave
				}
			}
			list = append(list, a)
		}
	}
	list = append(list, s.urgentArrivals(random, from)...)
	slices.SortStableFunc(list, func(a, b arrival) int { return a.job.Submitted.Compare(b.job.Submitted) })
	for i := range list {
		list[i].job.ID = state.NewJobID("z1", fmt.Sprint(i))
	}
	return list
}

func (s site) draw(random *rand.Rand) arrival {
	a := arrival{class: "small", runTime: s.runTime(random)}
	a.job = state.Job{
		Organisation: fmt.Sprintf("o%d", random.IntN(organisations)),
		Members:      1, Shape: s.member(1 + random.IntN(2)), Urgency: state.Normal,
	}
	switch draw := random.IntN(100); {
	case draw < 8:
		a.job.Shape = s.member(0)
	case draw < 30:
		a.class = "middle"
		a.job.Members = 4 + random.IntN(13)
		a.job.Shape = s.member(1)
		a.job.Adjacency = state.Adjacency(random.IntN(3))
	case draw < 38:
		a.class = "large"
		a.job.Members = s.gangs[random.IntN(len(s.gangs))]
		a.job.Shape = s.member(1)
		a.job.Adjacency = state.AdjacentRacks
	case draw < 40:
		a.never = true
		a.job.Members = 100_000
	case draw < 60:
		a.class = "overnight"
		a.job.Urgency = state.Overnight
	}
	kind := random.IntN(10)
	a.job.Checkpointable = kind < 5
	a.job.Idempotent = kind < 8
	a.job.DeclaredRunTime = time.Duration(float64(a.runTime) * math.Exp(1.5*random.NormFloat64()))
	return a
}

// runTime is log-normal around the median, from a twentieth of it to ten times it.
func (s site) runTime(random *rand.Rand) time.Duration {
	factor := min(max(math.Exp(random.NormFloat64()), 0.05), 10)
	return time.Duration(float64(s.median) * factor)
}

// urgentArrivals stay within each organisation's guarantee at any time.
func (s site) urgentArrivals(random *rand.Rand, from time.Time) (list []arrival) {
	for i := range s.urgents {
		organisation := i % organisations
		slot := s.span * organisations / time.Duration(s.urgents)
		turn := time.Duration(i / organisations)
		members := 1 + random.IntN(s.guaranteed())
		a := arrival{class: "urgent", runTime: slot / 4}
		a.job = state.Job{
			Organisation: fmt.Sprintf("o%d", organisation), Urgency: state.Urgent,
			Submitted: from.Add(turn*slot + time.Duration(random.Int64N(int64(slot/4)))),
			Members:   members, Shape: s.member(1), Adjacency: state.AdjacentRacks,
			DeclaredRunTime: slot, Idempotent: random.IntN(2) == 0,
		}
		list = append(list, a)
	}
	return list
}
