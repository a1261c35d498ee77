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

// event is one call; its zero after comes at once.
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

// fails lets the job fail on the first workers.
func fails(job state.JobID, workers int) (events []event) {
	for i := range workers {
		events = append(events, fail(address(i+1), job, "x"))
	}
	return events
}

// succeeds lets another job succeed on the first workers, a second later.
func succeeds(workers int) (events []event) {
	for i := range workers {
		events = append(events, event{"succeed", address(i + 1), "h", "h", time.Second})
	}
	return events
}

// probe lets job p begin on a worker once its first backoff is over.
func probe(worker netip.AddrPort) event {
	return event{"begin", worker, "p", "", firstBackoff}
}

func TestQuarantine(t *testing.T) {
	broken := []event{fail(w1, "a", "x"), fail(w1, "b", "y"), fail(w1, "c", "x")}
	then := func(more ...event) []event { return slices.Concat(broken, more) }
	tests := []struct {
		name   string
		events []event
		// out lists the workers that are not usable in the end.
		out []netip.AddrPort
		bad []state.JobID
	}{
		{"worker fails three jobs", broken, []netip.AddrPort{w1}, nil},
		{"worker fails one job three times", []event{fail(w1, "a", "x"), fail(w1, "a", "x"), fail(w1, "a", "x")}, nil, nil},
		{"worker succeeds in between", []event{fail(w1, "a", "x"), fail(w1, "b", "y"), succeed(w1, "d"), fail(w1, "c", "x")}, nil, nil},
		{"kind fails on three workers", []event{
			fail(w1, "a", "x"), fail(w2, "b", "x"), fail(w3, "c", "x"), fail(w1, "d", "x"), fail(w1, "e", "x"), fail(w2, "f", "x"), fail(w2, "g", "x"),
		}, nil, nil},
		{"kind fails on one worker first", []event{
			fail(w1, "a", "x"), fail(w1, "b", "x"), fail(w1, "c", "x"), fail(w2, "d", "x"), fail(w3, "e", "x"),
		}, nil, nil},
		{"kind's failures are old", []event{
			fail(w1, "a", "x"), fail(w2, "b", "x"), fail(w3, "c", "x"),
			{"fail", w1, "d", "x", 2 * failureWindow},
			fail(w1, "e", "x"),
		}, []netip.AddrPort{w1}, nil},
		{"job fails on three workers that then succeed", slices.Concat(fails("a", 3), succeeds(3)), nil, []state.JobID{"a"}},
		{"job fails on two workers that then succeed", slices.Concat(fails("a", 2), succeeds(3)), nil, nil},
		{"job fails on five workers that succeeded before", slices.Concat(succeeds(6), fails("a", 5)), nil, nil},
		{"job fails on six workers that succeeded before", slices.Concat(succeeds(6), fails("a", 6)), nil, []state.JobID{"a"}},
		{"job fails on workers that never succeeded", fails("a", 12), nil, nil},
		{"job of a kind that fails elsewhere fails on three workers", slices.Concat(succeeds(6), []event{
			fail(w1, "d", "x"), fail(w2, "e", "x"), fail(w3, "f", "x"),
		}, fails("a", 3)), nil, []state.JobID{"a"}},
		{"job fails on workers that then fail others", slices.Concat(fails("j", 3), succeeds(3), []event{fail(w1, "d", "y")}), nil, nil},
		{"job fails on a quarantined worker", slices.Concat(broken, fails("j", 6), []event{
			succeed(w2, "h"), succeed(w3, "h"),
		}), []netip.AddrPort{w1}, nil},
		{"probe is due", then(event{"wait", w1, "", "", firstBackoff}), nil, nil},
		{"probe is taken", then(probe(w1)), []netip.AddrPort{w1}, nil},
		{"second probe is refused", then(probe(w1), event{"beginRefused", w1, "o", "", 0}), []netip.AddrPort{w1}, nil},
		{"probe is lost", then(probe(w1), event{"wait", w1, "", "", probeTimeout}), nil, nil},
		{"probe succeeds", then(probe(w1), succeed(w1, "p")), nil, nil},
		{"older job succeeds", then(succeed(w1, "o")), []netip.AddrPort{w1}, nil},
		{"probe fails", then(probe(w1), fail(w1, "p", "x"), event{"wait", w1, "", "", 2*firstBackoff - 1}), []netip.AddrPort{w1}, nil},
		{"backoff after a failed probe ends", then(probe(w1), fail(w1, "p", "x"), event{"wait", w1, "", "", 2 * firstBackoff}), nil, nil},
		{"probe by a bad job says nothing", then(probe(w1), fail(w2, "p", "q"), fail(w3, "p", "q"), fail(w1, "p", "q")), nil, nil},
		{"worker fails again soon after a probe", then(
			probe(w1), succeed(w1, "p"), fail(w1, "d", "x"), fail(w1, "e", "y"), fail(w1, "f", "x"),
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
					q.Failed(e.worker, e.job, e.kind)
				case "succeed":
					q.Succeeded(e.worker, e.job, e.kind)
				case "begin", "beginRefused":
					if q.Begin(e.worker, e.job) != (e.act == "begin") {
						t.Errorf("%s: %v on %v", e.act, e.job, e.worker)
					}
				}
			}
			for _, worker := range []netip.AddrPort{w1, w2, w3, w4} {
				if q.Usable(worker) == slices.Contains(tt.out, worker) {
					t.Errorf("worker %v is usable: %v", worker, q.Usable(worker))
				}
			}
			for _, job := range []state.JobID{"a", "b", "j", "p"} {
				if q.JobIsBad(job) != slices.Contains(tt.bad, job) {
					t.Errorf("job %v is bad: %v", job, q.JobIsBad(job))
				}
			}
		})
	}
}

// fleet is 50 workers and 5 kinds of jobs, some of which are broken.
type fleet struct {
	brokenWorkers, brokenKinds int
	// healthy is how many jobs run before anything breaks.
	healthy int
}

// tally is what came of 500 jobs after the break.
type tally struct {
	// workerFailures counts the failures of good jobs by worker.
	workerFailures [50]int
	// goodCalledBad counts the jobs of good kinds that were called bad.
	goodCalledBad int
	// badJobs counts the jobs of broken kinds, and badAttempts their starts.
	badJobs, badAttempts int
}

func (f fleet) run(seed uint64) (q *Quarantine, t tally) {
	random := rand.New(rand.NewPCG(seed, 2))
	now := start
	q = New(func() time.Time { return now }, func(netip.AddrPort, bool) {})
	for i := range f.healthy + 500 {
		now = now.Add(10 * time.Millisecond)
		job, kind := state.JobID(fmt.Sprint("job", i)), i%5
		bad := kind < f.brokenKinds && i >= f.healthy
		if bad {
			t.badJobs++
		}
		for done, attempts := false, 0; !done && !q.JobIsBad(job) && attempts < 20; {
			worker := random.IntN(50)
			if !q.Usable(address(worker)) {
				continue
			}
			attempts++
			done = !bad && (worker >= f.brokenWorkers || i < f.healthy)
			switch {
			case done:
				q.Succeeded(address(worker), job, fmt.Sprint("kind", kind))
			case bad:
				t.badAttempts++
				q.Failed(address(worker), job, fmt.Sprint("kind", kind))
			default:
				t.workerFailures[worker]++
				q.Failed(address(worker), job, fmt.Sprint("kind", kind))
			}
		}
		if !bad && q.JobIsBad(job) {
			t.goodCalledBad++
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
				q, got := tt.run(seed)
				for worker, failures := range got.workerFailures {
					if worker >= tt.brokenWorkers && !q.Usable(address(worker)) {
						t.Errorf("seed %d: healthy worker %d is shut out", seed, worker)
					}
					if failures > 2*workerLimit {
						t.Errorf("seed %d: worker %d failed %d good jobs", seed, worker, failures)
					}
				}
				if got.goodCalledBad > 0 {
					t.Errorf("seed %d: %d good jobs called bad", seed, got.goodCalledBad)
				}
				if most := 2 * severalWorkers * got.badJobs; tt.healthy > 0 && got.badAttempts > most {
					t.Errorf("seed %d: %d starts of bad jobs, want at most %d", seed, got.badAttempts, most)
				}
			}
		})
	}
}

func BenchmarkUsable(b *testing.B) {
	for _, broken := range []int{0, 25} {
		b.Run(fmt.Sprint(broken, " of 50 quarantined"), func(b *testing.B) {
			q, _ := fleet{brokenWorkers: broken}.run(1)
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
					_, t := tt.run(seed)
					for worker, failures := range t.workerFailures {
						sum.workerFailures[worker] += failures
					}
					sum.goodCalledBad += t.goodCalledBad
					sum.badJobs += t.badJobs
					sum.badAttempts += t.badAttempts
				}
			}
			failures := 0
			for _, f := range sum.workerFailures {
				failures += f
			}
			b.ReportMetric(float64(failures)/float64(seeds*max(tt.brokenWorkers, 1)), "failures/brokenWorker")
			b.ReportMetric(float64(sum.badAttempts)/float64(max(sum.badJobs, 1)), "attempts/badJob")
			b.ReportMetric(float64(sum.goodCalledBad), "goodJobsCalledBad")
		})
	}
}
