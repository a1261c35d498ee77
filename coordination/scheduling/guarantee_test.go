package scheduling

import (
	"fmt"
	"testing"
	"time"

	"comfreystream/state/workflow"
)

// TestGuaranteeDuringEvacuation has six urgent jobs of 4 accelerators, of two organisations,
// and four workers of 8 in two zones. It guards against guarantees that count capacity in
// an evacuated zone, and against taking them from jobs that run there.
func TestGuaranteeDuringEvacuation(t *testing.T) {
	tests := []struct {
		name       string
		evacuated  map[string]bool
		guaranteed int
		// runInZone is how many of the jobs run in zone a.
		runInZone int
		// want is the number of jobs within a guarantee, short that of organisations whose
		// guarantee is logged as short.
		want, short int
	}{
		{"no evacuation", nil, 16, 0, 6, 0},
		{"another zone", map[string]bool{"c": true}, 16, 0, 6, 0},
		{"what is left suffices", map[string]bool{"a": true}, 8, 0, 4, 0},
		{"what is left does not suffice", map[string]bool{"a": true}, 16, 0, 4, 2},
		{"jobs still run in the zone", map[string]bool{"a": true}, 16, 2, 6, 2},
		{"all zones", map[string]bool{"a": true, "b": true}, 16, 2, 2, 2},
		{"no guarantee", map[string]bool{"a": true, "b": true}, 0, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := fullPool(4, 8)
			short := 0
			p.scheduler.Guarantee = func(string) int { return test.guaranteed }
			p.scheduler.Count = func(event string) {
				if event == guaranteeShort {
					short++
				}
			}
			for i, w := range p.ordered {
				w.info.AvailabilityZone = []string{"a", "b"}[i/2]
				clear(w.members)
			}
			for i := range 6 {
				id := workflow.ID(fmt.Sprintf("u%d", i))
				p.addJob(&workflow.Job{
					ID: id, Organisation: []string{"andina", "brazos"}[i%2], MaxAttempts: 1, Accepted: time.Now().Add(time.Duration(i-9) * time.Second),
					Steps: []workflow.Step{{Tasks: 1, Accelerators: 4}},
				}, workflow.Routing{Service: p.service}, workflow.Progress{}, nil)
				if i < test.runInZone {
					g := p.jobs[id].groups[workflow.GroupID{}]
					p.assign(g, workflow.Task{Job: id}, p.ordered[0], 1)
				}
			}
			p.scheduler.SetEvacuated(test.evacuated, 2)
			for range 2 {
				if got := len(p.guaranteedJobs(time.Now())); got != test.want {
					t.Errorf("%d jobs within a guarantee, want %d", got, test.want)
				}
			}
			if short != test.short {
				t.Errorf("%d guarantees logged as short, want %d", short, test.short)
			}
		})
	}
}
