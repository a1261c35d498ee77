package scheduling

import (
	"testing"
	"time"

	"comfreystream/state/workflow"
)

// TestStall reports the progress of a task at intervals and checks whether it is
// taken for stalled at the last report.
func TestStall(t *testing.T) {
	type reportAt struct {
		at      time.Duration
		percent int
	}
	tests := []struct {
		name    string
		reports []reportAt
		stalled bool
	}{
		{"slow progress", []reportAt{{0, 10}, {2 * time.Second, 11}, {4 * time.Second, 12}, {6 * time.Second, 13}}, false},
		{"none", []reportAt{{0, 10}, {time.Second, 10}, {2 * time.Second, 10}, {3 * time.Second, 10}}, true},
		{"none, and the worker was silent", []reportAt{{0, 10}, {time.Second, 10}, {5 * time.Second, 10}, {6 * time.Second, 11}}, false},
		{"none before and after a silence", []reportAt{{0, 10}, {4 * time.Second, 10}, {5 * time.Second, 10}, {6 * time.Second, 10}, {7 * time.Second, 10}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := fullPool(1, 1)
			began, now := time.Now(), time.Duration(0)
			p.scheduler.Now = func() time.Time { return began.Add(now) }
			var g *group
			for started := range p.work.started {
				g = started
			}
			g.placedAt = began.Add(-time.Second)
			m, w := g.members[0], g.members[0].worker
			m.percent, m.percentChangedAt, m.confirmedAt = 0, began, began
			w.reportedAt, w.leaseExpiry = began, began.Add(time.Hour)
			stalled := false
			for i, r := range test.reports {
				now = r.at
				p.applyReport(w, workflow.Report{
					Clock:   r.at,
					Running: []workflow.RunningTask{{Task: m.task, Attempt: m.attempt, Percent: r.percent}},
				}, renewal{number: i + 1, sentAt: p.scheduler.Now()})
				p.stopStalled(p.scheduler.Now())
				stalled = stalled || g.phase == stopping
			}
			if stalled != test.stalled {
				t.Errorf("stalled: %v, want %v", stalled, test.stalled)
			}
		})
	}
}

// TestAvoidedLongest checks that a short pause does not end a longer one.
func TestAvoidedLongest(t *testing.T) {
	tests := []struct {
		name   string
		result StartResult
		want   time.Duration
	}{
		{"refused for lack of room", RefusedRoom, unhealthyPause},
		{"refused as unhealthy", RefusedUnhealthy, time.Second + unhealthyPause},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := fullPool(1, 0)
			w, now := p.ordered[0], time.Now()
			w.avoidFor(now, unhealthyPause)
			w.recordRefusal(test.result, now.Add(time.Second))
			if got := w.avoidUntil.Sub(now); got != test.want {
				t.Errorf("avoided for %v, want %v", got, test.want)
			}
		})
	}
}
