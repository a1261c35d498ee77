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
		// fasthttp keeps one clock for the life of the process.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		// ants, which gnet starts its handlers with, keeps one pool for the life of the process.
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

// patience bounds what must come about within seconds, on a machine that is busy.
const patience = 30 * time.Second

// crowd is callers who submit jobs one after another, each through any entry, as
// the platform's balancer would send them.
type crowd struct {
	t      *testing.T
	fleet  *Fleet
	client *caller.Client
	// kills is set if entries are killed: a caller may then lose its connection.
	kills bool
	stop  context.CancelFunc
	all   sync.WaitGroup

	mu                          sync.Mutex
	whole, refused, lost, other int
}

// callers starts count callers; finish ends them and checks what was counted.
func callers(t *testing.T, f *Fleet, client *caller.Client, count int, kills bool) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{t: t, fleet: f, client: client, kills: kills, stop: cancel}
	for n := range count {
		random := rand.New(rand.NewPCG(uint64(n), 7))
		c.all.Go(func() {
			for serial := 0; ctx.Err() == nil; serial++ {
				c.submit(fmt.Sprintf("c%d-%d", n, serial), random)
			}
		})
	}
	return c
}

func (c *crowd) entry(random *rand.Rand) netip.AddrPort {
	entries := c.fleet.Entries()
	return entries[random.IntN(len(entries))].Address()
}

func (c *crowd) submit(name string, random *rand.Rand) {
	job := smallJob()
	job.Idempotent = random.IntN(2) == 0
	job.Key = name
	job.Payload = fmt.Appendf(nil, `{"run":"%dms","answer":"%s"}`, 20+random.IntN(200), name)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	progress, err := c.client.Submit(ctx, c.entry(random), job)
	id := progress.Outcome.Job
	for err == nil && !progress.Done {
		progress, err = c.client.Await(ctx, c.entry(random), id, time.Second)
		progress.Outcome.Job = id
	}
	c.count(job, progress.Outcome, err)
}

func (c *crowd) count(job *state.Job, o state.Outcome, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.lost++
		if !c.kills {
			c.t.Errorf("%s (%s): %v", job.Key, o.Job, err)
		}
		return
	case o.Ran == state.RanWhole:
		c.whole++
		if string(o.Answer) != job.Key {
			c.t.Errorf("%s got the answer %q", job.Key, o.Answer)
		}
	case o.Ran == state.NotRun:
		c.refused++
	default:
		c.other++
		if job.Idempotent || !c.kills {
			c.t.Errorf("%s (%s, idempotent %v) has the outcome %v (%s)", job.Key, o.Job, job.Idempotent, o.Ran, o.Reason)
		}
	}
	starts := c.fleet.starts(o.Job)
	if o.Ran == state.NotRun && starts > 0 || !job.Idempotent && starts > 1 {
		c.t.Errorf("%s (idempotent %v) has the outcome %v (%s) and was started %d times", job.Key, job.Idempotent, o.Ran, o.Reason, starts)
	}
}

// finish ends the callers once each has its answer, and logs the counts.
func (c *crowd) finish(least int) {
	c.t.Helper()
	c.stop()
	c.all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("%d ran, %d were refused, %d of unknown outcome, %d connections lost", c.whole, c.refused, c.other, c.lost)
	if c.whole < least {
		c.t.Errorf("only %d jobs ran", c.whole)
	}
}

func (f *Fleet) starts(job state.JobID) (total int) {
	for _, w := range f.Workers() {
		total += w.Starts(job)
	}
	return total
}

// eventually fails the test unless try succeeds in time.
func (f *Fleet) eventually(t *testing.T, what string, try func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := f.until(ctx, func() error { return try(ctx) }); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// replace adds an entry of the zone and waits until it serves.
func (f *Fleet) replace(t *testing.T, client *caller.Client, zone string) {
	t.Helper()
	e, err := f.AddEntry(zone)
	if err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "new entry", func(ctx context.Context) error { return client.Ready(ctx, e.Address()) })
}

func notYet(what string) error { return errors.New(what) }
