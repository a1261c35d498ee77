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

// TestReplaceAll replaces all eight entries one after another under load; no caller
// may lose its connection.
func TestReplaceAll(t *testing.T) {
	f, client := startFleet(t, fourZones)
	c := startSubmitters(t, f, client, 8, false)
	for _, old := range f.Entries() {
		f.addReadyEntry(t, client, old.AvailabilityZone())
		f.RemoveEntry(old)
		if err := old.Close(); err != nil {
			t.Error(err)
		}
	}
	c.finish(8)
}

// TestKillUnderLoad kills entries under load: jobs still complete afterwards, and
// those that are not idempotent start at most once.
func TestKillUnderLoad(t *testing.T) {
	tests := []struct {
		name string
		kill func(f *Fleet, t *testing.T) []*instance.Instance
	}{
		{"planner", func(f *Fleet, t *testing.T) []*instance.Instance {
			return []*instance.Instance{f.awaitPlanner(t)}
		}},
		{"entry other than the planner, home of some racks", func(f *Fleet, t *testing.T) []*instance.Instance {
			planner := f.awaitPlanner(t)
			for _, e := range f.Entries() {
				if e != planner && e.AvailabilityZone() == planner.AvailabilityZone() {
					return []*instance.Instance{e}
				}
			}
			return nil
		}},
		{"two entries at once", func(f *Fleet, _ *testing.T) []*instance.Instance { return f.Entries()[:2] }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, client := startFleet(t, Plan{AvailabilityZones: []string{"za", "zb"}, EntriesPerZone: 4, WorkersPerZone: 4})
			c := startSubmitters(t, f, client, 8, true)
			f.awaitSuccess(t, "wait for load", func(context.Context) error { return c.checkCompleted(16) })
			for _, e := range tt.kill(f, t) {
				f.RemoveEntry(e)
				if err := e.Abandon(); err != nil {
					t.Error(err)
				}
			}
			c.mu.Lock()
			before := c.completed
			c.mu.Unlock()
			f.awaitSuccess(t, "wait for jobs after the kill", func(context.Context) error { return c.checkCompleted(before + 32) })
			c.finish(48)
		})
	}
}

// checkCompleted returns an error while fewer jobs than count have completed.
func (s *submitters) checkCompleted(count int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.completed < count {
		return notYetError("too few jobs have completed")
	}
	return nil
}

// TestAllAtOnce kills all eight entries while accepted jobs are queued and running,
// then starts new entries: every accepted job still gets an outcome.
func TestAllAtOnce(t *testing.T) {
	f, client := startFleet(t, fourZones)
	accepted := make(map[state.JobID]*state.Job)
	for n := range 40 {
		job := smallJob()
		job.Idempotent, job.Key = n%2 == 0, fmt.Sprintf("a%d", n)
		job.Shape.Accelerators = 8
		job.Payload = fmt.Appendf(nil, `{"run":"400ms","answer":"%s"}`, job.Key)
		entry := f.Entries()[n%8].Address()
		f.awaitSuccess(t, "accept", func(ctx context.Context) error {
			id, err := client.Accept(ctx, entry, job)
			if err == nil {
				accepted[id] = job
			}
			return err
		})
	}
	var all sync.WaitGroup
	for _, e := range f.Entries() {
		f.RemoveEntry(e)
		all.Go(func() { _ = e.Abandon() })
	}
	all.Wait()
	for _, zone := range fourZones.AvailabilityZones {
		f.addReadyEntry(t, client, zone)
		f.addReadyEntry(t, client, zone)
	}
	for id, job := range accepted {
		var o state.Outcome
		f.awaitSuccess(t, job.Key, func(ctx context.Context) error {
			progress, err := client.Await(ctx, f.Entries()[0].Address(), id, time.Second)
			o = progress.Outcome
			if err == nil && !progress.Done {
				err = notYetError("the job is not done")
			}
			return err
		})
		starts := f.startCount(id)
		if job.Idempotent && o.Ran != state.RanToCompletion || o.Ran == state.NotRun && starts > 0 || !job.Idempotent && starts > 1 {
			t.Errorf("%s (idempotent %v): outcome %v (%s) after %d starts", job.Key, job.Idempotent, o.Ran, o.Reason, starts)
		}
		if o.Ran == state.RanToCompletion && string(o.Answer) != job.Key {
			t.Errorf("%s: got the answer %q, want its key", job.Key, o.Answer)
		}
	}
}

// manifestWithShare returns the test manifest with another share for the organisation north.
func manifestWithShare(share int) []byte {
	return []byte(strings.Replace(manifestFile, `"north", "share": 1`, fmt.Sprintf(`"north", "share": %d`, share), 1))
}

// TestRacingOperators applies two manifests concurrently through two entries, both
// based on the same generation: one succeeds, the other is rejected with an error
// that names the generation in force.
func TestRacingOperators(t *testing.T) {
	f, client := startFleet(t, fourZones)
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	first, err := client.Apply(ctx, f.Entries()[0].Address(), manifestWithShare(2), 0)
	if err != nil {
		t.Fatal(err)
	}
	var generations [2]state.Generation
	var errs [2]error
	var all sync.WaitGroup
	for n := range 2 {
		all.Go(func() {
			applied, err := client.Apply(ctx, f.Entries()[n*5].Address(), manifestWithShare(3+n), first.Generation)
			generations[n], errs[n] = applied.Generation, err
		})
	}
	all.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	if errs[winner] != nil || state.ReasonOf(errs[1-winner], "") != state.OlderGeneration {
		t.Fatalf("errors %v, want exactly one, with the reason olderGeneration", errs)
	}
	if winning := fmt.Sprintf("generation %d is in force", generations[winner]); generations[winner] <= first.Generation || !strings.Contains(errs[1-winner].Error(), winning) {
		t.Errorf("generation %d applied after %d; the other operator got the error %v", generations[winner], first.Generation, errs[1-winner])
	}
	f.awaitManifest(t, client.Manifest, fmt.Sprintf(`"share": %d`, 3+winner))
}

// awaitManifest waits until every entry shows a manifest that contains text.
func (f *Fleet) awaitManifest(t *testing.T, show func(ctx context.Context, entry netip.AddrPort) ([]byte, error), text string) {
	t.Helper()
	for _, e := range f.Entries() {
		f.awaitSuccess(t, "wait for the manifest", func(ctx context.Context) error {
			file, err := show(ctx, e.Address())
			if err == nil && !strings.Contains(string(file), text) {
				err = notYetError("another manifest is in force: " + string(file))
			}
			return err
		})
	}
}

// TestNoRevert replaces an entry while the store serves stale data: the new entry
// must not serve an older manifest than the other entries.
func TestNoRevert(t *testing.T) {
	f, client := startFleet(t, fourZones)
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	f.Store.SnapshotStaleData()
	if _, err := client.Apply(ctx, f.Entries()[0].Address(), manifestWithShare(5), 0); err != nil {
		t.Fatal(err)
	}
	f.awaitManifest(t, client.Manifest, `"share": 5`)
	f.Store.Inject(store.Always(store.Faults{StaleReads: true}))
	old := f.Entries()[0]
	f.RemoveEntry(old)
	if err := old.Close(); err != nil {
		t.Error(err)
	}
	e, err := f.AddEntry("za")
	if err != nil {
		t.Fatal(err)
	}
	f.awaitSuccess(t, "wait for the new entry", func(ctx context.Context) error {
		file, err := client.Manifest(ctx, e.Address())
		if err == nil && !strings.Contains(string(file), `"share": 5`) {
			t.Errorf("the new entry serves an older manifest: %s", file)
		}
		return err
	})
	f.awaitManifest(t, client.Manifest, `"share": 5`)
}

// TestDrainInFlight drains an entry while a caller waits on it for a result: the
// caller still gets the answer.
func TestDrainInFlight(t *testing.T) {
	f, client := startFleet(t, Plan{AvailabilityZones: []string{"za"}, EntriesPerZone: 3, WorkersPerZone: 2})
	for _, e := range f.Entries()[:2] {
		job := smallJob()
		job.Idempotent, job.Key = false, e.Address().String()
		job.Payload = []byte(`{"run":"2s","answer":"whole"}`)
		var waiting sync.WaitGroup
		waiting.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
			defer cancel()
			progress, err := client.Submit(ctx, e.Address(), job)
			if err != nil || !progress.Done || string(progress.Outcome.Answer) != "whole" {
				t.Errorf("submit to the draining entry: %+v, error %v", progress, err)
			}
		})
		f.awaitSuccess(t, "job running", func(context.Context) error {
			for _, w := range f.Workers() {
				if len(w.Running()) > 0 {
					return nil
				}
			}
			return notYetError("no job runs")
		})
		f.RemoveEntry(e)
		if err := e.Close(); err != nil {
			t.Error(err)
		}
		waiting.Wait()
	}
}

// TestLeavingWorker marks a worker as leaving, on the worker itself or in the instance
// list: from 2 s later on, no new task is started on it.
func TestLeavingWorker(t *testing.T) {
	tests := []struct {
		name  string
		leave func(f *Fleet)
	}{
		{"marked on the worker", func(f *Fleet) { f.Workers()[0].Leave() }},
		{"marked in the instance list", func(f *Fleet) { f.List.Leave(f.Workers()[0].Address()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, client := startFleet(t, Plan{AvailabilityZones: []string{"za"}, EntriesPerZone: 2, WorkersPerZone: 2})
			c := startSubmitters(t, f, client, 8, false)
			f.awaitSuccess(t, "wait for load", func(context.Context) error { return c.checkCompleted(16) })
			tt.leave(f)
			<-time.After(2 * time.Second)
			// Tasks placed before may still run, but none of them for longer than 220 ms.
			w := f.Workers()[0]
			f.awaitSuccess(t, "wait for the last task", func(context.Context) error {
				if len(w.Running()) > 0 {
					return notYetError("tasks are still running")
				}
				return nil
			})
			c.mu.Lock()
			before := c.completed
			c.mu.Unlock()
			f.awaitSuccess(t, "wait for jobs after the worker left", func(context.Context) error {
				if running := w.Running(); len(running) > 0 {
					t.Errorf("%v was started on a leaving worker", running)
				}
				return c.checkCompleted(before + 40)
			})
			c.finish(0)
		})
	}
}

// TestCutOffZone cuts a zone off from the other zones and the platform. The zone keeps
// running idempotent jobs under its last manifest and refuses non-idempotent ones;
// no job may have run twice once the links are restored.
func TestCutOffZone(t *testing.T) {
	f, client := startFleet(t, Plan{AvailabilityZones: []string{"za", "zb", "zc"}, EntriesPerZone: 2, WorkersPerZone: 2})
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	for _, other := range []string{"zb", "zc", Platform} {
		f.Links.Cut("za", other)
	}
	inside := f.Entries()[0].Address()
	submit := func(job *state.Job) (o state.Outcome) {
		f.awaitSuccess(t, job.Key, func(ctx context.Context) error {
			progress, err := client.Submit(ctx, inside, job)
			o = progress.Outcome
			if err == nil && !progress.Done {
				err = notYetError("the job is not done")
			}
			return err
		})
		if starts := f.startCount(o.Job); o.Ran == state.NotRun && starts > 0 || starts > 1 {
			t.Errorf("%s: outcome %v after %d starts", job.Key, o.Ran, starts)
		}
		return o
	}
	for n := range 5 {
		job := smallJob()
		job.Key = fmt.Sprintf("cut%d", n)
		if o := submit(job); o.Ran != state.RanToCompletion {
			t.Errorf("idempotent job in the cut-off zone: %v (%s)", o.Ran, o.Reason)
		}
	}
	once := smallJob()
	once.Idempotent, once.Key = false, "once"
	if o := submit(once); o.Ran != state.NotRun || o.Reason != state.ClaimUnavailable {
		t.Errorf("non-idempotent job in the cut-off zone: %v (%s)", o.Ran, o.Reason)
	}
	if _, err := client.Apply(ctx, f.Entries()[5].Address(), manifestWithShare(7), 0); err != nil && state.ReasonOf(err, "") != state.HomeUnreachable {
		t.Errorf("apply outside the cut-off zone: %v", err)
	}
	if file, err := client.Manifest(ctx, inside); err != nil || !strings.Contains(string(file), `"north", "share": 1`) && !strings.Contains(string(file), `"share": 1`) {
		t.Errorf("manifest shown in the cut-off zone: %s, error %v", file, err)
	}
	f.Links.Heal()
	f.awaitManifest(t, client.Manifest, `"share": 7`)
	f.awaitSuccess(t, "non-idempotent job after the links were restored", func(context.Context) error {
		if o := submit(once); o.Ran != state.RanToCompletion && o.Reason != state.DuplicateKey {
			return notYetError(string(o.Reason))
		}
		return nil
	})
}
