package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreystream/instance"
	"comfreystream/standin/store"
	"comfreystream/state"
)

var fourZones = Plan{AvailabilityZones: []string{"za", "zb", "zc", "zd"}, EntriesPerZone: 2, WorkersPerZone: 2}

// TestReplaceAll replaces eight entries one after another under a stream of jobs.
func TestReplaceAll(t *testing.T) {
	f, client := startFleet(t, fourZones)
	c := callers(t, f, client, 8, false)
	for _, old := range f.Entries() {
		f.replace(t, client, old.AvailabilityZone())
		f.Drop(old)
		if err := old.Close(); err != nil {
			t.Error(err)
		}
	}
	c.finish(8)
}

// TestKillUnderLoad kills entries that hold roles, under a stream of jobs.
func TestKillUnderLoad(t *testing.T) {
	tests := []struct {
		name string
		kill func(f *Fleet, t *testing.T) []*instance.Instance
	}{
		{"planner", func(f *Fleet, t *testing.T) []*instance.Instance {
			return []*instance.Instance{f.planner(t)}
		}},
		{"an entry that does not plan, home of racks", func(f *Fleet, t *testing.T) []*instance.Instance {
			planner := f.planner(t)
			for _, e := range f.Entries() {
				if e != planner && e.AvailabilityZone() == planner.AvailabilityZone() {
					return []*instance.Instance{e}
				}
			}
			return nil
		}},
		{"two at once", func(f *Fleet, _ *testing.T) []*instance.Instance { return f.Entries()[:2] }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, client := startFleet(t, Plan{AvailabilityZones: []string{"za", "zb"}, EntriesPerZone: 4, WorkersPerZone: 4})
			c := callers(t, f, client, 8, true)
			f.eventually(t, "load", func(context.Context) error { return c.atLeast(16) })
			for _, e := range tt.kill(f, t) {
				f.Drop(e)
				if err := e.Abandon(); err != nil {
					t.Error(err)
				}
			}
			c.mu.Lock()
			before := c.whole
			c.mu.Unlock()
			f.eventually(t, "after the kill", func(context.Context) error { return c.atLeast(before + 32) })
			c.finish(48)
		})
	}
}

func (c *crowd) atLeast(whole int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.whole < whole {
		return notYet("too few jobs have run")
	}
	return nil
}

// TestAllAtOnce kills all eight entries with accepted jobs queued and running,
// and starts others: each accepted job still gets its outcome.
func TestAllAtOnce(t *testing.T) {
	f, client := startFleet(t, fourZones)
	accepted := make(map[state.JobID]*state.Job)
	for n := range 40 {
		job := smallJob()
		job.Idempotent, job.Key = n%2 == 0, fmt.Sprintf("a%d", n)
		job.Shape.Accelerators = 8
		job.Payload = fmt.Appendf(nil, `{"run":"400ms","answer":"%s"}`, job.Key)
		entry := f.Entries()[n%8].Address()
		f.eventually(t, "accept", func(ctx context.Context) error {
			id, err := client.Accept(ctx, entry, job)
			if err == nil {
				accepted[id] = job
			}
			return err
		})
	}
	var all sync.WaitGroup
	for _, e := range f.Entries() {
		f.Drop(e)
		all.Go(func() { _ = e.Abandon() })
	}
	all.Wait()
	for _, zone := range fourZones.AvailabilityZones {
		f.replace(t, client, zone)
		f.replace(t, client, zone)
	}
	for id, job := range accepted {
		var o state.Outcome
		f.eventually(t, job.Key, func(ctx context.Context) error {
			progress, err := client.Await(ctx, f.Entries()[0].Address(), id, time.Second)
			o = progress.Outcome
			if err == nil && !progress.Done {
				err = notYet("not done")
			}
			return err
		})
		starts := f.starts(id)
		if job.Idempotent && o.Ran != state.RanWhole || o.Ran == state.NotRun && starts > 0 || !job.Idempotent && starts > 1 {
			t.Errorf("%s (idempotent %v) has the outcome %v (%s) after %d starts", job.Key, job.Idempotent, o.Ran, o.Reason, starts)
		}
		if o.Ran == state.RanWhole && string(o.Answer) != job.Key {
			t.Errorf("%s got the answer %q", job.Key, o.Answer)
		}
	}
}

// changed returns the manifest with another share for north, and a marker that it shows.
func changed(share int) []byte {
	return []byte(strings.Replace(manifestFile, `"north", "share": 1`, fmt.Sprintf(`"north", "share": %d`, share), 1))
}

// TestRacingOperators applies two manifests at once through two entries, each
// to replace the same generation: one wins, the other hears which one did.
func TestRacingOperators(t *testing.T) {
	f, client := startFleet(t, fourZones)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	first, err := client.Apply(ctx, f.Entries()[0].Address(), changed(2), 0)
	if err != nil {
		t.Fatal(err)
	}
	var generations [2]state.Generation
	var errs [2]error
	var all sync.WaitGroup
	for n := range 2 {
		all.Go(func() {
			applied, err := client.Apply(ctx, f.Entries()[n*5].Address(), changed(3+n), first.Generation)
			generations[n], errs[n] = applied.Generation, err
		})
	}
	all.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	if errs[winner] != nil || state.ReasonOf(errs[1-winner], "") != state.OlderGeneration {
		t.Fatalf("errors %v, want one olderGeneration", errs)
	}
	if winning := fmt.Sprintf("generation %d is in force", generations[winner]); generations[winner] <= first.Generation || !strings.Contains(errs[1-winner].Error(), winning) {
		t.Errorf("generation %d won after %d; the loser heard: %v", generations[winner], first.Generation, errs[1-winner])
	}
	f.everywhere(t, client.Manifest, fmt.Sprintf(`"share": %d`, 3+winner))
}

// everywhere waits until every entry shows the manifest with that text.
func (f *Fleet) everywhere(t *testing.T, show func(ctx context.Context, entry netip.AddrPort) ([]byte, error), text string) {
	t.Helper()
	for _, e := range f.Entries() {
		f.eventually(t, "manifest in force", func(ctx context.Context) error {
			file, err := show(ctx, e.Address())
			if err == nil && !strings.Contains(string(file), text) {
				err = notYet("another manifest is in force: " + string(file))
			}
			return err
		})
	}
}

// TestNoRevert restarts an entry while the store answers old data: it never
// serves an older manifest than the others have.
func TestNoRevert(t *testing.T) {
	f, client := startFleet(t, fourZones)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	f.Store.Freeze()
	if _, err := client.Apply(ctx, f.Entries()[0].Address(), changed(5), 0); err != nil {
		t.Fatal(err)
	}
	f.everywhere(t, client.Manifest, `"share": 5`)
	f.Store.Inject(store.Always(store.Faults{OldData: true}))
	old := f.Entries()[0]
	f.Drop(old)
	if err := old.Close(); err != nil {
		t.Error(err)
	}
	e, err := f.AddEntry("za")
	if err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "restarted entry", func(ctx context.Context) error {
		file, err := client.Manifest(ctx, e.Address())
		if err == nil && !strings.Contains(string(file), `"share": 5`) {
			t.Errorf("it serves an older manifest: %s", file)
		}
		return err
	})
	f.everywhere(t, client.Manifest, `"share": 5`)
}

// TestDrainInFlight drains the entry that a caller waits at: the caller gets its answer.
func TestDrainInFlight(t *testing.T) {
	f, client := startFleet(t, Plan{AvailabilityZones: []string{"za"}, EntriesPerZone: 3, WorkersPerZone: 2})
	for _, e := range f.Entries()[:2] {
		job := smallJob()
		job.Idempotent, job.Key = false, e.Address().String()
		job.Payload = []byte(`{"run":"2s","answer":"whole"}`)
		var waiting sync.WaitGroup
		waiting.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			progress, err := client.Submit(ctx, e.Address(), job)
			if err != nil || !progress.Done || string(progress.Outcome.Answer) != "whole" {
				t.Errorf("%+v, %v", progress, err)
			}
		})
		f.eventually(t, "job running", func(context.Context) error {
			for _, w := range f.Workers() {
				if len(w.Running()) > 0 {
					return nil
				}
			}
			return notYet("no job runs")
		})
		f.Drop(e)
		if err := e.Close(); err != nil {
			t.Error(err)
		}
		waiting.Wait()
	}
}

// TestLeavingWorker has a worker leave, by its own sign or the list's: nothing
// new is started there from 2 s after the sign.
func TestLeavingWorker(t *testing.T) {
	tests := []struct {
		name  string
		leave func(f *Fleet)
	}{
		{"its own flag", func(f *Fleet) { f.Workers()[0].Leave() }},
		{"the instance list", func(f *Fleet) { f.List.Leave(f.Workers()[0].Address()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, client := startFleet(t, Plan{AvailabilityZones: []string{"za"}, EntriesPerZone: 2, WorkersPerZone: 2})
			c := callers(t, f, client, 8, false)
			f.eventually(t, "load", func(context.Context) error { return c.atLeast(16) })
			tt.leave(f)
			<-time.After(2 * time.Second)
			// What was placed before may still run: no job runs for longer than 220 ms.
			w := f.Workers()[0]
			f.eventually(t, "the last task", func(context.Context) error {
				if len(w.Running()) > 0 {
					return notYet("tasks run")
				}
				return nil
			})
			c.mu.Lock()
			before := c.whole
			c.mu.Unlock()
			f.eventually(t, "after the leave", func(context.Context) error {
				if running := w.Running(); len(running) > 0 {
					t.Errorf("%v was started on a worker that left", running)
				}
				return c.atLeast(before + 40)
			})
			c.finish(0)
		})
	}
}

// TestCutOffZone cuts a zone off from the others and the platform: it goes on
// by its last manifest, and after healing nothing has run twice.
func TestCutOffZone(t *testing.T) {
	f, client := startFleet(t, Plan{AvailabilityZones: []string{"za", "zb", "zc"}, EntriesPerZone: 2, WorkersPerZone: 2})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	for _, other := range []string{"zb", "zc", Platform} {
		f.Links.Cut("za", other)
	}
	inside := f.Entries()[0].Address()
	submit := func(job *state.Job) (o state.Outcome) {
		f.eventually(t, job.Key, func(ctx context.Context) error {
			progress, err := client.Submit(ctx, inside, job)
			o = progress.Outcome
			if err == nil && !progress.Done {
				err = notYet("not done")
			}
			return err
		})
		if starts := f.starts(o.Job); o.Ran == state.NotRun && starts > 0 || starts > 1 {
			t.Errorf("%s: %v after %d starts", job.Key, o.Ran, starts)
		}
		return o
	}
	for n := range 5 {
		job := smallJob()
		job.Key = fmt.Sprintf("cut%d", n)
		if o := submit(job); o.Ran != state.RanWhole {
			t.Errorf("idempotent job in the cut-off zone: %v (%s)", o.Ran, o.Reason)
		}
	}
	once := smallJob()
	once.Idempotent, once.Key = false, "once"
	if o := submit(once); o.Ran != state.NotRun || o.Reason != state.ClaimUnavailable {
		t.Errorf("non-idempotent job in the cut-off zone: %v (%s)", o.Ran, o.Reason)
	}
	if _, err := client.Apply(ctx, f.Entries()[5].Address(), changed(7), 0); err != nil && state.ReasonOf(err, "") != state.HomeUnreachable {
		t.Errorf("apply outside: %v", err)
	}
	if file, err := client.Manifest(ctx, inside); err != nil || !strings.Contains(string(file), `"north", "share": 1`) && !strings.Contains(string(file), `"share": 1`) {
		t.Errorf("the cut-off zone shows %s, %v", file, err)
	}
	f.Links.Heal()
	f.everywhere(t, client.Manifest, `"share": 7`)
	f.eventually(t, "non-idempotent job after healing", func(context.Context) error {
		if o := submit(once); o.Ran != state.RanWhole && o.Reason != state.DuplicateKey {
			return notYet(string(o.Reason))
		}
		return nil
	})
}
