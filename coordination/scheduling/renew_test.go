package scheduling

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"comfreystream/state"
	"comfreystream/state/workflow"
)

// TestLeaseExpiry renews a lease that has 6 s left, and checks from when on its
// worker's tasks count as ended.
func TestLeaseExpiry(t *testing.T) {
	const left = 6 * time.Second
	full := time.Duration(10*float64(time.Second)*(1+maxClockDrift)) + renewalTransitLimit
	tests := []struct {
		name     string
		draining bool
		// longRunning is set if a long-running task is at work there.
		longRunning bool
		err         error
		want        time.Duration
	}{
		{"answered", false, false, nil, full},
		{"no answer", false, false, state.NewAmbiguousStepError("renew", netip.AddrPort{}, state.ConnectionLost, nil), full},
		{"not sent", false, false, state.NewStepError("renew", netip.AddrPort{}, state.ConnectionLost, nil), left},
		{"the worker is about to leave", true, false, nil, left},
		{"a task is to run again 9 s after its worker is lost", false, true, nil, 8410 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := fullPool(1, 1)
				p.ordered[0].members[attemptKey{task: workflow.Task{Job: "r0"}}].group.step.LongRunning = test.longRunning
				p.scheduler.Bounds.LeaseLimit = 10 * time.Second
				p.scheduler.Authorised = func() bool { return true }
				p.scheduler.ctx = t.Context()
				p.scheduler.Workers.Renew = func(context.Context, workflow.Worker, RenewOrder) (workflow.Report, error) {
					return workflow.Report{Clock: time.Second}, test.err
				}
				w, now := p.ordered[0], time.Now()
				w.reportedAt, w.leaseExpiry, w.info.Draining = now, now.Add(left), test.draining
				if err := p.renew(w, true); (err != nil) != (test.err != nil) {
					t.Fatal(err)
				}
				if got := w.leaseExpiry.Sub(now); got != test.want {
					t.Errorf("the lease has run out after %v, want %v", got, test.want)
				}
			})
		})
	}
}
