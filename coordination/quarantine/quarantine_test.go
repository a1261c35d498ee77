package quarantine

import (
	"comfreystream/state"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
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

// fleet runs jobs on 50 workers, some of which fail everything after the first
// healthy jobs; it returns the failures on them and the jobs called bad.
func fleet(seed uint64, broken, healthy int) (q *Quarantine, failed, bad int) {
	random := rand.New(rand.NewPCG(seed, 2))
	now := start
	q = New(func() time.Time { return now }, func(netip.AddrPort, bool) {})
	for i := range healthy + 500 {
		now = now.Add(10 * time.Millisecond)
		job := state.JobID(fmt.Sprint("job", i))
		kind := fmt.Sprint("kind", i%5)
		for done := false; !done && !q.JobIsBad(job); {
			worker := random.IntN(50)
			if !q.Usable(address(worker)) {
				continue
			}
			done = worker >= broken || i < healthy
			if done {
				q.Succeeded(address(worker), job, kind)
			} else {
				q.Failed(address(worker), job, kind)
				failed++
			}
		}
		if q.JobIsBad(job) {
			bad++
		}
	}
	return q, failed, bad
}

func TestFleetWithBrokenWorkers(t *testing.T) {
	tests := []struct {
		name            string
		broken, healthy int
	}{
		{"none", 0, 0},
		{"one from the start", 1, 0},
		{"half from the start", 25, 0},
		{"one later", 1, 500},
		{"a fifth later", 10, 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				q, failed, bad := fleet(seed, tt.broken, tt.healthy)
				if out := len(q.List()); out != tt.broken || bad != 0 {
					t.Errorf("%d workers quarantined, want %d; %d jobs called bad", out, tt.broken, bad)
				}
				if most := tt.broken * 2 * workerLimit; failed > most {
					t.Errorf("%d members failed, want at most %d", failed, most)
				}
			}
		})
	}
}

func BenchmarkUsable(b *testing.B) {
	for _, broken := range []int{0, 25} {
		b.Run(fmt.Sprint(broken, " of 50 quarantined"), func(b *testing.B) {
			q, _, _ := fleet(1, broken, 0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Usable(address(i % 50))
			}
		})
	}
}

func BenchmarkBrokenWorkers(b *testing.B) {
	const seeds = 100
	for _, healthy := range []int{0, 500} {
		b.Run(fmt.Sprint("half fail after ", healthy, " jobs"), func(b *testing.B) {
			failed, bad := 0, 0
			for b.Loop() {
				failed, bad = 0, 0
				for seed := range uint64(seeds) {
					_, f, wrong := fleet(seed, 25, healthy)
					failed += f
					bad += wrong
				}
			}
			b.ReportMetric(float64(failed)/(25*seeds), "failures/worker")
			b.ReportMetric(float64(bad)/seeds, "goodJobsCalledBad")
		})
	}
}
