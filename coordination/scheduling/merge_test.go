package scheduling

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// TestMergedPool counts jobs of two services whose pools are merged. It guards against
// guarantees, waiting work and expected waits that count at both services or at neither.
func TestMergedPool(t *testing.T) {
	tests := []struct {
		name string
		// services holds the service of each urgent job's queue; each needs 8 accelerators,
		// which is what is guaranteed to their organisation.
		services []string
		// want describes which jobs are within the guarantee, and by service what waits.
		want string
	}{
		{"one each", []string{"a", "b"}, "[true true] a:1 b:1"},
		{"both at the first", []string{"a", "a"}, "[true false] a:2 b:0"},
		{"two at the second", []string{"a", "b", "b"}, "[true true false] a:1 b:2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Scheduler{
				Now: time.Now, WallClock: time.Now, Count: func(string) {}, Log: zerolog.Nop(), Authorised: func() bool { return false },
				Guarantee: func(string) int { return 8 },
			}
			s.Open()
			defer func() { _ = s.Close() }()
			for i, service := range test.services {
				s.Load(&workflow.Job{
					ID: workflow.ID(fmt.Sprint(i)), Queue: service, Service: service, MaxAttempts: 1, Stretch: 1, Accepted: time.Now(),
					Steps: []workflow.Step{{Tasks: 1, Accelerators: 8, Estimate: time.Second}},
				}, workflow.Progress{}, nil)
			}
			list := []workflow.Worker{registered("a", "wa", 1), registered("b", "wb", 2)}
			s.SetWorkers(list, time.Now())
			s.mergePools(s.pool("a"), s.pool("b"))
			s.SetWorkers(list, time.Now())
			p := s.pool("b")
			var guaranteed []bool
			within := p.guaranteedJobs(time.Now())
			for i := range test.services {
				guaranteed = append(guaranteed, within[p.jobs[workflow.ID(fmt.Sprint(i))]])
			}
			got := fmt.Sprint(guaranteed)
			for _, l := range s.Loads() {
				if l.Workers != 1 {
					t.Errorf("service %s has %d workers, want 1", l.Service, l.Workers)
				}
				got += fmt.Sprintf(" %s:%d", l.Service, l.Waiting)
			}
			if got != test.want {
				t.Errorf("counted %q, want %q", got, test.want)
			}
			if pending := s.Pending(); pending["a"]+pending["b"] != len(test.services) {
				t.Errorf("%v jobs wait, want %d", pending, len(test.services))
			}
		})
	}
}

func registered(service string, id workflow.WorkerID, host byte) workflow.Worker {
	return workflow.Worker{
		ID: id, Incarnation: 1, Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7070),
		Capacity: workflow.Capacity{Accelerators: 8, Cores: 8000, MemoryMiB: 1024},
	}
}

// TestMergeWorkers merges two pools that know the same worker from stored progress. It guards
// against attempts, calls and saves that are forgotten, and capacity that is counted free.
func TestMergeWorkers(t *testing.T) {
	tests := []struct {
		name string
		// renewing is set for the pool that renews the worker's lease; empty is none.
		renewing string
	}{
		{"neither pool renews its lease", ""},
		{"the first renews it", "a"},
		{"the second renews it", "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Scheduler{Now: time.Now, WallClock: time.Now, Count: func(string) {}, Log: zerolog.Nop(), Authorised: func() bool { return false }}
			s.Open()
			defer func() { _ = s.Close() }()
			for _, service := range []string{"a", "b"} {
				s.Load(&workflow.Job{
					ID: workflow.ID(service), Queue: service, Service: service, MaxAttempts: 1, Accepted: time.Now(),
					Steps: []workflow.Step{{Tasks: 1, Accelerators: 3}},
				}, workflow.Progress{Groups: map[workflow.GroupID]workflow.Group{
					{}: {Attempt: 1, Placed: []workflow.WorkerIncarnation{{Worker: "w", Incarnation: 1}}},
				}}, map[int]keyvalue.Revision{0: 1})
			}
			renewing := (*worker)(nil)
			if test.renewing != "" {
				renewing = s.pool(test.renewing).workers["w"]
				renewing.renewing = true
			}
			for _, service := range []string{"a", "b"} {
				p := s.pool(service)
				p.mu.Lock()
				p.startsPending = 2
				p.saves.underWay[&saveBatch{}] = struct{}{}
				p.markDirty(p.jobs[workflow.ID(service)].recordAt(0))
				p.work.addStop(p.jobs[workflow.ID(service)].groups[workflow.GroupID{}].members[0])
				p.mu.Unlock()
			}
			s.mergePools(s.pool("a"), s.pool("b"))
			p := s.pool("b").lock()
			defer p.mu.Unlock()
			w := p.workers["w"]
			if len(w.members) != 2 || w.used.Accelerators != 6 || len(p.ordered) != 1 || p.ordered[0] != w || renewing != nil && w != renewing {
				t.Errorf("%d members use %d accelerators of %d workers", len(w.members), w.used.Accelerators, len(p.ordered))
			}
			if p.startsPending != 4 || len(p.saves.underWay) != 2 || len(p.dirty) != 2 || len(p.work.stops) != 2 {
				t.Errorf("%d starts, %d saves, %d unsaved records, %d stops are pending, want 4 and 2 each", p.startsPending, len(p.saves.underWay), len(p.dirty), len(p.work.stops))
			}
			for _, j := range p.jobs {
				g := j.groups[workflow.GroupID{}]
				if g.members[0].worker != w || g.earlier.hosts[0] != w {
					t.Errorf("job %s is on another worker", j.ID)
				}
			}
		})
	}
}
