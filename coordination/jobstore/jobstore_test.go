package jobstore_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/backlog"
	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

var progress = workflow.Progress{
	Status:  workflow.Running,
	Routing: workflow.Routing{Service: "other", PolicyVersion: 8},
	Groups: map[workflow.GroupID]workflow.Group{
		{Step: 1, Index: 2}: {
			Attempt: 3, Failures: 1, FailedAttempt: 2, Checkpoint: "c",
			Placed: []workflow.WorkerIncarnation{{Worker: "w", Incarnation: 9}},
		},
	},
}

// valueBytes is the platform's usual limit.
func valueBytes() int { return 1 << 20 }

// TestSave checks that a save repeated after a failure distinguishes an earlier save
// whose answer was lost from the end of the term.
func TestSave(t *testing.T) {
	tests := []struct {
		name string
		// fault is that of the first save; between is called after it.
		fault   standin.Fault
		between func(store *keyvalue.Store)
		want    error
	}{
		{"answered", standin.None, func(*keyvalue.Store) {}, nil},
		{"refused, then saved", standin.Refused, func(*keyvalue.Store) {}, nil},
		{"not answered, then saved", standin.Silent, func(*keyvalue.Store) {}, nil},
		{"applied without an answer", standin.Unanswered, func(*keyvalue.Store) {}, jobstore.ErrStaleRevision},
		{"another planner has begun a term", standin.Refused, func(store *keyvalue.Store) {
			_, _ = store.Commit(context.Background(), keyvalue.Change{Puts: []keyvalue.Put{{Key: "seat"}}})
		}, scheduling.ErrTermEnded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				calls := store.Calls()
				st := record.NewJobStore(&calls, valueBytes)
				revision, err := calls.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{{Key: "seat"}}})
				if err != nil {
					t.Fatal(err)
				}
				term := keyvalue.Condition{Key: "seat", Revision: revision}
				updates := []scheduling.ProgressUpdate{{Job: "a", Progress: progress}}
				store.Fault = func(string) standin.Fault { return test.fault }
				if err := st.Save(t.Context(), term, updates)[0].Err; (err != nil) != (test.fault != standin.None) {
					t.Fatalf("the first save: %v", err)
				}
				store.Fault = nil
				if test.fault == standin.None {
					return
				}
				test.between(&calls)
				second := st.Save(t.Context(), term, updates)[0]
				if !errors.Is(second.Err, test.want) {
					t.Fatalf("the second save: %v, want %v", second.Err, test.want)
				}
				if errors.Is(second.Err, jobstore.ErrStaleRevision) {
					updates[0].Revision = second.Revision
					if err := st.Save(t.Context(), term, updates)[0].Err; err != nil {
						t.Errorf("the save with the revision returned: %v", err)
					}
				}
			})
		})
	}
}

// mustSave saves all updates as the first planner, before which there is no key "seat".
func mustSave(t *testing.T, st *jobstore.Store, updates []scheduling.ProgressUpdate) {
	t.Helper()
	for i, result := range st.Save(t.Context(), keyvalue.Condition{Key: "seat"}, updates) {
		if result.Err != nil || result.Revision == 0 {
			t.Fatalf("job %s: revision %d, %v", updates[i].Job, result.Revision, result.Err)
		}
	}
}

// TestSaveRefused saves records of which some cannot be stored. The others are, as
// their jobs would come to a stop otherwise.
func TestSaveRefused(t *testing.T) {
	placed := []workflow.WorkerIncarnation{{Worker: workflow.WorkerID(strings.Repeat("w", 900))}}
	large := workflow.Progress{Status: workflow.Running, Groups: map[workflow.GroupID]workflow.Group{{}: {Attempt: 1, Placed: placed}}}
	tests := []struct {
		name string
		// knownBytes is the limit that the settings name; the store's is 500.
		knownBytes int
	}{
		{"over the limit", 500},
		{"refused by the store", 1 << 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := standin.New()
			backend.ValueBytes = 500
			calls := backend.Calls()
			st := record.NewJobStore(&calls, func() int { return test.knownBytes })
			updates := []scheduling.ProgressUpdate{{Job: "A", Progress: progress}, {Job: "B", Progress: large}, {Job: "C", Progress: progress}}
			for i, result := range st.Save(t.Context(), keyvalue.Condition{Key: "seat"}, updates) {
				if refused := updates[i].Job == "B"; refused != keyvalue.IsRefused(result.Err) || refused == (result.Err == nil) {
					t.Errorf("job %s: %v", updates[i].Job, result.Err)
				}
			}
			if all, err := st.Load(t.Context()); err != nil || len(all) != 2 {
				t.Errorf("%d loaded, %v", len(all), err)
			}
		})
	}
}

// TestSaveLargeCheckpoints saves a record that is too large with its checkpoints. The
// attempts must be stored without them, or the tasks would come to a stop.
func TestSaveLargeCheckpoints(t *testing.T) {
	backend := standin.New()
	backend.ValueBytes = 500
	calls := backend.Calls()
	st := record.NewJobStore(&calls, func() int { return backend.ValueBytes })
	large := workflow.Progress{Routing: progress.Routing, Groups: map[workflow.GroupID]workflow.Group{{}: {Attempt: 4, Checkpoint: strings.Repeat("c", 900)}}}
	result := st.Save(t.Context(), keyvalue.Condition{Key: "seat"}, []scheduling.ProgressUpdate{{Job: "A", Progress: large}})[0]
	if result.Err != nil || !result.CheckpointsLeftOut {
		t.Fatalf("saved: %+v", result)
	}
	all, err := st.Load(t.Context())
	if g := all["A"].Progress.Groups[workflow.GroupID{}]; err != nil || g.Attempt != 4 || g.Checkpoint != "" || all["A"].Progress.Routing != progress.Routing {
		t.Errorf("loaded %+v, %v, routing %+v", g, err, all["A"].Progress.Routing)
	}
}

// TestLoad reads back progress whose save took several changes.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		calls := store.Calls()
		st := record.NewJobStore(&calls, valueBytes)
		var updates []scheduling.ProgressUpdate
		for i := range 40 {
			updates = append(updates, scheduling.ProgressUpdate{Job: workflow.ID(rune('A' + i)), Progress: progress})
		}
		mustSave(t, st, updates)
		all, err := st.Load(t.Context())
		if err != nil || len(all) != len(updates) {
			t.Fatalf("%d loaded, %v", len(all), err)
		}
		if routing := all["A"].Progress.Routing; routing != progress.Routing {
			t.Errorf("routing %+v, want %+v", routing, progress.Routing)
		}
		got := all["A"].Progress.Groups[workflow.GroupID{Step: 1, Index: 2}]
		if got.Attempt != 3 || got.Failures != 1 || got.FailedAttempt != 2 || got.Checkpoint != "c" || got.Placed[0].Incarnation != 9 {
			t.Errorf("loaded %+v", got)
		}
	})
}

// TestLoadUnreadable has another writer's entry among the progress of the jobs. The
// others are loaded.
func TestLoadUnreadable(t *testing.T) {
	tests := []struct{ name, value string }{
		{"empty", ""},
		{"no record", "\xff\x00"},
		{"deeply nested", strings.Repeat("\x81", 1<<16)},
		{"text", `{"state":"running"}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := standin.New()
			calls := store.Calls()
			st := record.NewJobStore(&calls, valueBytes)
			mustSave(t, st, []scheduling.ProgressUpdate{{Job: "A", Progress: progress}, {Job: "B", Progress: progress}})
			items, _, err := calls.List(t.Context(), "")
			if err != nil || len(items) != 2 {
				t.Fatalf("%d items, %v", len(items), err)
			}
			if _, err := calls.Commit(t.Context(), keyvalue.Change{Puts: []keyvalue.Put{{Key: items[1].Key, Value: []byte(test.value)}}}); err != nil {
				t.Fatal(err)
			}
			all, err := st.Load(t.Context())
			if err != nil || all["A"].Err != nil || all["A"].Progress.Status != workflow.Running {
				t.Errorf("loaded %+v, %v", all["A"], err)
			}
			if all["B"].Err == nil {
				t.Errorf("loaded %+v", all["B"])
			}
		})
	}
}

// TestReadWithoutAnswer checks that an unanswered read is not reported as one that
// may have had an effect.
func TestReadWithoutAnswer(t *testing.T) {
	tests := []struct {
		name string
		read func(ctx context.Context, st *jobstore.Store) error
	}{
		{"status", func(ctx context.Context, st *jobstore.Store) error {
			_, _, err := st.Status(ctx, "A")
			return err
		}},
		{"numbers of waiting jobs", func(ctx context.Context, st *jobstore.Store) error {
			_, err := st.Pending(ctx)
			return err
		}},
		{"cancellation before it is written", func(ctx context.Context, st *jobstore.Store) error {
			_, err := st.Cancel(ctx, "A")
			return err
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				store.Fault = func(string) standin.Fault { return standin.Unanswered }
				calls := store.Calls()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				if err := test.read(ctx, record.NewJobStore(&calls, valueBytes)); err == nil || state.IsAmbiguous(err) {
					t.Errorf("error %v, ambiguous %v", err, state.IsAmbiguous(err))
				}
			})
		})
	}
}

// TestPendingEndsWithTerm checks that numbers of waiting jobs that no planner keeps
// up to date are not given any more.
func TestPendingEndsWithTerm(t *testing.T) {
	store := standin.New()
	calls := store.Calls()
	st := record.NewJobStore(&calls, valueBytes)
	lease, err := calls.Grant(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	pendingRecord := st.NewPendingRecord(keyvalue.Condition{Key: "seat"})
	if err := pendingRecord.Update(t.Context(), lease, backlog.Figures{Pending: map[string]int{"q": 3}}); err != nil {
		t.Fatal(err)
	}
	if pending, err := st.Pending(t.Context()); err != nil || pending.Pending["q"] != 3 {
		t.Errorf("pending %v, %v", pending, err)
	}
	if err := calls.Revoke(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	if pending, err := st.Pending(t.Context()); state.ReasonOf(err, "") != state.NoPlanner {
		t.Errorf("pending %v, %v, want %s", pending, err, state.NoPlanner)
	}
}

// TestDelete checks that the planner deletes all keys of the jobs, and that a
// planner of another term deletes none.
func TestDelete(t *testing.T) {
	tests := []struct {
		name string
		term keyvalue.Revision
		want int
	}{
		{"current planner", 0, 12},
		{"planner of another term", 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := standin.New()
			calls := store.Calls()
			st := record.NewJobStore(&calls, valueBytes)
			var jobs []scheduling.StoredJob
			for i := range 12 {
				job := scheduling.StoredJob{ID: workflow.ID(rune('A' + i))}
				if _, err := st.Accept(t.Context(), &workflow.Job{ID: job.ID, Steps: []workflow.Step{{Tasks: 1}}}); err != nil {
					t.Fatal(err)
				}
				var updates []scheduling.ProgressUpdate
				for number := range 5 * i {
					job.Records = append(job.Records, number)
					updates = append(updates, scheduling.ProgressUpdate{Job: job.ID, Record: number, Progress: progress})
				}
				mustSave(t, st, updates)
				jobs = append(jobs, job)
			}
			deleted, err := st.Delete(t.Context(), keyvalue.Condition{Key: "seat", Revision: test.term}, jobs)
			if len(deleted) != test.want || (err != nil) != (test.want == 0) {
				t.Fatalf("%d deleted, %v", len(deleted), err)
			}
			for _, job := range jobs {
				if _, known, err := st.Status(t.Context(), job.ID); err != nil || known == (test.want > 0) {
					t.Errorf("job %s: known %v, %v", job.ID, known, err)
				}
			}
			if items, _, err := calls.List(t.Context(), ""); err != nil || (len(items) == 0) != (test.want > 0) {
				t.Errorf("%d keys are left, %v", len(items), err)
			}
		})
	}
}

// TestFollowIntake checks that jobs and cancellations are reported even when the
// store drops its history.
func TestFollowIntake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		calls := store.Calls()
		st := record.NewJobStore(&calls, valueBytes)
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		reported := make(map[workflow.ID]bool)
		var fenced []workflow.ID
		var following sync.WaitGroup
		following.Go(func() {
			st.FollowIntake(ctx, jobstore.IntakeHandler{
				Loaded: func(map[workflow.ID]jobstore.StoredProgress) {},
				Accepted: func(job *workflow.Job) {
					mu.Lock()
					defer mu.Unlock()
					reported[job.ID] = false
				},
				Cancelled: func(id workflow.ID) {
					mu.Lock()
					defer mu.Unlock()
					reported[id] = true
				},
				Fenced: func(id workflow.ID, _ keyvalue.Revision) {
					mu.Lock()
					defer mu.Unlock()
					fenced = append(fenced, id)
				},
				Listed: func() {},
				Failed: func(error) {},
			})
		})
		for _, id := range []workflow.ID{"a", "b", "c"} {
			if _, err := st.Accept(ctx, &workflow.Job{ID: id, Steps: []workflow.Step{{Tasks: 1}}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
			store.Compact()
		}
		if known, err := st.Cancel(ctx, "b"); !known || err != nil {
			t.Fatalf("cancel: known %v, %v", known, err)
		}
		if known, err := st.Cancel(ctx, "z"); known || err != nil {
			t.Fatalf("cancel of no job: known %v, %v", known, err)
		}
		if _, err := st.Accept(ctx, &workflow.Job{ID: "z", Steps: []workflow.Step{{Tasks: 1}}}); err == nil {
			t.Fatal("a job was accepted after its cancellation")
		}
		if stored, err := st.Refuse(ctx, "y"); stored || err != nil {
			t.Fatalf("refuse: stored %v, %v", stored, err)
		}
		time.Sleep(5 * time.Second)
		stop()
		following.Wait()
		slices.Sort(fenced)
		if !slices.Equal(slices.Compact(fenced), []workflow.ID{"b", "y", "z"}) {
			t.Errorf("cancellations and refusals of %v were reported", fenced)
		}
		if len(reported) != 4 || !reported["b"] || !reported["z"] || reported["a"] || reported["c"] {
			t.Errorf("reported %v", reported)
		}
	})
}

// TestAcceptLimits submits jobs that may be too large for the store. One that could
// never be stored, or started, must be refused at once.
func TestAcceptLimits(t *testing.T) {
	tests := []struct {
		name    string
		job     workflow.Job
		refused bool
	}{
		{"small", workflow.Job{Steps: []workflow.Step{{Tasks: 1}}}, false},
		{"many tasks", workflow.Job{Steps: []workflow.Step{{Tasks: workflow.MaxTasks}}}, false},
		{"a gang", workflow.Job{Steps: []workflow.Step{{Tasks: 100, Gang: true}}}, false},
		{"a gang too large", workflow.Job{Steps: []workflow.Step{{Tasks: 1}, {Tasks: 200, Gang: true}}}, true},
		{"too many steps", workflow.Job{Steps: slices.Repeat([]workflow.Step{{Tasks: 1, Label: "a"}}, 2000)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := standin.New()
			backend.ValueBytes = 8 << 10
			calls := backend.Calls()
			st := record.NewJobStore(&calls, func() int { return backend.ValueBytes })
			test.job.ID = "a"
			_, err := st.Accept(t.Context(), &test.job)
			if refused := state.ReasonOf(err, "") == state.BodyTooLarge && !state.IsAmbiguous(err); refused != test.refused || !refused && err != nil {
				t.Errorf("refused %v: %v", refused, err)
			}
			if _, known, err := st.Status(t.Context(), "a"); err != nil || known == test.refused {
				t.Errorf("known %v, %v", known, err)
			}
		})
	}
}
