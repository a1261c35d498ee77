package scheduling

import (
	"testing"
	"time"

	"comfreystream/state/workflow"
)

// TestUnknownAttempt has a worker report an attempt that the planner has given up,
// of a gang of two that waits for its next attempt.
func TestUnknownAttempt(t *testing.T) {
	first, second := workflow.Task{Job: "a"}, workflow.Task{Job: "a", Index: 1}
	ended := func(outcome workflow.Outcome) []workflow.EndedTask {
		return []workflow.EndedTask{
			{Number: 1, Task: first, Attempt: 1, Outcome: outcome}, {Number: 2, Task: second, Attempt: 1, Outcome: outcome},
		}
	}
	tests := []struct {
		name    string
		running []workflow.RunningTask
		ended   []workflow.EndedTask
		// maxAttempts is the job's; failures are counted after the report.
		maxAttempts, failures int
		status                workflow.Status
		// placed says whether the next round begins an attempt.
		placed bool
	}{
		{"it runs", []workflow.RunningTask{{Task: second, Attempt: 1}}, nil, 2, 0, workflow.Queued, false},
		{"nothing runs", nil, nil, 2, 0, workflow.Queued, true},
		{"another job's task runs", []workflow.RunningTask{{Task: workflow.Task{Job: "b"}, Attempt: 1}}, nil, 2, 0, workflow.Queued, true},
		{"it is done", nil, ended(workflow.Done), 2, 0, workflow.Completed, false},
		{"it failed", nil, ended(workflow.Faulted), 2, 1, workflow.Queued, true},
		{"its failure is the last allowed", nil, ended(workflow.Faulted), 1, 1, workflow.Failed, false},
		{"a step that the job does not have", nil, []workflow.EndedTask{{Number: 1, Task: workflow.Task{Job: "a", Step: 9}, Attempt: 1, Outcome: workflow.Done}}, 2, 0, workflow.Queued, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := fullPool(2, 0)
			for _, w := range p.ordered {
				w.info.Capacity.Accelerators = 8
			}
			p.addJob(&workflow.Job{
				ID: "a", Queue: "q", Priority: 1, MaxAttempts: test.maxAttempts, Stretch: 1, Accepted: time.Now(),
				Steps: []workflow.Step{{Tasks: 2, Accelerators: 4, Gang: true}},
			}, workflow.Routing{Service: p.service}, workflow.Progress{Groups: map[workflow.GroupID]workflow.Group{{}: {Attempt: 1}}}, nil)
			p.applyReport(p.ordered[0], workflow.Report{Clock: time.Second, Running: test.running, Ended: test.ended}, renewal{number: 1, sentAt: time.Now()})
			p.planRound()
			j := p.jobs["a"]
			g := j.groups[workflow.GroupID{}]
			if g.failures != test.failures {
				t.Errorf("%d failures, want %d", g.failures, test.failures)
			}
			if placed := g.phase == saving; placed != test.placed {
				t.Errorf("the next attempt is placed: %v, want %v", placed, test.placed)
			}
			if !test.placed && j.status != test.status {
				t.Errorf("status %q, want %q", j.status, test.status)
			}
		})
	}
}

// TestEndsLeftOut has reports leave out the end of a task that is done, as a worker
// lists a limited number of ends at a time. The task must not be started again.
func TestEndsLeftOut(t *testing.T) {
	task := workflow.Task{Job: "a"}
	other := workflow.EndedTask{Number: 1, Task: workflow.Task{Job: "b"}, Attempt: 1, Outcome: workflow.Done}
	done := workflow.EndedTask{Number: 2, Task: task, Attempt: 1, Outcome: workflow.Done}
	failed := workflow.EndedTask{Number: 2, Task: task, Attempt: 1, Outcome: workflow.Faulted}
	leftOut := workflow.Report{Incarnation: 1, Clock: time.Second, Ended: []workflow.EndedTask{other}, MoreEnds: true}
	listed := workflow.Report{Incarnation: 1, Clock: time.Second, Ended: []workflow.EndedTask{other, done}}
	listedFailure := workflow.Report{Incarnation: 1, Clock: time.Second, Ended: []workflow.EndedTask{other, failed}}
	running := workflow.Report{Incarnation: 1, Clock: time.Second, Running: []workflow.RunningTask{{Task: task, Attempt: 1}}}
	tests := []struct {
		name string
		// placed are the workers of the stored attempt.
		placed  []workflow.WorkerIncarnation
		reports []workflow.Report
		want    workflow.Status
	}{
		{"placed by an earlier planner", []workflow.WorkerIncarnation{{Worker: "i-0", Incarnation: 1}}, []workflow.Report{leftOut, listed}, workflow.Completed},
		{"placed on the worker before it restarted", []workflow.WorkerIncarnation{{Worker: "i-0"}}, []workflow.Report{leftOut, listed}, workflow.Completed},
		{"reported as running", []workflow.WorkerIncarnation{{Worker: "i-0", Incarnation: 1}}, []workflow.Report{running, leftOut, leftOut, listed}, workflow.Completed},
		{"unknown to the planner", nil, []workflow.Report{running, leftOut, leftOut, listed}, workflow.Completed},
		{"failed as often as allowed", []workflow.WorkerIncarnation{{Worker: "i-0", Incarnation: 1}}, []workflow.Report{leftOut, listedFailure}, workflow.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := fullPool(2, 0)
			for _, w := range p.ordered {
				w.info.Capacity.Accelerators = 8
			}
			p.addJob(&workflow.Job{
				ID: "a", Queue: "q", Priority: 1, MaxAttempts: 1, Stretch: 1, Accepted: time.Now(),
				Steps: []workflow.Step{{Tasks: 1, Accelerators: 4}},
			}, workflow.Routing{Service: p.service}, workflow.Progress{Groups: map[workflow.GroupID]workflow.Group{{}: {Attempt: 1, Placed: test.placed}}}, nil)
			j := p.jobs["a"]
			for i, report := range test.reports {
				p.applyReport(p.ordered[0], report, renewal{number: i + 1, sentAt: time.Now()})
				p.planRound()
				if attempt := j.groups[workflow.GroupID{}].attempt; attempt != 1 {
					t.Fatalf("attempt %d was begun after report %d", attempt, i+1)
				}
			}
			if j.status != test.want {
				t.Errorf("status %q after the end was listed, want %q", j.status, test.want)
			}
		})
	}
}
