package lease

import (
	"context"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// reportLoop reports changes to the planner at once. Without changes it reports
// at intervals, since the planner's replies carry its requests.
func (r *rack) reportLoop() {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.reportRequested:
		case <-timer.C:
		}
		if err := r.sendReport(); err != nil {
			r.keeper.Count(state.ReasonOf(err, state.HomeUnreachable))
			pause.For(r.ctx, retryDelay)
			r.requestReport()
		}
		timer.Reset(r.interval())
	}
}

// interval returns the time to the next report. It is longer if every attempt on
// the rack is running and confirmed, since the planner then has nothing to request.
func (r *rack) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		for attempt, t := range w.tasks {
			if !r.confirmed[attempt] || t.Phase >= state.TaskDone {
				return reportInterval
			}
		}
	}
	return idleReportInterval
}

// reportInFull requests a full report, for a planner that knows nothing of the rack.
func (r *rack) reportInFull() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requireFullReport()
}

// requireFullReport makes the next report a full one; the caller holds the lock.
func (r *rack) requireFullReport() {
	r.fullReportDue = true
	clear(r.confirmed)
	r.requestReport()
}

func (r *rack) sendReport() error {
	report := r.nextReport()
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	reply, err := r.keeper.Report(ctx, report)
	if err != nil {
		r.handleLostReport(report)
		return err
	}
	r.applyReportReply(reply)
	return nil
}

func (r *rack) nextReport() state.RackReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	report := state.RackReport{Rack: r.description, Home: r.keeper.Self, Sequence: r.sequence, Full: r.fullReportDue}
	for _, w := range r.workers {
		if part, due := w.workerReport(r.fullReportDue); due {
			report.Workers = append(report.Workers, part)
		}
		w.changed = false
		clear(w.unreported)
	}
	r.fullReportDue = false
	return report
}

// workerReport returns the report on the worker and whether it has to be sent. Only
// full reports contain the jobs.
func (w *worker) workerReport(full bool) (part state.WorkerReport, due bool) {
	part = state.WorkerReport{Worker: w.description, Listed: w.listed, Lost: w.lost}
	for attempt, t := range w.tasks {
		if full {
			part.Tasks = append(part.Tasks, t)
			continue
		}
		if w.unreported[attempt] {
			t.Job = state.Job{}
			part.Tasks = append(part.Tasks, t)
		}
	}
	return part, full || w.changed || len(part.Tasks) > 0
}

// handleLostReport makes the next report a full one, since this one may not have arrived.
func (r *rack) handleLostReport(report state.RackReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requireFullReport()
	r.sequence = report.Sequence
}

func (r *rack) applyReportReply(reply state.ReportReply) {
	r.mu.Lock()
	if reply.Resend {
		r.requireFullReport()
	}
	for _, attempt := range reply.AllRunning {
		r.confirmed[attempt] = true
	}
	for _, attempt := range reply.Forget {
		delete(r.confirmed, attempt)
	}
	for _, w := range r.workers {
		w.toConfirm = appendRunning(w.toConfirm, reply.AllRunning, w)
		w.toForget = appendKnown(w.toForget, reply.Forget, w)
		if len(w.toConfirm) > 0 && w.listed {
			r.goroutines.Go(func() { r.sendConfirmations(w) })
		}
	}
	r.mu.Unlock()
	for _, attempt := range reply.Stop {
		r.goroutines.Go(func() { r.stopOnHolders(attempt) })
	}
}

// sendConfirmations tells a worker at once which attempts run with all members: the
// long poll of its pending renewal may outlast their leases. If the call fails, the
// next renewal carries the confirmations.
func (r *rack) sendConfirmations(w *worker) {
	if err := r.sendRenewal(r.ctx, w, 0); err != nil {
		r.keeper.Count(state.ReasonOf(err, state.WorkerSilent))
	}
}

func (r *rack) stopOnHolders(attempt state.JobAttempt) {
	for _, address := range r.workersWith(attempt) {
		if _, err := r.stopOn(r.ctx, address, attempt); err != nil {
			r.keeper.Count(state.ReasonOf(err, state.WorkerSilent))
		}
	}
}

// appendKnown appends the attempts that the worker has.
func appendKnown(list, attempts []state.JobAttempt, w *worker) []state.JobAttempt {
	for _, attempt := range attempts {
		if _, found := w.tasks[attempt]; found {
			list = append(list, attempt)
		}
	}
	return list
}

// appendRunning appends the attempts that the worker has and that have not ended;
// ended ones need no confirmation.
func appendRunning(list, attempts []state.JobAttempt, w *worker) []state.JobAttempt {
	for _, attempt := range attempts {
		if t, found := w.tasks[attempt]; found && t.Phase < state.TaskDone {
			list = append(list, attempt)
		}
	}
	return list
}
