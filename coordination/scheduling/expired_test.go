package scheduling

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state/workflow"
)

// TestExpiredJobsStepBack has two jobs wait for the same worker. It guards against jobs that
// count for nothing any more taking the room of those that still do, and against keeping
// them from room that nobody else wants.
func TestExpiredJobsStepBack(t *testing.T) {
	const objective = 4 * time.Second // of a second of work, three times, and a second's allowance
	type waiting struct {
		age        time.Duration
		priority   int
		guaranteed bool
		lasting    bool
	}
	tests := []struct {
		name  string
		first waiting
		// other is the second job; nil is none.
		other  *waiting
		placed string
	}{
		{"both can count", waiting{age: 2 * objective}, &waiting{age: objective}, "a"},
		{"the older counts for nothing", waiting{age: 3*objective + 1}, &waiting{age: 2 * objective}, "b"},
		{"just before", waiting{age: 3 * objective}, &waiting{age: 2 * objective}, "a"},
		{"an urgent one behind a late one of low priority", waiting{age: 4 * objective}, &waiting{age: 2 * objective, priority: 2}, "b"},
		{"within a guarantee", waiting{age: 4 * objective, guaranteed: true}, &waiting{age: 2 * objective, priority: 2}, "a"},
		{"tasks that run until cancelled", waiting{age: 4 * objective, priority: 1, lasting: true}, &waiting{age: 2 * objective, priority: 2}, "a"},
		{"two that count for nothing", waiting{age: 5 * objective, priority: 1}, &waiting{age: 4 * objective, priority: 2}, "a"},
		{"alone", waiting{age: 9 * objective}, nil, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := fullPool(1, 0)
				p.ordered[0].info.Capacity.Accelerators = 8
				p.scheduler.Guarantee = func(organisation string) int { return len(organisation) }
				add := func(id workflow.ID, w waiting) {
					organisation := ""
					if w.guaranteed {
						organisation = "12345678"
					}
					p.addJob(&workflow.Job{
						ID: id, Organisation: organisation, Priority: w.priority, MaxAttempts: 1,
						Stretch: 3, StartAllowance: time.Second, Accepted: time.Now().Add(-w.age),
						Steps: []workflow.Step{{Tasks: 1, Accelerators: 8, Estimate: time.Second, LongRunning: w.lasting}},
					}, workflow.Routing{Service: p.service}, workflow.Progress{}, nil)
				}
				add("a", test.first)
				if test.other != nil {
					add("b", *test.other)
				}
				p.planRound()
				for _, id := range []workflow.ID{"a", "b"} {
					j := p.jobs[id]
					if placed := j != nil && j.groups[workflow.GroupID{}].phase == saving; placed != (string(id) == test.placed) {
						t.Errorf("job %s: placed %v, want job %s placed", id, placed, test.placed)
					}
				}
			})
		})
	}
}
