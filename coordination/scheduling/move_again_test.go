package scheduling_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"comfreystream/standin/runner"
	"comfreystream/state/workflow"
)

// wholeWorker is a guaranteed job that needs one certain worker whole.
type wholeWorker struct {
	// after is the time from the end of the job before to its submission.
	after   time.Duration
	worker  int
	runTime time.Duration
}

// TestMovedAgain guards against guaranteed work that stays where it is for good once it was
// moved, and so keeps the guaranteed jobs of another organisation from their worker.
func TestMovedAgain(t *testing.T) {
	t.Parallel()
	const second = time.Second
	tests := []struct {
		name           string
		workers, small int
		jobs           []wholeWorker
	}{
		{"the worker that it was moved to", 2, 1, []wholeWorker{{0, 0, second}, {0, 1, second}}},
		{"there and back", 2, 2, []wholeWorker{{0, 0, second}, {0, 1, second}, {0, 0, second}, {0, 1, second}}},
		{"some time later", 3, 3, []wholeWorker{{0, 0, second}, {4 * second, 1, second}, {4 * second, 2, second}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, problem := range runWholeWorkers(test.workers, test.small, test.jobs) {
					t.Error(problem)
				}
			})
		})
	}
	t.Run("drawn", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			workers := rapid.IntRange(2, 4).Draw(rt, "workers")
			small := rapid.IntRange(1, 4).Draw(rt, "small")
			jobs := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) wholeWorker {
				return wholeWorker{
					after:   time.Duration(rapid.IntRange(0, 3000).Draw(rt, "after")) * time.Millisecond,
					worker:  rapid.IntRange(0, workers-1).Draw(rt, "worker"),
					runTime: time.Duration(rapid.IntRange(300, 3000).Draw(rt, "runTime")) * time.Millisecond,
				}
			}), 2, 4).Draw(rt, "jobs")
			var problems []string
			synctest.Test(t, func(*testing.T) { problems = runWholeWorkers(workers, small, jobs) })
			for _, problem := range problems {
				rt.Error(problem)
			}
		})
	})
}

// runWholeWorkers fills workers with small guaranteed tasks of one organisation and work
// without a guarantee, and submits the jobs of another one, each after the end of the one
// before. It returns what breaks a guarantee.
func runWholeWorkers(workers, small int, jobs []wholeWorker) (problems []string) {
	// restartLimit covers two stops, a save and the calls, and a round of the search.
	const reclaimLimit, restartLimit = 3400 * time.Millisecond, 3400 * time.Millisecond
	h := newHarness(0)
	h.guaranteed = 8
	for i := range workers {
		w := worker(i, 1)
		w.Labels = append([]string{fmt.Sprintf("only-%d", i)}, w.Labels...)
		h.fleet.Add(w)
	}
	h.fleet.RunTime = func(task workflow.Task, _ int, _ workflow.WorkerID) time.Duration { return h.step(task).Estimate }
	s := h.startPlanner()
	submit := func(organisation string, priority int, step workflow.Step) *workflow.Job {
		j := job(len(h.jobs)+1, step)
		j.Organisation, j.Priority, j.Stretch, j.StartAllowance = organisation, priority, 1, 0
		h.addJob(j)
		s.Load(j, workflow.Progress{}, nil)
		return j
	}
	for i := range workers {
		submit("andina", 1, workflow.Step{Tasks: 1, Accelerators: 7, Label: fmt.Sprintf("only-%d", i), Estimate: 200 * time.Second})
	}
	time.Sleep(time.Second)
	for range small {
		submit("brazos", 0, workflow.Step{Tasks: 1, Accelerators: 1, Estimate: 200 * time.Second})
	}
	time.Sleep(2 * time.Second)
	for _, o := range jobs {
		time.Sleep(o.after)
		j := submit("condor", 0, workflow.Step{Tasks: 1, Accelerators: 8, Label: fmt.Sprintf("only-%d", o.worker), Estimate: o.runTime})
		for until := time.Now().Add(15 * time.Second); h.store.status(j.ID) != workflow.Completed && time.Now().Before(until); {
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(restartLimit)
	_ = s.Close()
	runs := h.fleet.Runs()
	for _, j := range h.jobs {
		if own := runsOfJob(runs, j); j.Organisation == "condor" && (len(own) == 0 || own[0].Started.Sub(j.Accepted) > reclaimLimit) {
			problems = append(problems, fmt.Sprintf("job %s, accepted at %v, runs %v", j.ID, j.Accepted, own))
		}
	}
	for i, r := range runs {
		j := h.job(r.Task.Job)
		if j.Organisation != "brazos" || r.Outcome != workflow.Stopped {
			continue
		}
		if again := nextRun(runs, i); again.IsZero() || again.Sub(r.Ended) > restartLimit {
			problems = append(problems, fmt.Sprintf("%s was stopped at %v and started again at %v", r.Task, r.Ended, again))
		}
	}
	return append(problems, runner.Violations(runs, 2)...)
}
