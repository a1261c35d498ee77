package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"comfreystream/protocol/caller"
	"comfreystream/state"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent(),
		// fasthttp updates its date header until the process ends.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		// gnet runs its handlers in a pool of ants that is never released.
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

// eventTimeout bounds events that take seconds at most, with a margin for a busy
// machine.
const eventTimeout = 30 * time.Second

// submitters simulates callers that each submit one job after another through
// random entries, as the platform's load balancer would distribute them.
type submitters struct {
	t      *testing.T
	fleet  *Fleet
	client *caller.Client
	// expectLostConnections is set by tests that kill entries: callers may then lose
	// connections, and non-idempotent jobs may end with an unknown outcome.
	expectLostConnections bool
	stop                  context.CancelFunc
	running               sync.WaitGroup

	mu                                sync.Mutex
	completed, refused, lost, unknown int
}

// startSubmitters starts count callers. The method finish stops them and checks the
// results.
func startSubmitters(t *testing.T, f *Fleet, client *caller.Client, count int, expectLostConnections bool) *submitters {
	ctx, cancel := context.WithCancel(context.Background())
	s := &submitters{t: t, fleet: f, client: client, expectLostConnections: expectLostConnections, stop: cancel}
	for n := range count {
		random := rand.New(rand.NewPCG(uint64(n), 7))
		s.running.Go(func() {
			for serial := 0; ctx.Err() == nil; serial++ {
				s.submit(fmt.Sprintf("c%d-%d", n, serial), random)
			}
		})
	}
	return s
}

func (s *submitters) randomEntry(random *rand.Rand) netip.AddrPort {
	entries := s.fleet.Entries()
	return entries[random.IntN(len(entries))].Address()
}

func (s *submitters) submit(name string, random *rand.Rand) {
	job := smallJob()
	job.Idempotent = random.IntN(2) == 0
	job.Key = name
	job.Payload = fmt.Appendf(nil, `{"run":"%dms","answer":"%s"}`, 20+random.IntN(200), name)
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	progress, err := s.client.Submit(ctx, s.randomEntry(random), job)
	id := progress.Outcome.Job
	for err == nil && !progress.Done {
		progress, err = s.client.Await(ctx, s.randomEntry(random), id, time.Second)
		progress.Outcome.Job = id
	}
	s.count(job, progress.Outcome, err)
}

// count counts an outcome and checks it: the answer is the job's own, a job that is
// reported as not run was never started, and a non-idempotent job was started at
// most once.
func (s *submitters) count(job *state.Job, o state.Outcome, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.lost++
		if !s.expectLostConnections {
			s.t.Errorf("%s (%s): %v", job.Key, o.Job, err)
		}
		return
	case o.Ran == state.RanToCompletion:
		s.completed++
		if string(o.Answer) != job.Key {
			s.t.Errorf("%s: got the answer %q, want its key", job.Key, o.Answer)
		}
	case o.Ran == state.NotRun:
		s.refused++
	default:
		s.unknown++
		if job.Idempotent || !s.expectLostConnections {
			s.t.Errorf("%s (%s, idempotent %v): unexpected outcome %v (%s)", job.Key, o.Job, job.Idempotent, o.Ran, o.Reason)
		}
	}
	starts := s.fleet.startCount(o.Job)
	if o.Ran == state.NotRun && starts > 0 || !job.Idempotent && starts > 1 {
		s.t.Errorf("%s (idempotent %v): outcome %v (%s) after %d starts", job.Key, job.Idempotent, o.Ran, o.Reason, starts)
	}
}

// finish stops the callers after their current jobs, logs the counts, and fails the
// test if fewer than minCompleted jobs completed.
func (s *submitters) finish(minCompleted int) {
	s.t.Helper()
	s.stop()
	s.running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%d jobs completed, %d refused, %d with unknown outcome, %d without reply", s.completed, s.refused, s.unknown, s.lost)
	if s.completed < minCompleted {
		s.t.Errorf("only %d jobs completed", s.completed)
	}
}

// startCount returns how many times the job was started on any worker.
func (f *Fleet) startCount(job state.JobID) (total int) {
	for _, w := range f.Workers() {
		total += w.CountStarts(job)
	}
	return total
}

// awaitSuccess retries try until it succeeds, and fails the test after eventTimeout.
func (f *Fleet) awaitSuccess(t *testing.T, what string, try func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	if err := f.retry(ctx, func() error { return try(ctx) }); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// addReadyEntry starts an entry in the zone and waits until it is ready.
func (f *Fleet) addReadyEntry(t *testing.T, client *caller.Client, zone string) {
	t.Helper()
	e, err := f.AddEntry(zone)
	if err != nil {
		t.Fatal(err)
	}
	f.awaitSuccess(t, "wait for the new entry", func(ctx context.Context) error { return client.Ready(ctx, e.Address()) })
}

// notYetError returns an error for a condition that does not hold yet.
func notYetError(what string) error { return errors.New(what) }
