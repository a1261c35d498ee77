package scheduling

import (
	"math"
	"testing"
	"time"

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
				p.addJob(&workflow.Job{ID: id, Queue: "q", MaxAttempts: 2, Steps: []workflow.Step{{Tasks: tasks, Accelerators: 8, Gang: true}}}, workflow.Routing{Service: p.service}, workflow.Progress{}, nil)
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

// TestNoReclaimWhereLeaving has a guaranteed job take room while the worker with the
// cheapest attempt is about to leave. It guards against a stop that makes room there.
func TestNoReclaimWhereLeaving(t *testing.T) {
	for leaving, name := range []string{"the first leaves", "the second leaves"} {
		t.Run(name, func(t *testing.T) {
			p := fullPool(2, 1)
			now := p.scheduler.Now()
			for _, m := range p.ordered[leaving].members {
				m.group.step.Checkpointable = true // it loses nothing
			}
			entries := []workflow.Worker{p.ordered[0].info.Worker, p.ordered[1].info.Worker}
			entries[leaving].Draining, entries[leaving].Remaining = true, time.Hour
			for _, w := range p.ordered {
				w.renewing = true
			}
			p.setWorkers(entries, now)
			p.addJob(&workflow.Job{ID: "a", Queue: "q", MaxAttempts: 2, Steps: []workflow.Step{{Tasks: 1, Accelerators: 1}}}, workflow.Routing{Service: p.service}, workflow.Progress{}, nil)
			j := p.jobs["a"]
			p.round = p.newRound(p.service, now)
			choice := p.reclaim(j.groups[workflow.GroupID{}], now, map[*job]bool{j: true}, math.Inf(1))
			if choice == nil || choice.workers[0] != p.ordered[1-leaving] || len(choice.victims) != 1 {
				t.Errorf("room is made by %+v, want on %s", choice, p.ordered[1-leaving].id)
			}
		})
	}
}
