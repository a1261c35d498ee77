package retry

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"comfreystream/state"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	worker1 = netip.MustParseAddrPort("10.0.0.1:7070")
)

func TestDecide(t *testing.T) {
	failed := []netip.AddrPort{worker1}
	idempotent := state.Job{Organisation: "andina", Idempotent: true}
	once := state.Job{Organisation: "andina"}
	jobDueIn := func(after time.Duration) state.Job {
		return state.Job{Organisation: "andina", Idempotent: true, Deadline: start.Add(after)}
	}
	tests := []struct {
		name    string
		job     state.Job
		attempt state.Attempt
		ran     state.Ran
		failed  []netip.AddrPort
		earlier int
		// later is the time between the earlier failures and this one.
		later    time.Duration
		want     state.Reason
		from, to time.Duration
	}{
		{"first failure", idempotent, 1, state.OutcomeUnknown, failed, 0, 0, "", 25 * time.Millisecond, 50 * time.Millisecond},
		{"fourth failure", idempotent, 4, state.OutcomeUnknown, failed, 0, 0, "", 200 * time.Millisecond, 400 * time.Millisecond},
		{"backoff is capped", idempotent, 4e9, state.OutcomeUnknown, failed, 0, 0, "", 5 * time.Second, 10 * time.Second},
		{"non-idempotent that may have run", once, 1, state.OutcomeUnknown, failed, 0, 0, state.AmbiguousStart, 0, 0},
		{"non-idempotent that did not run", once, 1, state.NotRun, failed, 0, 0, "", 25 * time.Millisecond, 50 * time.Millisecond},
		{"ran whole", once, 1, state.RanToCompletion, nil, 0, 0, "", 0, 0},
		{"deadline passed", jobDueIn(0), 1, state.NotRun, failed, 0, 0, state.DeadlinePassed, 0, 0},
		{"deadline before the backoff's end", jobDueIn(20 * time.Millisecond), 1, state.NotRun, failed, 0, 0, state.DeadlineTooClose, 0, 0},
		{"worker's burst is spent", idempotent, 1, state.OutcomeUnknown, failed, 3, 0, "", time.Second, time.Second},
		{"deadline before the worker's next retry", jobDueIn(time.Second / 2), 1, state.OutcomeUnknown, failed, 3, 0, state.DeadlineTooClose, 0, 0},
		{"worker's next retry is beyond the maximum backoff", idempotent, 1, state.OutcomeUnknown, failed, 20, 0, state.RetryBudgetSpent, 0, 0},
		{"refused retries do not use the worker's budget", idempotent, 1, state.OutcomeUnknown, failed, 100, 5 * time.Second, "", 5 * time.Second, 7 * time.Second},
		{"organisation's budget is spent", idempotent, 1, state.OutcomeUnknown, nil, 15, 0, state.RetryBudgetSpent, 0, 0},
		{"refused lease costs no budget", idempotent, 1, state.NotRun, nil, 1000, 0, "", 25 * time.Millisecond, 50 * time.Millisecond},
	}
	settings := Settings{Ratio: 0.2, Burst: 15, WorkerInterval: time.Second, WorkerBurst: 3}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			r := New(settings, func() time.Time { return now }, rand.New(rand.NewPCG(1, 2)).Float64)
			for range tt.earlier {
				r.Decide(&state.Job{Organisation: "andina", Idempotent: true}, 1, tt.ran, tt.failed)
			}
			now = now.Add(tt.later)
			got := r.Decide(&tt.job, tt.attempt, tt.ran, tt.failed)
			if got.Reason != tt.want || got.Again != (tt.to > 0) {
				t.Fatalf("got %+v, want reason %q", got, tt.want)
			}
			if wait := got.NotBefore.Sub(now); got.Again && (wait < tt.from || wait > tt.to) {
				t.Errorf("waits %v, want %v to %v", wait, tt.from, tt.to)
			}
		})
	}
}

// runJobs runs one-member jobs on random workers, some of which fail every
// attempt.
func runJobs(settings Settings, jobs int, failing func(worker int) bool) (attempts, done int) {
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	r := New(settings, func() time.Time { return now }, random.Float64)
	for range jobs {
		now = now.Add(100 * time.Millisecond)
		r.CreditFirstAttempt("andina")
		job := state.Job{Organisation: "andina", Idempotent: true}
		for attempt := state.Attempt(1); ; attempt++ {
			attempts++
			worker := random.IntN(50)
			if !failing(worker) {
				done++
				break
			}
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(worker)}), 7070)
			if !r.Decide(&job, attempt, state.OutcomeUnknown, []netip.AddrPort{address}).Again {
				break
			}
		}
	}
	return attempts, done
}

func TestAttemptsAreBounded(t *testing.T) {
	tests := []struct {
		name          string
		failing, jobs int
		allDone       bool
	}{
		{"no worker fails", 0, 2000, true},
		{"one worker of 50 fails", 1, 2000, true},
		{"half of the workers fail", 25, 2000, false},
		{"all workers fail", 50, 2000, false},
		{"half of the workers fail, few jobs", 25, 5, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := DefaultSettings()
			attempts, done := runJobs(s, tt.jobs, func(worker int) bool { return worker < tt.failing })
			if bound := float64(tt.jobs)*(1+s.Ratio) + s.Burst; float64(attempts) > bound {
				t.Errorf("%d attempts, want at most %v", attempts, bound)
			}
			if tt.allDone && done != tt.jobs {
				t.Errorf("%d of %d jobs done", done, tt.jobs)
			}
		})
	}
}

func BenchmarkHalfOfWorkersFail(b *testing.B) {
	const jobs = 2000
	b.ReportAllocs()
	attempts, done := 0, 0
	for b.Loop() {
		attempts, done = runJobs(DefaultSettings(), jobs, func(worker int) bool { return worker < 25 })
	}
	b.ReportMetric(float64(attempts)/jobs, "attempts/job")
	b.ReportMetric(float64(done)/jobs, "done/job")
}
