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
			}, workflow.Progress{}, 0)
			p.planRound()
			if placed := p.jobs["a"].groups[workflow.GroupID{}].phase == saving; placed != test.placed {
				t.Errorf("placed %v, want %v", placed, test.placed)
			}
		})
	}
}
