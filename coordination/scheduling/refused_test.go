package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// TestRefusedRecord has the store refuse the record of one job, which is to run on all
// workers. The other jobs must go on as if it were not there.
func TestRefusedRecord(t *testing.T) {
	gang := workflow.Step{Tasks: 3, Accelerators: 8, Gang: true}
	single := workflow.Step{Tasks: 4, Accelerators: 2}
	tests := []struct {
		name string
		step workflow.Step
		// recordBytes is that of the job; 1 stores each group in a record of its own.
		recordBytes int
		// refusedAt is from when on the record is refused, for 12 s.
		refusedAt time.Duration
	}{
		{"a gang, from its first attempt on", gang, 0, 0},
		{"a gang that runs", gang, 0, 500 * time.Millisecond},
		{"single tasks, from their first attempt on", single, 0, 0},
		{"single tasks that run", single, 0, 500 * time.Millisecond},
		{"occurrences of single tasks with a record each", single, 1, 0},
		{"occurrences of single tasks with a record each, of which some run", single, 1, 500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(3)
				first := job(1, test.step)
				if first.RecordBytes = test.recordBytes; test.recordBytes > 0 {
					first.Occurrences, first.FirstStart, first.Interval = 3, time.Now(), time.Second
				}
				first.Priority = 0 // it is placed before the others
				h.addJob(first)
				for i := range 6 {
					h.addJob(job(i+2, workflow.Step{Tasks: 1, Accelerators: 8}))
				}
				refuse := func(refused bool) func() {
					return func() {
						h.store.mu.Lock()
						defer h.store.mu.Unlock()
						h.store.refused = map[workflow.ID]bool{h.jobs[0].ID: refused}
					}
				}
				time.AfterFunc(test.refusedAt, refuse(true))
				time.AfterFunc(test.refusedAt+12*time.Second, refuse(false))
				time.Sleep(time.Millisecond)
				s := h.startPlanner()
				time.Sleep(10 * time.Second)
				for _, j := range h.jobs[1:] {
					if status := h.store.status(j.ID); status != workflow.Completed {
						t.Errorf("job %s has status %q", j.ID, status)
					}
				}
				time.Sleep(10 * time.Second)
				_ = s.Close()
				if status := h.store.status(h.jobs[0].ID); status != workflow.Completed {
					t.Errorf("the job has status %q after its record was accepted", status)
				}
				if h.store.early > 0 {
					t.Errorf("%d records were saved before the status of their job", h.store.early)
				}
				for _, v := range runner.Violations(h.fleet.Runs(), h.jobs[0].MaxAttempts) {
					t.Error(v)
				}
			})
		})
	}
}
