package dispatch

import (
	"time"

	"comfreystream/state"
)

// sweepLoop drops what has outlived its use.
func (d *Dispatcher) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.dropIncomplete()
			d.dropAnswered()
			d.checkRecovered()
			d.planForProbes()
		}
	}
}

// planForProbes asks for a round while a quarantined worker may become due for
// a probe, which no other event tells.
func (d *Dispatcher) planForProbes() {
	if len(d.Quarantine.List()) > 0 {
		d.Signal()
	}
}

// dropAnswered drops the records of jobs that ended long ago.
func (d *Dispatcher) dropAnswered() {
	now := d.Now()
	for _, r := range d.records.Values() {
		if r.expired(now) {
			d.forget(r)
			d.records.Delete(r.job.ID)
		}
	}
}

func (r *record) expired(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled && now.Sub(r.ended) > answerRetention
}

// apply moves the lifecycle on; the caller has the lock. An event that cannot
// happen leaves it as it is, which keeps "not run" from being said.
func (r *record) apply(event state.LifecycleEvent) {
	_ = r.lifecycle.Apply(event)
}

func (r *record) name(attempt state.Attempt) state.JobAttempt {
	return state.JobAttempt{Job: r.job.ID, Attempt: attempt}
}
