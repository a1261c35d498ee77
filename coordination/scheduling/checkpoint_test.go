package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state/workflow"
)

// TestStopStoresCheckpoint stops a job for a guaranteed one and ends the planner before the
// job is placed again. It guards against a checkpoint that is lost with the planner although
// the end that brought it was acknowledged.
func TestStopStoresCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		h.guaranteed, h.fleet.Checkpoint = 8, "c"
		h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration { return h.step(task).Estimate }
		s := h.startPlanner()
		stopped := job(1, workflow.Step{Tasks: 1, Accelerators: 8, Checkpointable: true, Estimate: 20 * time.Second})
		stopped.Stretch = 1 // it leaves no room for urgent jobs
		h.addJob(stopped)
		s.Load(stopped, workflow.Progress{}, nil)
		time.Sleep(time.Second)
		urgent := job(2, workflow.Step{Tasks: 1, Accelerators: 8, Estimate: 20 * time.Second})
		urgent.Priority = 0
		h.addJob(urgent)
		s.Load(urgent, workflow.Progress{}, nil)
		time.Sleep(5 * time.Second)
		_ = s.Close()
		if runs := h.fleet.Runs(); len(runs) != 2 || runs[0].Outcome != workflow.Stopped || runs[0].Acknowledged.IsZero() {
			t.Fatalf("runs: %+v", runs)
		}
		h.store.mu.Lock()
		defer h.store.mu.Unlock()
		stored := h.store.records[recordKey{stopped.ID, 0}].Progress.Groups[workflow.GroupID{}]
		if stored.Checkpoint != "c" {
			t.Errorf("stored checkpoint %q, want c: %+v", stored.Checkpoint, stored)
		}
	})
}
