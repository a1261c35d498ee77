package scheduling

import (
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state/workflow"
)

// TestEarlierLeaseExpiry has a worker report to a new planner. It guards against leases of an
// earlier planner that are taken to run out too soon, or later than they can.
func TestEarlierLeaseExpiry(t *testing.T) {
	const overlap = 2 * time.Second
	type reportAt struct {
		at          time.Duration
		incarnation workflow.Incarnation
	}
	tests := []struct {
		name    string
		reports []reportAt
		// since is from when on the longest lease of an earlier planner counts, from the
		// begin of the term.
		since time.Duration
	}{
		{"no report", nil, overlap},
		{"at once", []reportAt{{100 * time.Millisecond, 1}}, 100 * time.Millisecond},
		{"again", []reportAt{{100 * time.Millisecond, 1}, {time.Second, 1}}, 100 * time.Millisecond},
		{"after the overlap", []reportAt{{5 * time.Second, 1}}, overlap},
		{"restarted within the overlap", []reportAt{{100 * time.Millisecond, 1}, {1500 * time.Millisecond, 2}}, 1500 * time.Millisecond},
		{"restarted after the overlap", []reportAt{{100 * time.Millisecond, 1}, {5 * time.Second, 2}}, overlap},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := fullPool(0, 0)
				began := time.Now()
				p.scheduler.termBegan = began
				p.scheduler.Bounds.LeaseLimit, p.scheduler.Bounds.Overlap = 10*time.Second, overlap
				w := p.ensureWorker("i-0")
				for i, r := range test.reports {
					time.Sleep(time.Until(began.Add(r.at)))
					p.applyReport(w, workflow.Report{Incarnation: r.incarnation}, renewal{number: i + 1, sentAt: time.Now()})
				}
				if want := latestLeaseExpiry(began.Add(test.since), 10*time.Second); !w.leaseExpiry.Equal(want) {
					t.Errorf("run out after %v, want %v", w.leaseExpiry.Sub(began), want.Sub(began))
				}
			})
		})
	}
}
