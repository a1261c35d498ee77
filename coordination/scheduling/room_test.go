package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"comfreystream/coordination/interference"
	"comfreystream/state/workflow"
)

// TestRoom checks that workers are ordered by a slowdown only if a quarter of the
// deployment stays idle after all waiting groups were placed.
func TestRoom(t *testing.T) {
	t.Parallel()
	victim, bully := interference.Kind{Image: "victim"}, interference.Kind{Image: "bully"}
	tests := []struct {
		name          string
		free, waiting int
		kind          interference.Kind
		extra         bool
	}{
		{"room", 24, 2, victim, true},
		{"room, the kind that hurts", 24, 2, bully, true},
		{"another kind", 24, 2, interference.Kind{Image: "other"}, false},
		{"too many groups wait", 24, 14, victim, false},
		{"few workers are free", 10, 0, victim, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Scheduler{Now: time.Now, WallClock: time.Now, Count: func(string) {}, Log: zerolog.Nop()}
			s.Open()
			defer func() { _ = s.Close() }()
			p := s.pool("a")
			p.mu.Lock()
			defer p.mu.Unlock()
			row := interference.PairEstimate{
				Pair: interference.Pair{Kind: victim, Beside: bully}, Estimate: interference.Estimate{Slowdown: 2, Deviation: 0.05},
			}
			for number := range 16 {
				_ = p.models[p.service].interference.Restore(s.Now(), interference.Record{Number: number, Rows: []interference.PairEstimate{row}}) // one takes it
			}
			p.models[p.service].interference.Refresh(s.Now())
			j := &job{Job: &workflow.Job{Queue: "q"}, routing: workflow.Routing{Service: p.service}}
			for _, kind := range []interference.Kind{victim, bully} {
				g := &group{kind: kind, job: j, step: &workflow.Step{}}
				p.assign(g, workflow.Task{Job: workflow.ID(kind.Image)}, p.ensureWorker("w0"), 1)
			}
			p.ensureWorker("w1")
			for i := range test.waiting {
				g := &group{job: j, step: &workflow.Step{Accelerators: 1}, id: workflow.GroupID{Index: i}}
				p.work.addUnstarted(g)
			}
			r := round{service: p.service, free: test.free, all: 48}
			r.room = p.hasRoom(&r)
			p.round = r
			p.separate(&group{kind: test.kind, job: j, step: &workflow.Step{}})
			if got := fmt.Sprint(p.workers["w0"].extraTiers > 0, p.workers["w1"].extraTiers); got != fmt.Sprint(test.extra, 0) {
				t.Errorf("a worker with the pair and an empty one have extra tiers: %s", got)
			}
		})
	}
}
