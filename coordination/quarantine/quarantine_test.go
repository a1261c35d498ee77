package quarantine

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"comfreystream/state"
)

var (
	w1, w2, w3, w4 = address(1), address(2), address(3), address(4)
	start          = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func address(worker int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(worker)}), 7070)
}

// event is one call, made after the given time.
type event struct {
	act    string
	worker netip.AddrPort
	job    state.JobID
	kind   string
	after  time.Duration
}

func fail(worker netip.AddrPort, job state.JobID, kind string) event {
	return event{"fail", worker, job, kind, 0}
}

func succeed(worker netip.AddrPort, job state.JobID) event {
	return event{"succeed", worker, job, "x", 0}
}

// failOnFirst makes the job fail on the first workers.
func failOnFirst(job state.JobID, workers int) (events []event) {
	for i := range workers {
		events = append(events, fail(address(i+1), job, "x"))
	}
	return events
}

// succeedOnFirst makes another job succeed on the first workers, each after one
// more second.
func succeedOnFirst(workers int) (events []event) {
	for i := range workers {
		events = append(events, event{"succeed", address(i + 1), "h", "h", time.Second})
	}
	return events
}

// beginProbe starts job p on a worker once its first backoff has passed.
func beginProbe(worker netip.AddrPort) event {
	return event{"begin", worker, "p", "", firstBackoff}
}

func TestQuarantine(t *testing.T) {
	broken := []event{fail(w1, "a", "x"), fail(w1, "b", "y"), fail(w1, "c", "x")}
	then := func(more ...event) []event { return slices.Concat(broken, more) }
	tests := []struct {
		name   string
		events []event
		// unusable lists the workers that are not usable in the end, and faulty
		// the jobs that are found faulty.
		unusable []netip.AddrPort
		faulty   []state.JobID
	}{
		{"worker fails three jobs", broken, []netip.AddrPort{w1}, nil},
		{"worker fails one job three times", []event{fail(w1, "a", "x"), fail(w1, "a", "x"), fail(w1, "a", "x")}, nil, nil},
		{"worker succeeds in between", []event{fail(w1, "a", "x"), fail(w1, "b", "y"), succeed(w1, "d"), fail(w1, "c", "x")}, nil, nil},
		{"kind fails on three workers", []event{
			fail(w1, "a", "x"), fail(w2, "b", "x"), fail(w3, "c", "x"), fail(w1, "d", "x"), fail(w1, "e", "x"), fail(w2, "f", "x"), fail(w2, "g", "x"),
		}, nil, nil},
		{"kind fails on one worker, then on others", []event{
			fail(w1, "a", "x"), fail(w1, "b", "x"), fail(w1, "c", "x"), fail(w2, "d", "x"), fail(w3, "e", "x"),
		}, nil, nil},
		{"kind's failures are old", []event{
			fail(w1, "a", "x"), fail(w2, "b", "x"), fail(w3, "c", "x"),
			{"fail", w1, "d", "x", 2 * failureWindow},
			fail(w1, "e", "x"),
		}, []netip.AddrPort{w1}, nil},
		{"job fails on three workers that then succeed", slices.Concat(failOnFirst("a", 3), succeedOnFirst(3)), nil, []state.JobID{"a"}},
		{"job fails on two workers that then succeed", slices.Concat(failOnFirst("a", 2), succeedOnFirst(3)), nil, nil},
		{"job fails on five workers that succeeded before", slices.Concat(succeedOnFirst(6), failOnFirst("a", 5)), nil, nil},
		{"job fails on six workers that succeeded before", slices.Concat(succeedOnFirst(6), failOnFirst("a", 6)), nil, []state.JobID{"a"}},
		{"job fails on workers that never succeeded", failOnFirst("a", 12), nil, nil},
		{"job of a kind that fails elsewhere fails on three workers", slices.Concat(succeedOnFirst(6), []event{
			fail(w1, "d", "x"), fail(w2, "e", "x"), fail(w3, "f", "x"),
		}, failOnFirst("a", 3)), nil, []state.JobID{"a"}},
		{"job fails on workers that then fail others", slices.Concat(failOnFirst("j", 3), succeedOnFirst(3), []event{fail(w1, "d", "y")}), nil, nil},
		{"job fails on a quarantined worker", slices.Concat(broken, failOnFirst("j", 6), []event{
			succeed(w2, "h"), succeed(w3, "h"),
		}), []netip.AddrPort{w1}, nil},
		{"probe is due", then(event{"wait", w1, "", "", firstBackoff}), nil, nil},
		{"probe is taken", then(beginProbe(w1)), []netip.AddrPort{w1}, nil},
		{"second probe is refused", then(beginProbe(w1), event{"beginRefused", w1, "o", "", 0}), []netip.AddrPort{w1}, nil},
		{"probe times out", then(beginProbe(w1), event{"wait", w1, "", "", probeTimeout}), nil, nil},
		{"probe succeeds", then(beginProbe(w1), succeed(w1, "p")), nil, nil},
		{"older job succeeds", then(succeed(w1, "o")), []netip.AddrPort{w1}, nil},
		{"probe fails", then(beginProbe(w1), fail(w1, "p", "x"), event{"wait", w1, "", "", 2*firstBackoff - 1}), []netip.AddrPort{w1}, nil},
		{"backoff after a failed probe ends", then(beginProbe(w1), fail(w1, "p", "x"), event{"wait", w1, "", "", 2 * firstBackoff}), nil, nil},
		{"probe by a faulty job does not count", then(beginProbe(w1), fail(w2, "p", "q"), fail(w3, "p", "q"), fail(w1, "p", "q")), nil, nil},
		{"worker fails again soon after a probe", then(
			beginProbe(w1), succeed(w1, "p"), fail(w1, "d", "x"), fail(w1, "e", "y"), fail(w1, "f", "x"),
			event{"wait", w1, "", "", firstBackoff},
		), []netip.AddrPort{w1}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			q := New(func() time.Time { return now }, func(netip.AddrPort, bool) {})
			for _, e := range tt.events {
				now = now.Add(e.after)
				switch e.act {
				case "fail":
					q.RecordFailure(e.worker, e.job, e.kind)
				case "succeed":
					q.RecordSuccess(e.worker, e.job, e.kind)
				case "begin", "beginRefused":
					if q.TryStart(e.worker, e.job) != (e.act == "begin") {
						t.Errorf("%s: %v on %v", e.act, e.job, e.worker)
					}
				}
			}
			for _, worker := range []netip.AddrPort{w1, w2, w3, w4} {
				if q.Usable(worker) == slices.Contains(tt.unusable, worker) {
					t.Errorf("worker %v usable: got %v", worker, q.Usable(worker))
				}
			}
			for _, job := range []state.JobID{"a", "b", "j", "p"} {
				if q.IsFaultyJob(job) != slices.Contains(tt.faulty, job) {
					t.Errorf("job %v faulty: got %v", job, q.IsFaultyJob(job))
				}
			}
		})
	}
}

// fleet is 50 workers and 5 kinds of jobs, some of which are broken.
type fleet struct {
	brokenWorkers, brokenKinds int
	// healthy is the number of jobs that run before anything breaks.
	healthy int
}

// tally is the result of 500 jobs after the break.
type tally struct {
	// workerFailures counts the failures of sound jobs by worker.
	workerFailures [50]int
	// soundCalledFaulty counts the jobs of sound kinds that were found faulty.
	soundCalledFaulty int
	// faultyJobs counts the jobs of broken kinds, and faultyAttempts their
	// starts.
	faultyJobs, faultyAttempts int
}

func (f fleet) simulate(seed uint64) (q *Quarantine, t tally) {
	random := rand.New(rand.NewPCG(seed, 2))
	now := start
	q = New(func() time.Time { return now }, func(netip.AddrPort, bool) {})
	for i := range f.healthy + 500 {
		now = now.Add(10 * time.Millisecond)
		job, kind := state.JobID(fmt.Sprint("job", i)), i%5
		bad := kind < f.brokenKinds && i >= f.healthy
		if bad {
			t.faultyJobs++
		}
		for done, attempts := false, 0; !done && !q.IsFaultyJob(job) && attempts < 20; {
			worker := random.IntN(50)
			if !q.Usable(address(worker)) {
				continue
			}
			attempts++
			done = !bad && (worker >= f.brokenWorkers || i < f.healthy)
			switch {
			case done:
				q.RecordSuccess(address(worker), job, fmt.Sprint("kind", kind))
			case bad:
				t.faultyAttempts++
				q.RecordFailure(address(worker), job, fmt.Sprint("kind", kind))
			default:
				t.workerFailures[worker]++
				q.RecordFailure(address(worker), job, fmt.Sprint("kind", kind))
			}
		}
		if !bad && q.IsFaultyJob(job) {
			t.soundCalledFaulty++
		}
	}
	return q, t
}

func TestFleet(t *testing.T) {
	tests := []struct {
		name string
		fleet
	}{
		{"nothing broken", fleet{}},
		{"one worker from the start", fleet{brokenWorkers: 1}},
		{"half of the workers from the start", fleet{brokenWorkers: 25}},
		{"one worker later", fleet{brokenWorkers: 1, healthy: 500}},
		{"a fifth of the workers later", fleet{brokenWorkers: 10, healthy: 500}},
		{"a kind from the start", fleet{brokenKinds: 1}},
		{"four of five kinds later", fleet{brokenKinds: 4, healthy: 500}},
		{"a kind and a fifth of the workers later", fleet{brokenKinds: 1, brokenWorkers: 10, healthy: 500}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(10) {
				q, got := tt.simulate(seed)
				for worker, failures := range got.workerFailures {
					if worker >= tt.brokenWorkers && !q.Usable(address(worker)) {
						t.Errorf("seed %d: healthy worker %d is quarantined", seed, worker)
					}
					if failures > 2*minFailedJobs {
						t.Errorf("seed %d: worker %d failed %d sound jobs", seed, worker, failures)
					}
				}
				if got.soundCalledFaulty > 0 {
					t.Errorf("seed %d: %d sound jobs found faulty", seed, got.soundCalledFaulty)
				}
				if most := 2 * suspectWorkers * got.faultyJobs; tt.healthy > 0 && got.faultyAttempts > most {
					t.Errorf("seed %d: %d starts of faulty jobs, want at most %d", seed, got.faultyAttempts, most)
				}
			}
		})
	}
}

func BenchmarkUsable(b *testing.B) {
	for _, broken := range []int{0, 25} {
		b.Run(fmt.Sprint(broken, " of 50 quarantined"), func(b *testing.B) {
			q, _ := fleet{brokenWorkers: broken}.simulate(1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Usable(address(i % 50))
			}
		})
	}
}

func BenchmarkFleet(b *testing.B) {
	const seeds = 100
	tests := []struct {
		name string
		fleet
	}{
		{"half of the workers from the start", fleet{brokenWorkers: 25}},
		{"half of the workers later", fleet{brokenWorkers: 25, healthy: 500}},
		{"a kind later", fleet{brokenKinds: 1, healthy: 500}},
		{"a kind and a fifth of the workers later", fleet{brokenKinds: 1, brokenWorkers: 10, healthy: 500}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			var sum tally
			for b.Loop() {
				sum = tally{}
				for seed := range uint64(seeds) {
					_, t := tt.simulate(seed)
					for worker, failures := range t.workerFailures {
						sum.workerFailures[worker] += failures
					}
					sum.soundCalledFaulty += t.soundCalledFaulty
					sum.faultyJobs += t.faultyJobs
					sum.faultyAttempts += t.faultyAttempts
				}
			}
			failures := 0
			for _, f := range sum.workerFailures {
				failures += f
			}
			b.ReportMetric(float64(failures)/float64(seeds*max(tt.brokenWorkers, 1)), "failures/brokenWorker")
			b.ReportMetric(float64(sum.faultyAttempts)/float64(max(sum.faultyJobs, 1)), "attempts/badJob")
			b.ReportMetric(float64(sum.soundCalledFaulty), "goodJobsCalledBad")
		})
	}
}
