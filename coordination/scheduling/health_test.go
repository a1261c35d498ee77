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
			g.placedAt, g.step.Estimate = began.Add(-time.Second), 11*time.Second
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

// TestStallTimeout has a task make progress at a rate until it stands still. It guards against
// tasks of hours that are stopped for good because a percent of their work takes long, and
// against stalls that are found late.
func TestStallTimeout(t *testing.T) {
	const never = 1000 * time.Hour
	tests := []struct {
		name              string
		declared, runTime time.Duration
		// first is the percentage at the start, higher after a checkpoint was restored.
		first int
		// slowFrom is when the task turns three times as slow, standsFrom when it stands still.
		slowFrom, standsFrom time.Duration
		stalls               int
		// watched is how long the task is watched; foundWithin bounds the time from standsFrom
		// to the stop, 0 means that it is not stopped.
		watched, foundWithin time.Duration
	}{
		{"1 s", time.Second, time.Second, 0, never, never, 0, time.Second, 0},
		{"4 min", 4 * time.Minute, 4 * time.Minute, 0, never, never, 0, 4 * time.Minute, 0},
		{"10 min", 10 * time.Minute, 10 * time.Minute, 0, never, never, 0, 10 * time.Minute, 0},
		{"6 h", 6 * time.Hour, 6 * time.Hour, 0, never, never, 0, time.Hour, 0},
		{"3 days", 72 * time.Hour, 72 * time.Hour, 0, never, never, 0, 2 * time.Hour, 0},
		{"10 min, declared as 1 min", time.Minute, 10 * time.Minute, 0, never, never, 0, 10 * time.Minute, 0},
		{"10 min, declared as 100 min", 100 * time.Minute, 10 * time.Minute, 0, never, never, 0, 10 * time.Minute, 0},
		{"6 h, declared as 36 min", 36 * time.Minute, 6 * time.Hour, 0, never, never, 0, time.Hour, 0},
		{"3 days, declared as 7.2 h, on a slow worker", 432 * time.Minute, 144 * time.Hour, 0, never, never, 0, 3 * time.Hour, 0},
		{"10 min, turns slow", 10 * time.Minute, 10 * time.Minute, 0, 2 * time.Minute, never, 0, 20 * time.Minute, 0},
		{"6 h, turns slow", 6 * time.Hour, 6 * time.Hour, 0, 30 * time.Minute, never, 0, 2 * time.Hour, 0},
		{"6 h, from a checkpoint", 6 * time.Hour, 6 * time.Hour, 50, never, never, 0, time.Hour, 0},
		{"11 s, stands still", 11 * time.Second, 11 * time.Second, 0, never, 5 * time.Second, 0, time.Minute, 3 * time.Second},
		{"11 s, never begins", 11 * time.Second, 11 * time.Second, 0, never, 0, 0, time.Minute, 3 * time.Second},
		{"10 min, stands still", 10 * time.Minute, 10 * time.Minute, 0, never, 5 * time.Minute, 0, 10 * time.Minute, 30 * time.Second},
		{"10 min, never begins", 10 * time.Minute, 10 * time.Minute, 0, never, 0, 0, 10 * time.Minute, 135 * time.Second},
		{"6 h, stands still", 6 * time.Hour, 6 * time.Hour, 0, never, time.Hour, 0, 2 * time.Hour, 16 * time.Minute},
		{"10 h, declared as 10 s", 10 * time.Second, 10 * time.Hour, 0, never, never, 0, time.Hour, 4 * time.Second},
		{"10 h, declared as 10 s, after eight stalls", 10 * time.Second, 10 * time.Hour, 0, never, never, 8, 2 * time.Hour, 0},
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
			g.placedAt, g.stalls, g.step.Estimate = began, test.stalls, test.declared
			m, w := g.members[0], g.members[0].worker
			m.percent, m.percentChangedAt, m.confirmedAt = 0, began, began
			w.reportedAt, w.leaseExpiry = began, began.Add(never)
			done, number := float64(test.first)/100, 0
			for ; now < test.watched && done < 1; now += 500 * time.Millisecond {
				number++
				p.applyReport(w, workflow.Report{
					Clock: now, Running: []workflow.RunningTask{{Task: m.task, Attempt: m.attempt, Percent: int(100 * done)}},
				}, renewal{number: number, sentAt: p.scheduler.Now()})
				p.stopStalled(p.scheduler.Now())
				if g.phase != placed {
					break
				}
				step := 0.5 / test.runTime.Seconds()
				switch {
				case now >= test.standsFrom:
					step = 0
				case now >= test.slowFrom:
					step /= 3
				}
				done += step
			}
			stopped := g.phase == stopping
			if stopped != (test.foundWithin > 0) {
				t.Fatalf("stopped %v after %v at %d percent", stopped, now, m.percent)
			}
			if late := now - test.standsFrom - test.foundWithin; stopped && test.standsFrom < never && late > 0 {
				t.Errorf("found %v too late", late)
			}
		})
	}
}
