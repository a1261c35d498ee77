package dispatch

import (
	"time"

	"comfreystream/coordination/planning"
	"comfreystream/state"
)

// planLoop runs a planning round after each change, and when the last round asked for one.
func (d *Dispatcher) planLoop() {
	if !d.waitForRacks() {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		next := d.planOnce()
		timer.Stop()
		if !next.IsZero() {
			timer.Reset(max(next.Sub(d.Now()), 0))
		}
	}
}

// waitForRacks waits until every expected worker has been reported or the window ends.
func (d *Dispatcher) waitForRacks() bool {
	timer := time.NewTimer(recoveryWindow)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-d.recovered:
	case <-timer.C:
		d.markRecovered()
	}
	return true
}

func (d *Dispatcher) markRecovered() {
	d.recovery.Do(func() { close(d.recovered) })
}

func (d *Dispatcher) planOnce() (next time.Time) {
	round := d.Planner.Plan()
	for _, refusal := range round.Refusals {
		if r, found := d.records.Get(refusal.Job); found {
			d.finish(r, r.refusal(refusal.Reason))
		}
	}
	for _, reclaim := range round.Reclaims {
		if r, found := d.records.Get(reclaim.Job); found {
			d.spawn(func() { d.reclaim(r, reclaim) })
		}
	}
	for _, start := range round.Starts {
		d.begin(start)
	}
	return round.Next
}

func (d *Dispatcher) begin(start planning.Start) {
	r, found := d.records.Get(start.Job.ID)
	if !found {
		d.free(start.Job.ID, start.Attempt)
		return
	}
	if err := r.begin(start, d.Now()); err != nil {
		d.free(start.Job.ID, start.Attempt)
		d.finish(r, r.refusal(state.ReasonOf(err, state.Cancelled)))
		return
	}
	d.spawn(func() { d.start(r, start) })
}
