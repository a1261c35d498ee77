package scheduling_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

const (
	// faultPeriod is how long faults are injected, recoveryPeriod how long the run
	// goes on without faults after that.
	faultPeriod    = 12 * time.Second
	recoveryPeriod = 30 * time.Second
	// evacuatedFor is how long a zone is evacuated, startTransit how long an order that
	// was sent before may be carried out.
	evacuatedFor = 5 * time.Second
	startTransit = 1600 * time.Millisecond
)

// scenario describes one run. The seed decides which calls and tasks fail.
type scenario struct {
	seed      uint64
	jobs      int
	faultRate float64
	failRate  float64
	// takeovers holds the times at which a new planner begins; the one before it
	// goes on for the overlap.
	takeovers []time.Duration
	overlap   time.Duration
	// restarts holds the times at which a worker restarts.
	restarts []time.Duration
	// storeOutage is when the store becomes unavailable, for two seconds.
	storeOutage time.Duration
	// evacuatedAt is when the zone of one worker is evacuated, for evacuatedFor; 0 is
	// never.
	evacuatedAt time.Duration
	// storeDelay is how long the store takes at most to carry out a change, and as long
	// again to answer it, so that answers overtake each other.
	storeDelay time.Duration
	// lostRate is the share of changes without an answer, of which some are carried out
	// after the planner has given them up, and of those turned away for too many calls.
	lostRate float64
	// cores is how many cores each planner may use; few make renewals rare.
	cores float64
	// recordBytes is that of the jobs; 1 stores each group in a record of its own.
	recordBytes int
	// listedEnds is the most ends that one report lists; 0 is the fleet's default.
	listedEnds int
	// connections is the most calls to a worker at a time, renewWait the longest wait of a
	// renewal; 0 is the fleet's default.
	connections int
	renewWait   time.Duration
	// moves holds the times at which the jobs' queue goes to the other of two services, of
	// which the second has one worker; planners read a version up to some 100 ms late. With
	// none there is one service.
	moves []time.Duration
	// checkpoint is what every attempt reports and brings when it is stopped; empty is none.
	checkpoint string
}

func drawScenario(t *rapid.T) scenario {
	times := rapid.SliceOfN(rapid.Int64Range(200, faultPeriod.Milliseconds()), 0, 4)
	return scenario{
		seed:        rapid.Uint64().Draw(t, "seed"),
		jobs:        rapid.IntRange(1, 6).Draw(t, "jobs"),
		faultRate:   rapid.SampledFrom([]float64{0, 0.03, 0.15, 0.4}).Draw(t, "faultRate"),
		failRate:    rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "failRate"),
		takeovers:   milliseconds(times.Draw(t, "takeovers")),
		overlap:     time.Duration(rapid.Int64Range(0, 2000).Draw(t, "overlap")) * time.Millisecond,
		restarts:    milliseconds(times.Draw(t, "restarts")),
		moves:       milliseconds(times.Draw(t, "moves")),
		cores:       rapid.SampledFrom([]float64{0, 0.001}).Draw(t, "cores"),
		recordBytes: rapid.SampledFrom([]int{0, 1}).Draw(t, "recordBytes"),
		listedEnds:  rapid.SampledFrom([]int{0, 1, 2}).Draw(t, "listedEnds"),
		connections: rapid.SampledFrom([]int{0, 2, 4}).Draw(t, "connections"),
		checkpoint:  rapid.SampledFrom([]string{"", "c"}).Draw(t, "checkpoint"),
		renewWait:   rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond}).Draw(t, "renewWait"),
		storeDelay:  milliseconds([]int64{rapid.SampledFrom([]int64{0, 2, 195}).Draw(t, "storeDelay")})[0],
		lostRate:    rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "lostRate"),
		storeOutage: time.Duration(rapid.Int64Range(0, faultPeriod.Milliseconds()).Draw(t, "storeOutage")) * time.Millisecond,
		evacuatedAt: time.Duration(rapid.Int64Range(0, (faultPeriod-evacuatedFor).Milliseconds()).Draw(t, "evacuatedAt")) * time.Millisecond,
	}
}

// randomUpTo returns a random duration up to the limit.
func randomUpTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit) + 1))
}

func milliseconds(list []int64) (out []time.Duration) {
	for _, ms := range list {
		out = append(out, time.Duration(ms)*time.Millisecond)
	}
	return out
}

// TestInvariantsUnderFaults checks the scheduler's guarantees in random scenarios
// with lost and late calls, worker restarts, a slow store whose answers overtake each
// other or get lost, an outage of it, an evacuated zone, a queue that moves between
// services, and overlapping planners on three workers.
func TestInvariantsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = s.run() })
		for _, problem := range problems {
			rt.Error(problem)
		}
	})
}

// TestPastFailures runs scenarios that once violated an invariant, several times
// each, since the interleaving of goroutines differs.
func TestPastFailures(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		scenario
	}{
		{"an end was acknowledged by its number from before the worker restarted", scenario{
			seed: 0x20, jobs: 2, faultRate: 0.4, failRate: 0.1, overlap: 1074 * time.Millisecond,
			takeovers: milliseconds([]int64{208}), restarts: milliseconds([]int64{1944, 281}), storeOutage: 1152 * time.Millisecond,
		}},
		{"a start reached a restarted worker and was taken for lost", scenario{
			seed: 0x2, jobs: 2, faultRate: 0.15, failRate: 0.1, overlap: time.Millisecond,
			takeovers: milliseconds([]int64{201, 279, 203, 1358}), restarts: milliseconds([]int64{203, 8137, 201}),
			storeOutage: 2642 * time.Millisecond,
		}},
		{"a renewal with an acknowledgement waited long on a restarted worker", scenario{
			seed: 0x6fbb, jobs: 3, faultRate: 0.4, failRate: 0.1, overlap: 1629 * time.Millisecond,
			takeovers: milliseconds([]int64{246}), restarts: milliseconds([]int64{1908}), storeOutage: 15 * time.Millisecond, cores: 0.001,
		}},
		{"an earlier planner's order reached a worker that restarted during the overlap", scenario{
			seed: 0x2517, jobs: 5, faultRate: 0.15, failRate: 0.1, overlap: 818 * time.Millisecond,
			takeovers: milliseconds([]int64{11882, 209, 9478, 202}), restarts: milliseconds([]int64{220, 319}),
			storeOutage: 28 * time.Millisecond, cores: 0.001,
		}},
		{"an attempt was stored after its worker had restarted and run the earlier one", scenario{
			seed: 0x19fe5, jobs: 2, faultRate: 0.15, failRate: 0.3, overlap: 975 * time.Millisecond,
			takeovers: milliseconds([]int64{12000, 4233, 244, 2239}), restarts: milliseconds([]int64{403, 1833, 1436, 291}),
			storeOutage: 7 * time.Millisecond, cores: 0.001,
		}},
		{"the same, more often", scenario{
			seed: 0x34f06, jobs: 2, faultRate: 0.4, overlap: 1526 * time.Millisecond,
			takeovers: milliseconds([]int64{489}), restarts: milliseconds([]int64{542, 379, 732, 263}),
			storeOutage: 7 * time.Millisecond, cores: 0.001,
		}},
		{"the worker restarted after the next attempt was started", scenario{
			seed: 0x102b4, jobs: 3, faultRate: 0.4, failRate: 0.3, overlap: 1416 * time.Millisecond,
			takeovers: milliseconds([]int64{360}), restarts: milliseconds([]int64{570, 746, 295, 258}), storeOutage: 5 * time.Second,
		}},
		{"a start after the lease had run out was taken for lost", scenario{
			seed: 0x8aaeb, jobs: 2, faultRate: 0.4, overlap: 132 * time.Millisecond,
			takeovers: milliseconds([]int64{377, 468}), restarts: milliseconds([]int64{245, 673, 396}),
			storeOutage: 7 * time.Millisecond, cores: 0.001,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range 5 {
				synctest.Test(t, func(t *testing.T) {
					for _, problem := range test.run() {
						t.Error(problem)
					}
				})
			}
		})
	}
}

// run runs the scenario and returns the violations.
func (s scenario) run() []string {
	h := newHarness(0)
	for i := range 3 {
		h.fleet.Add(s.worker(i, 1))
	}
	h.cores = s.cores
	if s.listedEnds > 0 {
		h.fleet.ListedEnds = s.listedEnds
	}
	h.fleet.Checkpoint = s.checkpoint
	if s.connections > 0 {
		h.fleet.Connections = s.connections
	}
	if s.renewWait > 0 {
		h.fleet.MaxWait = s.renewWait
	}
	began := time.Now()
	random := rand.New(rand.NewPCG(s.seed, 1))
	var mu sync.Mutex
	h.fleet.Fault = func(call string, _ workflow.WorkerID) runner.Fault {
		mu.Lock()
		defer mu.Unlock()
		if call == "RenewWait" || time.Since(began) > faultPeriod || random.Float64() >= s.faultRate {
			return runner.None
		}
		return runner.Fault(1 + random.IntN(4))
	}
	answers := rand.New(rand.NewPCG(s.seed, 2))
	h.answer = func() storeAnswer {
		if time.Since(began) > faultPeriod {
			return storeAnswer{}
		}
		answer := storeAnswer{after: randomUpTo(answers, s.storeDelay), answer: randomUpTo(answers, s.storeDelay)}
		switch {
		case answers.Float64() >= s.lostRate:
		case answers.IntN(3) == 0:
			answer.refusal = state.NewStepError("save", netip.AddrPort{}, state.TooManyCalls, nil)
		default:
			answer.lost, answer.after = true, randomUpTo(answers, 2*answerLimit)
		}
		return answer
	}
	h.fleet.Outcome = func(task workflow.Task, attempt int, _ workflow.WorkerID) workflow.Outcome {
		outcomeRandom := rand.New(rand.NewPCG(s.seed, uint64(attempt*1000+task.Step*100+len(task.Job))+uint64(task.Job[15])))
		if outcomeRandom.Float64() < s.failRate {
			return workflow.Faulted
		}
		return workflow.Done
	}
	steps := []workflow.Step{
		{Tasks: 3, Accelerators: 2, Gang: true},
		{Tasks: 2, Accelerators: 1},
		{Tasks: 2, Accelerators: 8, Gang: true, SameRack: true},
	}
	for i := range s.jobs {
		j := job(i+1, steps[i%len(steps)])
		j.RecordBytes = s.recordBytes
		if i%2 == 1 {
			next := j.Steps[0]
			next.After = []int{0}
			j.Steps = append(j.Steps, next)
		}
		h.addJob(j)
	}
	s.scheduleFaults(h)
	planners, reads := []*scheduling.Scheduler{h.startPlanner()}, rand.New(rand.NewPCG(s.seed, 3))
	for at := range faultPeriod / (100 * time.Millisecond) {
		time.Sleep(100 * time.Millisecond)
		elapsed := time.Since(began)
		h.evacuated = map[string]bool{"a": s.evacuatedAt > 0 && elapsed >= s.evacuatedAt && elapsed < s.evacuatedAt+evacuatedFor}
		for _, p := range planners {
			p.SetEvacuated(h.evacuated, keyvalue.Revision(at+2))
		}
		s.moveQueue(h, at, reads, planners)
		planners[len(planners)-1].SetWorkers(h.fleet.Workers(), time.Now())
		for _, takeover := range s.takeovers {
			if takeover/(100*time.Millisecond) == at {
				old := planners[len(planners)-1]
				planners = append(planners, h.startPlanner())
				time.AfterFunc(s.overlap, func() { _ = old.Close() })
			}
		}
	}
	planners[len(planners)-1].SetEvacuated(nil, keyvalue.Revision(faultPeriod))
	time.Sleep(recoveryPeriod / 30)
	if len(s.moves) > 0 { // some gangs fit only on both workers of the first service
		planners[len(planners)-1].SetPolicy(sentTo(firstService, lastVersion))
		planners[len(planners)-1].SetWorkers(h.fleet.Workers(), time.Now())
	}
	time.Sleep(recoveryPeriod - recoveryPeriod/30)
	for _, p := range planners {
		_ = p.Close()
	}
	problems := append(runner.Violations(h.fleet.Runs(), h.jobs[0].MaxAttempts), h.problems...)
	for _, r := range h.fleet.Runs() {
		if at := r.Started.Sub(began) - s.evacuatedAt; s.evacuatedAt > 0 && r.Worker == "w0" && at > startTransit && at < evacuatedFor {
			problems = append(problems, fmt.Sprintf("%s started on %s %v after its zone was evacuated", r.Task, r.Worker, at))
		}
	}
	for _, j := range h.jobs {
		if status := h.store.status(j.ID); !status.Final() {
			problems = append(problems, fmt.Sprintf("job %s still has status %q after %v without faults", j.ID, status, recoveryPeriod))
		}
	}
	return problems
}

// firstService and secondService are those between which the queue moves, lastVersion is a
// version of the configuration after all others.
const (
	firstService, secondService = "render", "other"
	lastVersion                 = 10_000
)

// sentTo returns a version of the configuration in which the jobs' queue has the service.
func sentTo(service string, version int64) *workflow.Policy {
	return &workflow.Policy{Version: version, Queues: []workflow.Queue{{Name: "render", Service: service}}}
}

// moveQueue writes the versions that are due, and has some of the planners read the newest.
func (s scenario) moveQueue(h *harness, at time.Duration, random *rand.Rand, planners []*scheduling.Scheduler) {
	for i, move := range s.moves {
		if move/(100*time.Millisecond) != at {
			continue
		}
		service := secondService
		if h.policy != nil && h.policy.Queues[0].Service == secondService {
			service = firstService
		}
		h.policy = sentTo(service, int64(at)*10+int64(i))
	}
	for _, p := range planners {
		if h.policy != nil && random.IntN(2) == 0 {
			p.SetPolicy(h.policy)
		}
	}
}

// worker returns worker i, of which the last has the second service if the queue moves.
func (s scenario) worker(i int, incarnation workflow.Incarnation) workflow.Worker {
	w := zoned(i, incarnation)
	if i == 2 && len(s.moves) > 0 {
		w.Service = secondService
	}
	return w
}

// zoned returns worker i, of which the first is in a zone of its own.
func zoned(i int, incarnation workflow.Incarnation) workflow.Worker {
	w := worker(i, incarnation)
	if w.AvailabilityZone = "b"; i == 0 {
		w.AvailabilityZone = "a"
	}
	return w
}

// scheduleFaults sets timers for the workers' restarts and the store's outage.
func (s scenario) scheduleFaults(h *harness) {
	for i, at := range s.restarts {
		time.AfterFunc(at, func() { h.fleet.Add(s.worker(i%3, workflow.Incarnation(i+2))) })
	}
	setUnavailable := func(unavailable bool) func() {
		return func() {
			h.store.mu.Lock()
			defer h.store.mu.Unlock()
			h.store.unavailable = unavailable
		}
	}
	time.AfterFunc(s.storeOutage, setUnavailable(true))
	time.AfterFunc(s.storeOutage+2*time.Second, setUnavailable(false))
}
