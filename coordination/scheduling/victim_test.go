package scheduling

import (
	"testing"

	"comfreystream/state/workflow"
)

// TestVictimReleased ends the members of a stopped gang one after the other. It guards
// against a guaranteed job that waits for a member on a worker which it does not use
// and which may have gone.
func TestVictimReleased(t *testing.T) {
	tests := []struct {
		name string
		// ended are the workers on which the gang's members have ended.
		ended []int
		// again is set if the gang has begun another attempt.
		again    bool
		released bool
	}{
		{"none", nil, false, false},
		{"elsewhere", []int{1, 2}, false, false},
		{"on the same worker", []int{0}, false, true},
		{"all", []int{0, 1, 2}, false, true},
		{"the gang runs again", nil, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := fullPool(3, 0)
			for _, w := range p.ordered {
				w.info.Capacity.Accelerators = 8
			}
			begin := func(id workflow.ID, tasks int, hosts []*worker) *group {
				p.addJob(&workflow.Job{ID: id, Queue: "q", MaxAttempts: 2, Steps: []workflow.Step{{Tasks: tasks, Accelerators: 8, Gang: true}}}, workflow.Progress{}, nil)
				g := p.jobs[id].groups[workflow.GroupID{}]
				p.beginAttempt(g, &placement{workers: hosts})
				return g
			}
			stopped := begin("a", 3, p.ordered)
			for _, m := range stopped.members {
				m.phase = running
			}
			v := victim{stopped, stopped.attempt}
			g := begin("b", 1, p.ordered[:1])
			for _, m := range stopped.members {
				for _, i := range test.ended {
					if m.worker == p.ordered[i] {
						p.endMember(m, workflow.Stopped, "")
					}
				}
			}
			if test.again {
				stopped.attempt++
			}
			if released := v.hasReleased(g); released != test.released {
				t.Errorf("released: %v, want %v", released, test.released)
			}
		})
	}
}
