package scheduling

import (
	"testing"
	"time"

	"comfreystream/state/workflow"
)

// TestStartBacklog checks which jobs are placed while starts without an answer pile up.
func TestStartBacklog(t *testing.T) {
	tests := []struct {
		name       string
		pending    int
		priority   int
		guaranteed int
		placed     bool
	}{
		{"few starts are pending", startBacklog - 1, 1, 0, true},
		{"as many as can be started in time", startBacklog, 1, 0, false},
		{"an urgent job without a guarantee", startBacklog, 0, 0, false},
		{"an urgent job within its guarantee", startBacklog, 0, 4, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := fullPool(1, 0)
			p.ordered[0].info.Capacity.Accelerators = 8
			p.scheduler.Guarantee = func(string) int { return test.guaranteed }
			p.startsPending = test.pending
			p.addJob(&workflow.Job{
				ID: "a", Queue: "q", Priority: test.priority, MaxAttempts: 1, Stretch: 1, Accepted: time.Now(),
				Steps: []workflow.Step{{Tasks: 1, Accelerators: 4, Gang: true}},
			}, workflow.Routing{Service: p.service}, workflow.Progress{}, nil)
			p.planRound()
			if placed := p.jobs["a"].groups[workflow.GroupID{}].phase == saving; placed != test.placed {
				t.Errorf("placed %v, want %v", placed, test.placed)
			}
		})
	}
}

// TestRackFits asks in one round whether groups of the same shape would fit on an
// empty rack of one worker; a spread limit of one must not decide for the others.
func TestRackFits(t *testing.T) {
	tests := []struct {
		name   string
		limits []int
		want   []bool
	}{
		{"the limited group asks first", []int{1, 0}, []bool{false, true}},
		{"the limited group asks last", []int{0, 1}, []bool{true, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := fullPool(1, 0)
			p.ordered[0].info.Capacity.Accelerators = 8
			p.round = p.newRound(p.service, time.Now())
			for i, limit := range test.limits {
				j := &job{Job: &workflow.Job{ID: "a"}}
				g := &group{job: j, step: &workflow.Step{Tasks: 2, Accelerators: 4, Gang: true, SameRack: true, SpreadLimit: limit}}
				if fits := p.someRackFits(g, wholeCapacity); fits != test.want[i] {
					t.Errorf("spread limit %d: fits %v, want %v", limit, fits, test.want[i])
				}
			}
		})
	}
}
