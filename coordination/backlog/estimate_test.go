package backlog_test

import (
	"testing"
	"time"

	"comfreystream/coordination/backlog"
)

// TestEstimate has a service of 16 accelerators and jobs of 8 with an objective of 4 s. It
// guards against waits that are longer than the work which must go first takes, as jobs
// would be refused that could have started.
func TestEstimate(t *testing.T) {
	group := func(count int, change func(g *backlog.Group)) (list []backlog.Group) {
		g := backlog.Group{Priority: 1, Member: 8, Total: 8, RunTime: 2 * time.Second, Objective: 4 * time.Second, Deadline: 3 * time.Second}
		if change != nil {
			change(&g)
		}
		for range count {
			list = append(list, g)
		}
		return list
	}
	full := []backlog.Run{{Priority: 1, Accelerators: 16, Left: time.Second}}
	late := func(g *backlog.Group) { g.Late, g.Deadline = true, -time.Second }
	tests := []struct {
		name    string
		free    map[int]int
		waiting []backlog.Group
		running []backlog.Run
		// want is the wait of the class of the jobs; 0 means that none is published.
		inTime, late time.Duration
	}{
		{"nothing waits", nil, nil, full, 0, 0},
		// One runs beside the new job: 13 take 13 s after the first second.
		{"14 jobs ahead", nil, group(14, nil), full, 14 * time.Second, 14 * time.Second},
		{"12 jobs ahead start soon enough", nil, group(12, nil), full, 0, 0},
		{"late jobs count for late ones", nil, append(group(7, nil), group(8, late)...), full, 7 * time.Second, 15 * time.Second},
		{"late jobs alone go after the new one", nil, group(15, late), full, 0, 0},
		{"room for one is free", map[int]int{8: 1}, group(40, nil), full, 0, 0},
		// 14 accelerators for 5 s, then 16, for 39 jobs of 16 accelerator-seconds each.
		{"room is free in parts", map[int]int{7: 2}, group(40, nil), []backlog.Run{{Priority: 1, Accelerators: 2, Left: 5 * time.Second}}, 39625 * time.Millisecond, 39625 * time.Millisecond},
		{"larger groups can be overtaken", nil, append(group(2, nil), group(40, func(g *backlog.Group) { g.Total = 16 })...), full, 0, 0},
		{"less urgent groups go after", nil, append(group(2, nil), group(40, func(g *backlog.Group) { g.Priority = 2 })...), full, 0, 0},
		{"later deadlines go after", nil, append(group(2, nil), group(40, func(g *backlog.Group) { g.Deadline = time.Minute })...), full, 0, 0},
		{"urgent groups go first, late or not", nil, append(group(2, nil), group(12, func(g *backlog.Group) { g.Priority, g.Late = 0, true })...), full, 14 * time.Second, 14 * time.Second},
		{"what runs lasts long", nil, group(1, nil), []backlog.Run{{Priority: 1, Accelerators: 16, Left: time.Minute}}, time.Minute, time.Minute},
		{"what runs may never end", nil, group(1, nil), []backlog.Run{{Priority: 1, Accelerators: 16, Lasting: true}}, 0, 0},
		{"urgent jobs preempt others", nil, group(6, func(g *backlog.Group) { g.Priority = 0 }), []backlog.Run{{Priority: 1, Accelerators: 16, Left: time.Minute}}, 0, 0},
		{"urgent jobs do not preempt urgent ones", nil, group(1, func(g *backlog.Group) { g.Priority = 0 }), []backlog.Run{{Accelerators: 16, Left: time.Minute}}, time.Minute, time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			waits := backlog.Estimate(&backlog.Service{Name: "render", Accelerators: 16, Free: test.free, Waiting: test.waiting, Running: test.running})
			var got backlog.Wait
			for _, w := range waits {
				if w.Member == 8 && w.Total == 8 && w.Priority <= 1 {
					got = w
				}
			}
			if got.InTime != test.inTime || got.Late != test.late {
				t.Errorf("waits %v in time and %v late, want %v and %v", got.InTime, got.Late, test.inTime, test.late)
			}
		})
	}
}
