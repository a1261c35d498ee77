package dispatch

import (
	"time"

	"comfreystream/coordination/planning"
	"comfreystream/state"
)

// planLoop runs a planning round on request and at the time that the last round
// asked for.
func (d *Dispatcher) planLoop() {
	if !d.waitForReports() {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.planRequested:
		case <-timer.C:
		}
		next := d.planRound()
		timer.Stop()
		if !next.IsZero() {
			timer.Reset(max(next.Sub(d.Now()), 0))
		}
	}
}

// waitForReports waits until every expected worker has been reported or
// recoveryTimeout has passed; it returns false if the dispatcher closes.
func (d *Dispatcher) waitForReports() bool {
	timer := time.NewTimer(recoveryTimeout)
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
	d.recoveredOnce.Do(func() { close(d.recovered) })
}

func (d *Dispatcher) planRound() (next time.Time) {
	round := d.Planner.Plan()
	for _, refusal := range round.Refusals {
		if r, found := d.records.Get(refusal.Job); found {
			d.finishJob(r, r.refusal(refusal.Reason))
		}
	}
	for _, reclaim := range round.Reclaims {
		if r, found := d.records.Get(reclaim.Job); found {
			d.spawn(func() { d.reclaim(r, reclaim) })
		}
	}
	for _, start := range round.Starts {
		d.beginStart(start)
	}
	return round.Next
}

func (d *Dispatcher) beginStart(start planning.Start) {
	r, found := d.records.Get(start.Job.ID)
	if !found {
		d.freeCapacity(start.Job.ID, start.Attempt)
		return
	}
	if err := r.beginAttempt(start, d.Now()); err != nil {
		d.freeCapacity(start.Job.ID, start.Attempt)
		d.finishJob(r, r.refusal(state.ReasonOf(err, state.Cancelled)))
		return
	}
	d.spawn(func() { d.startGang(r, start) })
}
