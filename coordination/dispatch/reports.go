package dispatch

import (
	"net/netip"
	"slices"

	"comfreystream/state"
)

// Report takes in what a rack's home says of its workers and answers what is
// to be renewed, stopped and forgotten.
func (d *Dispatcher) Report(report state.RackReport) (reply state.ReportReply, err error) {
	if d.ctx.Err() != nil {
		return reply, d.moved("report " + report.Rack.Name)
	}
	o := d.outboxOf(report.Rack.Name)
	reply.Resend = o.receive(&report)
	if reply.Resend {
		// A report after a missing one says nothing of the tasks that it leaves out.
		return reply, nil
	}
	for _, w := range report.Workers {
		d.takeWorker(&w)
		for _, t := range w.Tasks {
			d.takeTask(report.Rack.Name, t, report.Full, &reply)
		}
		d.listWorker(&w)
	}
	o.take(&reply)
	d.checkRecovered()
	return reply, nil
}

// takeWorker takes over a worker's description, which its tasks need.
func (d *Dispatcher) takeWorker(w *state.WorkerReport) {
	if w.Lost {
		d.loseWorker(w.Worker.Address)
		return
	}
	if _, known := d.workers.Get(w.Worker.Address); w.Listed || known {
		d.Planner.PutWorker(w.Worker)
	}
}

// listWorker notes, once the worker's tasks are taken in, whether it answers.
func (d *Dispatcher) listWorker(w *state.WorkerReport) {
	if w.Lost {
		return
	}
	wasListed, _ := d.workers.Get(w.Worker.Address)
	d.workers.Put(w.Worker.Address, w.Listed)
	if w.Listed != wasListed || w.Worker.Leaving {
		d.Signal()
	}
}

// loseWorker stops what is left of the gangs that had members on the worker.
func (d *Dispatcher) loseWorker(address netip.AddrPort) {
	if _, known := d.workers.Delete(address); !known {
		return
	}
	for _, id := range d.Planner.LoseWorker(address) {
		r, found := d.records.Get(id)
		if !found {
			continue
		}
		attempt := r.currentAttempt()
		d.spawn(func() { d.stopAttempt(r, attempt, state.WorkerLost, []netip.AddrPort{address}) })
	}
	d.Signal()
}

// Usable reports whether the worker answers its rack's home and is not quarantined.
func (d *Dispatcher) Usable(worker netip.AddrPort) bool {
	listed, _ := d.workers.Get(worker)
	return listed && d.Quarantine.Usable(worker)
}

// takeTask notes a task of a known job, or begins to adopt one of an unknown job.
func (d *Dispatcher) takeTask(rack string, t state.Task, full bool, reply *state.ReportReply) {
	attempt := state.JobAttempt{Job: t.Lease.Job, Attempt: t.Lease.Attempt}
	r, found := d.records.Get(attempt.Job)
	waiting := found && r.waitsFor(attempt.Attempt)
	if (!found || waiting) && t.Job.ID == "" {
		reply.Resend = true
		return
	}
	if waiting {
		d.adoptWaiting(r, rack, t)
		return
	}
	if !found {
		if r = d.adopt(rack, t); r == nil {
			return
		}
	}
	effect := r.take(t)
	if effect == partStale {
		r.dismiss(t, attempt, reply)
		return
	}
	if full || t.Phase == state.TaskRunning {
		r.restate(attempt, reply)
	}
	d.follow(r, attempt.Attempt, effect)
}

// dismiss has a task stopped that no attempt of its job needs. One that has
// ended is forgotten, but for a non-idempotent job only once its outcome is
// recorded: until then the worker's record is the only proof that it ran.
func (r *record) dismiss(t state.Task, attempt state.JobAttempt, reply *state.ReportReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Phase < state.TaskDone {
		reply.Stop = append(reply.Stop, attempt)
		return
	}
	if r.job.Idempotent || r.settled {
		reply.Forget = append(reply.Forget, attempt)
	}
}

// restate says again what an earlier reply said: it may be lost, or have come
// before the home knew of the task.
func (r *record) restate(attempt state.JobAttempt, reply *state.ReportReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forgotten {
		reply.Forget = append(reply.Forget, attempt)
		return
	}
	if r.whole && !r.stopping {
		reply.Whole = append(reply.Whole, attempt)
	}
}

func (r *record) currentAttempt() state.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempt
}

// checkRecovered ends the recovery once every expected worker has listed its tasks.
func (d *Dispatcher) checkRecovered() {
	select {
	case <-d.recovered:
		return
	default:
	}
	if d.allListed() && d.adopting.Len() == 0 {
		d.markRecovered()
	}
}

// allListed reports whether the home of each expected worker's rack has read its tasks.
func (d *Dispatcher) allListed() bool {
	expected := d.Expected()
	for _, address := range expected {
		if listed, _ := d.workers.Get(address); !listed {
			return false
		}
	}
	return len(expected) > 0
}

// anyListed reports whether any worker's home has read its tasks.
func (d *Dispatcher) anyListed() bool {
	return slices.Contains(d.workers.Values(), true)
}
