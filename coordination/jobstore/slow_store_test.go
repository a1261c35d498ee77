package jobstore_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/scheduling"
	"comfreystream/protocol/record"
	standin "comfreystream/standin/keyvalue"
	"comfreystream/state/workflow"
)

// TestFollowIntakeSlowStore has a new planner read 2,000 jobs and their progress while each
// page of 500 takes 390 ms. It guards against one listing that waits for the other, and
// against a job that is reported, and started again, before its progress is known. A listing
// page by page takes longer than it may.
func TestFollowIntakeSlowStore(t *testing.T) {
	const jobs, pageSize, answer = 2000, 500, 390 * time.Millisecond
	const want = 40*time.Millisecond + answer // of one page, after it is known that the store is slow
	synctest.Test(t, func(t *testing.T) {
		calls := standin.New().Calls()
		st := record.NewJobStore(&calls, valueBytes)
		var updates []scheduling.ProgressUpdate
		for i := range jobs {
			id := workflow.ID(fmt.Sprintf("%x%015x", i%16, i))
			if _, err := st.Accept(t.Context(), &workflow.Job{ID: id, Steps: []workflow.Step{{Tasks: 1}}}); err != nil {
				t.Fatal(err)
			}
			updates = append(updates, scheduling.ProgressUpdate{Job: id, Progress: progress})
		}
		mustSave(t, st, updates)
		list := calls.List
		calls.List = func(ctx context.Context, prefix string) ([]keyvalue.Item, keyvalue.Revision, error) {
			items, asOf, err := list(ctx, prefix)
			select {
			case <-time.After(time.Duration((len(items)+pageSize-1)/pageSize) * answer):
				return items, asOf, err
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		}
		st.IDStarts = strings.Split("0123456789abcdef", "")
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		began, loaded, accepted := time.Now(), 0, 0
		st.FollowIntake(ctx, jobstore.IntakeHandler{
			Loaded: func(progress map[workflow.ID]jobstore.StoredProgress) { loaded = len(progress) },
			Accepted: func(*workflow.Job) {
				if accepted++; loaded != jobs {
					t.Fatalf("a job was reported with the progress of %d", loaded)
				}
			},
			Cancelled: func(workflow.ID) {}, Fenced: func(workflow.ID, keyvalue.Revision) {},
			Listed: stop,
			Failed: func(err error) { t.Error(err) },
		})
		if took := time.Since(began); accepted != jobs || took > want {
			t.Errorf("%d jobs were reported after %v, want %d after %v", accepted, took, jobs, want)
		}
	})
}
