package dispatch

import (
	"time"

	"comfreystream/state"
)

// sweepLoop drops incomplete gangs and expired records at intervals.
func (d *Dispatcher) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.stopIncompleteGangs()
			d.dropExpiredRecords()
			d.checkRecovered()
			d.requestPlanForProbes()
		}
	}
}

// requestPlanForProbes requests a planning round while workers are quarantined,
// since no event signals that a probe is due.
func (d *Dispatcher) requestPlanForProbes() {
	if len(d.Quarantine.List()) > 0 {
		d.RequestPlan()
	}
}

// dropExpiredRecords drops the records of jobs that ended longer than
// outcomeRetention ago.
func (d *Dispatcher) dropExpiredRecords() {
	now := d.Now()
	for _, r := range d.records.Values() {
		if r.isExpired(now) {
			d.forgetOnWorkers(r)
			d.records.Delete(r.job.ID)
		}
	}
}

func (r *record) isExpired(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcomeRecorded && now.Sub(r.ended) > outcomeRetention
}

// applyEvent applies an event to the lifecycle; the caller holds r.mu. An
// invalid event leaves the phase unchanged, so that the job is not reported as
// not run.
func (r *record) applyEvent(event state.LifecycleEvent) {
	_ = r.lifecycle.Apply(event)
}

func (r *record) jobAttempt(attempt state.Attempt) state.JobAttempt {
	return state.JobAttempt{Job: r.job.ID, Attempt: attempt}
}
