package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state/workflow"
)

// TestGuaranteeOnUnhealthyWorker guards against a worker's pause after failures of other
// jobs that keeps a guaranteed job, which only this worker can run, from its guarantee.
func TestGuaranteeOnUnhealthyWorker(t *testing.T) {
	const reclaimLimit = 3400 * time.Millisecond
	ordinary := workflow.Step{Tasks: 1, Accelerators: 7, Estimate: 100 * time.Second}
	lasting := workflow.Step{Tasks: 1, Accelerators: 7, LongRunning: true}
	failing := workflow.Step{Tasks: 1, Accelerators: 1, Label: "rack-1", Estimate: 300 * time.Millisecond}
	// Two workers; on the second one, w3 in rack-1, two jobs fail once each.
	tests := []struct {
		name string
		// busy is what runs on each worker.
		busy         workflow.Step
		busyPriority int
		// label is that of the job, worker where it begins.
		label  string
		worker workflow.WorkerID
	}{
		{"only there, beside ordinary work", ordinary, 1, "rack-1", "w3"},
		{"only there, beside work that lasts", lasting, 2, "rack-1", "w3"},
		{"a healthy worker as well", ordinary, 1, "", "w0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(0)
				h.guaranteed = 8
				h.fleet.Add(worker(0, 1))
				h.fleet.Add(worker(3, 1))
				h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration {
					if step := h.step(task); !step.LongRunning {
						return step.Estimate
					}
					return time.Hour
				}
				h.fleet.Outcome = func(task workflow.Task, attempt int, _ workflow.WorkerID) workflow.Outcome {
					if h.step(task).Estimate == failing.Estimate && attempt == 1 {
						return workflow.Faulted
					}
					return workflow.Done
				}
				s := h.startPlanner()
				submit := func(id, priority int, step workflow.Step) {
					j := job(id, step)
					j.Organisation, j.Priority, j.Stretch, j.StartAllowance = "brazos", priority, 1, 0
					h.addJob(j)
					s.Load(j, workflow.Progress{}, nil)
					time.Sleep(600 * time.Millisecond)
				}
				submit(2, test.busyPriority, labelled(test.busy, "rack-0"))
				submit(3, test.busyPriority, labelled(test.busy, "rack-1"))
				submit(4, 1, failing)
				submit(5, 1, failing)
				last := job(1, workflow.Step{Tasks: 1, Accelerators: 8, Label: test.label})
				last.Priority, last.Stretch = 0, 30
				h.addJob(last)
				s.Load(last, workflow.Progress{}, nil)
				time.Sleep(15 * time.Second)
				_ = s.Close()
				if quarantined := h.counted("workerQuarantined"); quarantined != 1 {
					t.Fatalf("%d pauses of a worker", quarantined)
				}
				runs := runsOfJob(h.fleet.Runs(), last)
				if len(runs) == 0 {
					t.Fatal("not started")
				}
				if delay := runs[0].Started.Sub(last.Accepted); delay > reclaimLimit || runs[0].Worker != test.worker {
					t.Errorf("started on %s after %v, want on %s after at most %v", runs[0].Worker, delay, test.worker, reclaimLimit)
				}
			})
		})
	}
}

// labelled returns the step with the label that its workers need.
func labelled(step workflow.Step, label string) workflow.Step {
	step.Label = label
	return step
}
