package scheduling_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/scheduling"
	"comfreystream/standin/runner"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// TestWorkerGone takes the entry of a worker that runs a task from the registry,
// and checks how soon the task is started elsewhere: at once if the worker
// has certainly left, and after its lease if it may only be silent.
func TestWorkerGone(t *testing.T) {
	tests := []struct {
		name string
		// draining workers announced that they leave, answers says whether the worker
		// still answers, beats whether its entry was renewed until it was removed, and
		// outage is how long the registry could not be listed before.
		draining, answers, beats bool
		outage                   time.Duration
		// within bounds the time until the next attempt starts; 0 means that none may
		// start within the lease.
		within time.Duration
	}{
		{"it announced its leaving and is gone", true, false, true, 0, 1500 * time.Millisecond},
		{"it announced its leaving and still answers", true, true, true, 0, 0},
		{"it announced nothing", false, false, true, 0, 0},
		{"it was silent before", true, false, false, 0, 0},
		{"the store was away before", true, false, true, 3 * time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := runner.New()
				fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return time.Minute }
				entries := []workflow.Worker{}
				for _, id := range []workflow.WorkerID{"w1", "w2"} {
					w := workflow.Worker{ID: id, Incarnation: 1, Service: "s", Capacity: workflow.Capacity{Accelerators: 8}}
					fleet.Add(w)
					entries = append(entries, w)
				}
				var silent atomic.Value
				silent.Store(workflow.WorkerID(""))
				calls := fleet.Calls()
				renew := calls.Renew
				calls.Renew = func(ctx context.Context, w workflow.Worker, order scheduling.RenewOrder) (workflow.Report, error) {
					if w.ID == silent.Load() {
						return workflow.Report{}, state.NewStepError("renew", w.Address, state.ConnectionLost, nil)
					}
					return renew(ctx, w, order)
				}
				s := &scheduling.Scheduler{
					Term: 1, Now: time.Now, WallClock: time.Now, Workers: calls, Authorised: func() bool { return true },
					Bounds: scheduling.Bounds{LeaseLimit: 10 * time.Second, Heartbeat: 1500 * time.Millisecond, ReclaimLimit: time.Minute, FarFactor: 3},
					Save: func(_ context.Context, updates []scheduling.ProgressUpdate) []scheduling.SaveResult {
						return make([]scheduling.SaveResult, len(updates))
					},
					Guarantee: func(string) int { return 0 }, OnTermEnded: func() {}, Count: func(string) {},
					ObserveRound: func(time.Duration) {}, Log: zerolog.Nop(),
				}
				s.Open()
				defer s.Close()
				s.SetEvacuated(nil, 1)
				s.Load(&workflow.Job{ID: "a", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 3, Steps: []workflow.Step{{Tasks: 1, Accelerators: 8}}}, workflow.Progress{}, nil)
				list := func(entries []workflow.Worker, from, until time.Duration) {
					for at := from; at < until; at += 500 * time.Millisecond {
						for i := range entries {
							if entries[i].ID != silent.Load() || test.beats {
								entries[i].Beat = int64(at / (1500 * time.Millisecond))
							}
						}
						s.SetWorkers(entries, time.Now())
						time.Sleep(500 * time.Millisecond)
					}
				}
				list(entries, 0, 3*time.Second)
				runs := fleet.Runs()
				if len(runs) != 1 {
					t.Fatalf("%d attempts", len(runs))
				}
				gone := runs[0].Worker
				for i := range entries {
					entries[i].Draining = entries[i].ID == gone && test.draining
				}
				if !test.beats {
					silent.Store(gone)
				}
				list(entries, 3*time.Second, 8*time.Second)
				time.Sleep(test.outage)
				if !test.answers {
					silent.Store(gone)
				}
				time.Sleep(10 * time.Millisecond)
				removedAt := time.Now()
				var left []workflow.Worker
				for _, w := range entries {
					if w.ID != gone {
						left = append(left, w)
					}
				}
				list(left, 8*time.Second, 12*time.Second)
				runs = fleet.Runs()
				if restarted := len(runs) > 1; restarted != (test.within > 0) {
					t.Fatalf("started again: %v, want %v", restarted, test.within > 0)
				}
				if test.within > 0 && runs[1].Started.Sub(removedAt) > test.within {
					t.Errorf("started again after %v, want at most %v", runs[1].Started.Sub(removedAt), test.within)
				}
			})
		})
	}
}

// TestBrokenGang has a gang's member fail on a worker that is silent for a while, so
// that the other members end and say so. It checks when the gang starts again, and
// that the failure counts once the worker is back.
func TestBrokenGang(t *testing.T) {
	tests := []struct {
		name string
		// silent lists the silent workers; the member on the first fails.
		silent      []workflow.WorkerID
		maxAttempts int
		// restarted says whether the gang starts again before the silence is over,
		// starts counts the attempts after that, and want is the job's status.
		restarted bool
		starts    int
		want      workflow.Status
	}{
		{"one silent worker", []workflow.WorkerID{"w0"}, 3, true, 2, workflow.Completed},
		{"the failure could be the last attempt", []workflow.WorkerID{"w0"}, 1, false, 1, workflow.Failed},
		{"two silent workers", []workflow.WorkerID{"w0", "w1"}, 3, false, 2, workflow.Completed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const silentFrom, silentUntil = time.Second, 5 * time.Second
				h := newHarness(6)
				h.fleet.LeaseLimit = 10 * time.Second
				j := job(1, workflow.Step{Tasks: 3, Accelerators: 8, Gang: true, SameRack: true})
				j.MaxAttempts = test.maxAttempts
				h.addJob(j)
				fails := func(attempt int, w workflow.WorkerID) bool { return attempt == 1 && w == test.silent[0] }
				h.fleet.Outcome = func(_ workflow.Task, attempt int, w workflow.WorkerID) workflow.Outcome {
					if fails(attempt, w) {
						return workflow.Faulted
					}
					return workflow.Done
				}
				h.fleet.RunTime = func(_ workflow.Task, attempt int, w workflow.WorkerID) time.Duration {
					if fails(attempt, w) {
						return 2 * time.Second
					}
					return 6 * time.Second
				}
				h.fleet.Fault = loseCallsBetween(silentFrom, silentUntil, test.silent...)
				s := h.startPlanner()
				defer s.Close()
				time.Sleep(silentUntil - 100*time.Millisecond)
				if restarted := len(h.fleet.Runs()) > 3; restarted != test.restarted {
					t.Errorf("started again during the silence: %v, want %v", restarted, test.restarted)
				}
				time.Sleep(20 * time.Second)
				runs := h.fleet.Runs()
				if len(runs) != 3*test.starts || h.store.status(j.ID) != test.want {
					t.Errorf("%d attempts of three members, status %q; want %d, %q", len(runs), h.store.status(j.ID), 3*test.starts, test.want)
				}
				for _, v := range runner.Violations(runs, test.maxAttempts) {
					t.Error(v)
				}
				if failures := h.store.failures(j.ID); failures != 1 {
					t.Errorf("%d failures are stored, want 1", failures)
				}
			})
		})
	}
}
