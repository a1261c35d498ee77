package dispatch

import (
	"net/netip"
	"slices"

	"comfreystream/state"
)

// Report processes the report of a rack's home and returns which attempts to
// renew, stop and forget.
func (d *Dispatcher) Report(report state.RackReport) (reply state.ReportReply, err error) {
	if d.ctx.Err() != nil {
		return reply, d.homeMovedError("report " + report.Rack.Name)
	}
	o := d.outboxOf(report.Rack.Name)
	reply.Resend = o.noteReport(&report)
	if reply.Resend {
		// After a gap, tasks missing from the report may have changed too.
		return reply, nil
	}
	for _, w := range report.Workers {
		d.updateWorker(&w)
		for _, t := range w.Tasks {
			d.handleTask(report.Rack.Name, t, report.Full, &reply)
		}
		d.setListed(&w)
	}
	o.moveTo(&reply)
	d.checkRecovered()
	return reply, nil
}

// updateWorker updates a worker's description before its tasks are handled,
// since adoption needs it.
func (d *Dispatcher) updateWorker(w *state.WorkerReport) {
	if w.Lost {
		d.handleLostWorker(w.Worker.Address)
		return
	}
	if _, known := d.workers.Get(w.Worker.Address); w.Listed || known {
		d.Planner.PutWorker(w.Worker)
	}
}

// setListed stores whether the home has read the worker's task list, after its
// tasks have been handled.
func (d *Dispatcher) setListed(w *state.WorkerReport) {
	if w.Lost {
		return
	}
	wasListed, _ := d.workers.Get(w.Worker.Address)
	d.workers.Put(w.Worker.Address, w.Listed)
	if w.Listed != wasListed || w.Worker.Leaving {
		d.RequestPlan()
	}
}

// handleLostWorker stops the remaining members of the gangs that ran on the
// worker.
func (d *Dispatcher) handleLostWorker(address netip.AddrPort) {
	if _, known := d.workers.Delete(address); !known {
		return
	}
	for _, id := range d.Planner.RemoveWorker(address) {
		r, found := d.records.Get(id)
		if !found {
			continue
		}
		attempt := r.currentAttempt()
		d.spawn(func() { d.stopAttempt(r, attempt, state.WorkerLost, []netip.AddrPort{address}) })
	}
	d.RequestPlan()
}

// Usable reports whether the worker answers its rack's home and is not
// quarantined.
func (d *Dispatcher) Usable(worker netip.AddrPort) bool {
	listed, _ := d.workers.Get(worker)
	return listed && d.Quarantine.Usable(worker)
}

// handleTask updates a known job, or begins to adopt a task that another planner
// started.
func (d *Dispatcher) handleTask(rack string, t state.Task, full bool, reply *state.ReportReply) {
	attempt := state.JobAttempt{Job: t.Lease.Job, Attempt: t.Lease.Attempt}
	r, found := d.records.Get(attempt.Job)
	foreign := found && r.startedElsewhere(attempt.Attempt)
	if (!found || foreign) && t.Job.ID == "" {
		reply.Resend = true
		return
	}
	if foreign {
		d.adoptForQueuedJob(r, rack, t)
		return
	}
	if !found {
		if r = d.adoptTask(rack, t); r == nil {
			return
		}
	}
	effect := r.applyTask(t)
	if effect == taskStale {
		r.rejectStaleTask(t, attempt, reply)
		return
	}
	if full || t.Phase == state.TaskRunning {
		r.repeatInstruction(attempt, reply)
	}
	d.handleEffect(r, attempt.Attempt, effect)
}

// rejectStaleTask has a task stopped that belongs to no current attempt, or
// forgotten if it has ended. For a non-idempotent job that waits until the
// outcome is recorded: before that, the worker's task is the only proof that the
// job ran.
func (r *record) rejectStaleTask(t state.Task, attempt state.JobAttempt, reply *state.ReportReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Phase < state.TaskDone {
		reply.Stop = append(reply.Stop, attempt)
		return
	}
	if r.job.Idempotent || r.outcomeRecorded {
		reply.Forget = append(reply.Forget, attempt)
	}
}

// repeatInstruction repeats the instruction of an earlier reply, which may be
// lost or may have arrived before the home knew the task.
func (r *record) repeatInstruction(attempt state.JobAttempt, reply *state.ReportReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forgetSent {
		reply.Forget = append(reply.Forget, attempt)
		return
	}
	if r.fullyStarted && !r.ending {
		reply.AllRunning = append(reply.AllRunning, attempt)
	}
}

func (r *record) currentAttempt() state.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempt
}

// checkRecovered ends the recovery once every expected worker has been listed
// and no adoption is incomplete.
func (d *Dispatcher) checkRecovered() {
	select {
	case <-d.recovered:
		return
	default:
	}
	if d.allWorkersListed() && d.adoptions.Len() == 0 {
		d.markRecovered()
	}
}

// allWorkersListed reports whether the task list of every expected worker has
// been read.
func (d *Dispatcher) allWorkersListed() bool {
	expected := d.ExpectedWorkers()
	for _, address := range expected {
		if listed, _ := d.workers.Get(address); !listed {
			return false
		}
	}
	return len(expected) > 0
}

// anyWorkerListed reports whether the task list of any worker has been read.
func (d *Dispatcher) anyWorkerListed() bool {
	return slices.Contains(d.workers.Values(), true)
}
