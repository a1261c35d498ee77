package jobstore_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// TestLargeJob runs a job whose progress is many times as large as a value of the store
// beside small ones, and replaces the planner halfway. A record that is too large must
// neither stop the service nor lose what has run.
func TestLargeJob(t *testing.T) {
	tests := []struct {
		name  string
		large workflow.Job
		// checkpoint is how long the tasks' checkpoints are.
		checkpoint int
	}{
		{"single tasks", workflow.Job{Steps: []workflow.Step{{Tasks: 900}}}, 16},
		{"checkpoints larger than a value", workflow.Job{Steps: []workflow.Step{{Tasks: 40}}}, 9000},
		{"gangs", workflow.Job{Steps: append(slices.Repeat([]workflow.Step{{Tasks: 60, Gang: true}}, 4), workflow.Step{Tasks: 30})}, 16},
		{"occurrences", workflow.Job{Steps: []workflow.Step{{Tasks: 30}, {Tasks: 20, Gang: true, After: []int{0}}}, Occurrences: 25, Interval: 200 * time.Millisecond}, 16},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				jobs := []*workflow.Job{&test.large}
				for range 6 {
					jobs = append(jobs, &workflow.Job{Steps: []workflow.Step{{Tasks: 2, Accelerators: 4, Gang: true}}})
				}
				backend, fleet := standin.New(), runner.New()
				backend.ValueBytes, fleet.ListedEnds = 8<<10, 50
				fleet.Checkpoint = strings.Repeat("c", test.checkpoint)
				calls := backend.Calls()
				st := record.NewJobStore(&calls, func() int { return backend.ValueBytes })
				for i, j := range jobs {
					j.ID, j.Service, j.Organisation = workflow.ID(fmt.Sprintf("%016x", i)), "render", "andina"
					j.Priority, j.MaxAttempts, j.Stretch, j.FirstStart = 1, 3, 2, time.Now()
					for n := range j.Steps {
						j.Steps[n].Cores, j.Steps[n].Estimate, j.Steps[n].Checkpointable = 20, 3*time.Second, true
					}
					if _, err := st.Accept(t.Context(), j); err != nil {
						t.Fatal(err)
					}
				}
				fleet.GangSize = func(task workflow.Task) int {
					for _, j := range jobs {
						if j.ID == task.Job && j.Steps[task.Step].Gang {
							return j.Steps[task.Step].Tasks
						}
					}
					return 1
				}
				fleet.RunTime = func(workflow.Task, int, workflow.WorkerID) time.Duration { return 3 * time.Second }
				for i := range 3 {
					fleet.Add(workflow.Worker{
						ID: workflow.WorkerID(fmt.Sprintf("w%d", i)), Incarnation: 1, Service: "render",
						Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7070),
						Capacity: workflow.Capacity{Cores: 32000, Accelerators: 8},
					})
				}
				first := startPlanner(t, st, &calls, fleet, jobs)
				time.Sleep(2 * time.Second)
				_ = first.Close()
				second := startPlanner(t, st, &calls, fleet, jobs)
				time.Sleep(30 * time.Second)
				_ = second.Close()
				for _, j := range jobs {
					if status, _, err := st.Status(t.Context(), j.ID); err != nil || status != workflow.Completed {
						t.Errorf("job %s has status %q, %v", j.ID, status, err)
					}
				}
				starts := make(map[workflow.Task]int)
				for _, r := range fleet.Runs() {
					if starts[r.Task]++; starts[r.Task] == 2 {
						t.Errorf("%s was started again", r.Task)
					}
				}
			})
		})
	}
}

// startPlanner begins a term over the stored progress.
func startPlanner(t *testing.T, st *jobstore.Store, store *keyvalue.Store, fleet *runner.Fleet, jobs []*workflow.Job) *scheduling.Scheduler {
	t.Helper()
	revision, err := store.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{{Key: "seat"}}})
	if err != nil {
		t.Fatal(err)
	}
	s := &scheduling.Scheduler{
		Term: scheduling.Term(revision), Now: time.Now, WallClock: time.Now, Workers: fleet.Calls(),
		Bounds:     scheduling.Bounds{LeaseLimit: fleet.LeaseLimit, StopLimit: 900 * time.Millisecond, ReclaimLimit: time.Minute, FarFactor: 3, Overlap: 2 * time.Second},
		Authorised: func() bool { return true },
		Save: func(ctx context.Context, updates []scheduling.ProgressUpdate) []scheduling.SaveResult {
			return st.Save(ctx, keyvalue.Condition{Key: "seat", Revision: revision}, updates)
		},
		Guarantee: func(string) int { return 0 }, OnTermEnded: func() {}, Count: func(string) {},
		ObserveRound: func(time.Duration) {}, Log: zerolog.Nop(),
	}
	s.Open()
	s.SetEvacuated(nil, revision)
	all, err := st.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, j := range jobs {
		if all[j.ID].Err != nil {
			t.Fatal(all[j.ID].Err)
		}
		s.Load(j, all[j.ID].Progress, all[j.ID].Revisions)
	}
	s.SetWorkers(fleet.Workers(), time.Now())
	return s
}
