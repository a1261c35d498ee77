package scheduling_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// TestForeignEntry lists entries by another writer among those of the workers, as in
// review/7. It guards against two pools that hold one worker: the second stops the tasks of
// the first, and acknowledges ends that the first has not seen, so that they run again.
func TestForeignEntry(t *testing.T) {
	change := func(id workflow.WorkerID, apply func(w *workflow.Worker)) func(list []workflow.Worker) []workflow.Worker {
		return func(list []workflow.Worker) []workflow.Worker {
			for i := range list {
				if list[i].ID == id {
					apply(&list[i])
				}
			}
			return list
		}
	}
	otherService := change("w0", func(w *workflow.Worker) { w.Service = "other" })
	copied := func(list []workflow.Worker) []workflow.Worker {
		double := list[0]
		double.ID = "a-copy"
		return slices.Insert(list, 0, double)
	}
	copiedToOther := func(list []workflow.Worker) []workflow.Worker {
		list = copied(list)
		list[0].Service = "other"
		return list
	}
	tests := []struct {
		name string
		list func(list []workflow.Worker) []workflow.Worker
		// from and until are when it is listed; a takeover comes after both.
		from, until time.Duration
		takeover    bool
	}{
		{"none", func(list []workflow.Worker) []workflow.Worker { return list }, 0, 0, false},
		{"another service, for one listing", otherService, 4 * time.Second, 4500 * time.Millisecond, false},
		{"another service, for a heartbeat", otherService, 4 * time.Second, 5500 * time.Millisecond, false},
		{"another service, for long", otherService, 4 * time.Second, 14 * time.Second, false},
		{"another service, then another planner", otherService, 4 * time.Second, 5500 * time.Millisecond, true},
		{"another service from the first listing", otherService, 0, 1500 * time.Millisecond, false},
		{"under another key", copied, 4 * time.Second, 14 * time.Second, false},
		{"under another key, of another service", copiedToOther, 4 * time.Second, 14 * time.Second, false},
		{"under another key from the first listing", copied, 0, 14 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(2)
				h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return 700 * time.Millisecond }
				for i := range 60 {
					h.addJob(job(i+1, workflow.Step{Tasks: 4, Accelerators: 2, Estimate: 700 * time.Millisecond}))
				}
				h.calls = byAddress(h.calls)
				s := h.startPlanner()
				began := time.Now()
				relist := func(s *scheduling.Scheduler) {
					list := h.fleet.Workers()
					if at := time.Since(began); at >= test.from && at < test.until {
						list = test.list(list)
					}
					s.SetWorkers(list, time.Now())
				}
				for time.Since(began) < 40*time.Second {
					relist(s)
					time.Sleep(500 * time.Millisecond)
					if test.takeover && time.Since(began) > 7*time.Second {
						test.takeover = false
						_ = s.Close()
						s = h.startPlanner()
					}
				}
				_ = s.Close()
				for _, violation := range runner.Violations(h.fleet.Runs(), 1) {
					t.Error(violation)
				}
				stopped := 0
				for _, r := range h.fleet.Runs() {
					if r.Outcome != workflow.Done {
						stopped++
					}
				}
				for _, j := range h.jobs {
					if got := h.store.status(j.ID); got != workflow.Completed {
						t.Errorf("job %s is %q", j.ID, got)
					}
				}
				if stopped > 0 || h.counted("strangerStopped") > 0 {
					t.Errorf("%d runs were stopped, %d as unknown", stopped, h.counted("strangerStopped"))
				}
			})
		})
	}
}

// TestForeignServices lists entries by another writer under the key of a known worker. It guards
// against a pool, with its goroutines, for each service that such an entry names.
func TestForeignServices(t *testing.T) {
	tests := []struct {
		name string
		// services are those that the entries name, one listing after the other.
		services []string
	}{
		{"one", []string{"other"}},
		{"another one each time", []string{"a", "b", "c", "d"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(1)
				s := h.startPlanner()
				for _, service := range test.services {
					time.Sleep(500 * time.Millisecond)
					foreign := worker(0, 1)
					foreign.Service = service
					s.SetWorkers([]workflow.Worker{foreign}, time.Now())
				}
				if loads := s.Loads(); len(loads) != 1 || loads[0].Service != "render" {
					t.Errorf("there are pools for %+v", loads)
				}
				_ = s.Close()
			})
		})
	}
}

// byAddress returns calls that reach the worker at the address, whatever its entry's key.
func byAddress(calls scheduling.WorkerCalls) scheduling.WorkerCalls {
	resolve := func(w workflow.Worker) workflow.Worker {
		w.ID = workflow.WorkerID(fmt.Sprintf("w%d", w.Address.Addr().As4()[3]-1))
		return w
	}
	return scheduling.WorkerCalls{
		Start: func(ctx context.Context, w workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
			return calls.Start(ctx, resolve(w), order)
		},
		Stop: func(ctx context.Context, w workflow.Worker, order scheduling.StopOrder) error {
			return calls.Stop(ctx, resolve(w), order)
		},
		Renew: func(ctx context.Context, w workflow.Worker, order scheduling.RenewOrder) (workflow.Report, error) {
			return calls.Renew(ctx, resolve(w), order)
		},
	}
}

// TestServiceChange has a worker come back under its ID with another service. Its new pool
// must get it once the old one has done with it, and the old one must call it no more.
func TestServiceChange(t *testing.T) {
	tests := []struct {
		name string
		// back is set if it returns to the first service after that.
		back bool
		want string
	}{
		{"for good", false, "other"},
		{"and back", true, "render"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(1)
				h.fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return time.Second }
				s := h.startPlanner()
				relist := func(incarnation workflow.Incarnation, service string, seconds int) {
					w := worker(0, incarnation)
					w.Service = service
					h.fleet.Add(w)
					for range 2 * seconds {
						w.Beat++
						s.SetWorkers([]workflow.Worker{w}, time.Now())
						time.Sleep(500 * time.Millisecond)
					}
				}
				relist(1, "render", 5)
				relist(2, "other", 10)
				if test.back {
					relist(3, "render", 10)
				}
				j := job(1, workflow.Step{Tasks: 2, Accelerators: 1, Estimate: time.Second})
				j.Service = test.want
				s.Load(j, workflow.Progress{}, nil)
				time.Sleep(4 * time.Second)
				if got := h.store.status(j.ID); got != workflow.Completed {
					t.Errorf("the job is %q", got)
				}
				_ = s.Close()
				for _, r := range h.fleet.Runs() {
					if r.Outcome != workflow.Done {
						t.Errorf("%v: %s", r.Task, r.Outcome)
					}
				}
			})
		})
	}
}
