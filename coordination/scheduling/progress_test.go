package scheduling

import (
	"testing"
	"time"

	"comfreystream/state/workflow"
)

// TestEndTimes checks when an attempt can end and will probably end. It guards against
// stopping a task of which the percentages show that it ends soon.
func TestEndTimes(t *testing.T) {
	type report struct {
		at      time.Duration
		percent int
	}
	const declared = 10 * time.Second
	tests := []struct {
		name string
		// startedAt is when the worker answered the start; negative if another planner did.
		startedAt     time.Duration
		reports       []report
		least, likely time.Duration
	}{
		{"nothing reported", 0, nil, 5 * time.Second, 10 * time.Second},
		{"no percentages", 0, []report{{time.Second, 0}, {2 * time.Second, 0}}, 5 * time.Second, 10 * time.Second},
		{"half of a short one", 0, []report{{time.Second, 50}}, time.Second + 49*time.Second/51, time.Second + 49500*time.Second/50500},
		{"started by another planner", -1, []report{{time.Second, 50}}, 3450 * time.Millisecond, 5950 * time.Millisecond},
		{"two that hardly differ", -1, []report{{0, 50}, {time.Second, 52}}, time.Second + 2350*time.Millisecond, time.Second + 4750*time.Millisecond},
		{"a steady rate", -1, []report{{0, 10}, {time.Second, 20}}, time.Second + 79*time.Second/11, time.Second + 7950*time.Millisecond},
		{"begun again from the start", -1, []report{{0, 60}, {time.Second, 10}, {2 * time.Second, 20}}, 2*time.Second + 79*time.Second/11, 2*time.Second + 7950*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			began := time.Now()
			var r progress
			if test.startedAt >= 0 {
				r.startedAt = began.Add(test.startedAt)
			}
			for _, report := range test.reports {
				r.observe(report.percent, began.Add(report.at))
			}
			least, likely := r.endTimes(began, declared)
			if a, b := least.Sub(began), likely.Sub(began); (a-test.least).Abs() > time.Millisecond || (b-test.likely).Abs() > time.Millisecond {
				t.Errorf("ends after at least %v, probably %v; want %v, %v", a, b, test.least, test.likely)
			}
		})
	}
}

// TestNotice checks what a sequence of registry entries says about a worker's leaving,
// and whether its attempt of 10 s is stopped. It guards against an attempt that is
// stopped on a worker that stays, and against a lease that outlasts the stay.
func TestNotice(t *testing.T) {
	type entry struct {
		at        time.Duration
		beat      int64
		remaining time.Duration
	}
	const heartbeat, limit = 1500 * time.Millisecond, 10 * time.Second
	tests := []struct {
		name string
		// ranFor is how long the attempt has run before the first entry.
		ranFor         time.Duration
		checkpointable bool
		entries        []entry
		// planAt is when the round is planned.
		planAt, staysUntil, leavesBy, lease time.Duration
		stopped                             bool
	}{
		{"seen at once", 0, false, []entry{{0, 1, 0}, {500 * time.Millisecond, 2, 2 * time.Second}}, 500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 2 * time.Second, true},
		{"listed for the first time", 0, false, []entry{{0, 1, 2 * time.Second}}, 0, 500 * time.Millisecond, 2 * time.Second, 2 * time.Second, true},
		{"listed again", 0, false, []entry{{0, 1, 0}, {500 * time.Millisecond, 2, 2 * time.Second}, {time.Second, 2, 2 * time.Second}}, time.Second, 2 * time.Second, 2500 * time.Millisecond, 1500 * time.Millisecond, true},
		{"it stays longer than it said", 0, false, []entry{{0, 1, 0}, {500 * time.Millisecond, 2, 2 * time.Second}}, 3 * time.Second, 2 * time.Second, 2500 * time.Millisecond, 1500 * time.Millisecond, false},
		{"it says that it stays longer", 0, false, []entry{{0, 1, 0}, {500 * time.Millisecond, 2, 2 * time.Second}, {time.Second, 3, 20 * time.Second}}, time.Second, 20500 * time.Millisecond, 21 * time.Second, 5 * time.Second, false},
		{"it stays after all", 0, false, []entry{{0, 1, 0}, {500 * time.Millisecond, 2, 2 * time.Second}, {time.Second, 3, 0}}, time.Second, 0, 0, limit, false},
		{"it may finish", 6 * time.Second, false, []entry{{0, 1, 0}, {500 * time.Millisecond, 2, 2 * time.Second}}, 500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 2 * time.Second, false},
		{"it may finish, but has a checkpoint", 6 * time.Second, true, []entry{{0, 1, 0}, {500 * time.Millisecond, 2, 2 * time.Second}}, 500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 2 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := fullPool(1, 1)
			p.scheduler.Bounds.Heartbeat, p.scheduler.Bounds.LeaseLimit = heartbeat, limit
			began, now := time.Now(), time.Duration(0)
			p.scheduler.Now = func() time.Time { return began.Add(now) }
			w := p.ordered[0]
			w.renewing, w.reportedAt, w.leaseExpiry = true, began, began.Add(time.Hour)
			var g *group
			for _, m := range w.members {
				g = m.group
			}
			g.step = &workflow.Step{Tasks: 1, Accelerators: 1, Estimate: 10 * time.Second, Checkpointable: test.checkpointable}
			g.placedAt = began.Add(-test.ranFor)
			for _, e := range test.entries {
				now = e.at
				info := w.info.Worker
				info.Draining, info.Remaining, info.Beat = e.remaining > 0, e.remaining, e.beat
				p.setWorkers([]workflow.Worker{info}, p.scheduler.Now())
			}
			now = test.planAt
			p.planRound()
			if stopped := g.phase == stopping; stopped != test.stopped {
				t.Errorf("stopped: %v, want %v", stopped, test.stopped)
			}
			if lease := p.leaseOf(w); lease != test.lease {
				t.Errorf("lease of %v, want %v", lease, test.lease)
			}
			since := func(at time.Time) time.Duration {
				if at.IsZero() {
					return 0
				}
				return at.Sub(began)
			}
			if a, b := since(w.notice.staysUntil), since(w.notice.leavesBy); a != test.staysUntil || b != test.leavesBy {
				t.Errorf("stays until %v and leaves by %v, want %v, %v", a, b, test.staysUntil, test.leavesBy)
			}
		})
	}
}
