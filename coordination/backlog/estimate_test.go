package backlog_test

import (
	"testing"
	"time"

	"comfreystream/coordination/backlog"
)

// TestEstimate has a service of 16 accelerators and asks for the wait of a job of priority 2
// with 8 of them and an objective of 4 s. It guards against waits that are longer than the
// work which must go first takes, as jobs would be refused that could have started.
func TestEstimate(t *testing.T) {
	group := func(count int, change func(g *backlog.Group)) (list []backlog.Group) {
		g := backlog.Group{Priority: 1, Member: 8, Total: 8, RunTime: 2 * time.Second, Objective: 20 * time.Second, Deadline: 18 * time.Second}
		if change != nil {
			change(&g)
		}
		for range count {
			list = append(list, g)
		}
		return list
	}
	asked := group(1, func(g *backlog.Group) {
		g.Priority, g.RunTime, g.Objective, g.Deadline = 2, 0, 4*time.Second, 3*time.Second
	})
	full := []backlog.Run{{Priority: 1, Accelerators: 16, Left: time.Second}}
	late := func(g *backlog.Group) { g.Late, g.Deadline = true, -time.Second }
	own := func(g *backlog.Group) { g.Priority, g.Objective, g.Deadline = 2, 4*time.Second, 3*time.Second }
	tests := []struct {
		name    string
		free    map[int]int
		waiting []backlog.Group
		running []backlog.Run
		// inTime and late are the waits; 0 means that none is published.
		inTime, late time.Duration
	}{
		{"nothing waits", nil, nil, full, 0, 0},
		// One runs beside the new job: 13 take 13 s after the first second.
		{"14 jobs ahead", nil, group(14, nil), full, 14 * time.Second, 14 * time.Second},
		{"12 jobs ahead start soon enough", nil, group(12, nil), full, 0, 0},
		{"late jobs count for late ones", nil, append(group(7, nil), group(8, late)...), full, 7 * time.Second, 15 * time.Second},
		{"late jobs alone go after the new one", nil, group(15, late), full, 0, 0},
		{"those of its own priority count for late ones", nil, append(group(7, nil), group(8, own)...), full, 7 * time.Second, 15 * time.Second},
		{"those of its own priority alone are late before it", nil, group(40, own), full, 0, 0},
		{"later deadlines of its own priority go after", nil, append(group(7, nil), group(40, func(g *backlog.Group) { g.Priority, g.Objective, g.Deadline = 2, 4*time.Second, time.Minute })...), full, 0, 0},
		// At 5 s those ahead are late.
		{"groups that are late before it", nil, group(40, func(g *backlog.Group) { g.Deadline, g.Estimate = 5*time.Second, 2*time.Second }), full, 0, 0},
		{"room for one is free", map[int]int{8: 1}, group(40, nil), full, 0, 0},
		// 14 accelerators for 5 s, then 16, for 39 jobs of 16 accelerator-seconds each.
		{"room is free in parts", map[int]int{7: 2}, group(40, func(g *backlog.Group) { g.Deadline = time.Minute }), []backlog.Run{{Priority: 1, Accelerators: 2, Left: 5 * time.Second}}, 39625 * time.Millisecond, 39625 * time.Millisecond},
		{"larger groups can be overtaken", nil, group(40, func(g *backlog.Group) { g.Total = 16 }), full, 0, 0},
		{"less urgent groups go after", nil, group(40, func(g *backlog.Group) { g.Priority = 3 }), full, 0, 0},
		{"urgent groups go first, late or not", nil, group(14, func(g *backlog.Group) { g.Priority, g.Late = 0, true }), full, 14 * time.Second, 14 * time.Second},
		{"what runs lasts long", nil, nil, []backlog.Run{{Priority: 1, Accelerators: 16, Left: time.Minute}}, time.Minute, time.Minute},
		{"what runs may never end", nil, nil, []backlog.Run{{Priority: 1, Accelerators: 16, Lasting: true}}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			waits := backlog.Estimate(&backlog.Service{Name: "render", Accelerators: 16, Free: test.free, Waiting: append(test.waiting, asked...), Running: test.running})
			var got backlog.Wait
			for _, w := range waits {
				if w.Priority == 2 && w.Total == 8 {
					got = w
				}
			}
			if got.InTime != test.inTime || got.Late != test.late {
				t.Errorf("waits %v in time and %v late, want %v and %v", got.InTime, got.Late, test.inTime, test.late)
			}
		})
	}
}

// TestSustained guards against refusals for a burst that is soon over.
func TestSustained(t *testing.T) {
	wait := backlog.Wait{Service: "render", Priority: 1, Member: 8, Total: 8, Objective: 4 * time.Second}
	tests := []struct {
		name string
		// seen holds the seconds in which the wait is estimated.
		seen string
		want bool
	}{
		{"for its objective", "11111", true},
		{"for a shorter time", "01111", false},
		{"with a gap", "1111101", false},
		{"again for its objective", "101111111", true},
		{"it has ended", "1111110", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s backlog.Sustained
			var lasting []backlog.Wait
			for i, seen := range test.seen {
				var waits []backlog.Wait
				if seen == '1' {
					waits = append(waits, wait)
				}
				lasting = s.Filter(time.Unix(int64(i), 0), waits)
			}
			if got := len(lasting) > 0; got != test.want {
				t.Errorf("published %v, want %v", got, test.want)
			}
		})
	}
}
