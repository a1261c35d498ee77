package lease

import (
	"context"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// reportLoop tells the planner of changes at once, and otherwise asks at
// intervals what the planner has to say.
func (r *rack) reportLoop() {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		if err := r.report(); err != nil {
			r.keeper.Count(state.ReasonOf(err, state.HomeUnreachable))
			pause.For(r.ctx, retryPause)
			r.signal()
		}
		timer.Reset(r.interval())
	}
}

// interval returns the time to the next report: a rack on which every gang runs
// and was called whole by the planner has nothing to hear.
func (r *rack) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		for attempt, t := range w.tasks {
			if !r.settled[attempt] || t.Phase >= state.TaskDone {
				return reportInterval
			}
		}
	}
	return quietInterval
}

// announce has everything reported again, as to a planner that knows nothing.
func (r *rack) announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startAfresh()
}

// startAfresh has the next report tell everything; the caller has the lock.
func (r *rack) startAfresh() {
	r.full = true
	clear(r.settled)
	r.signal()
}

func (r *rack) report() error {
	report := r.nextReport()
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	reply, err := r.keeper.Report(ctx, report)
	if err != nil {
		r.putBack(report)
		return err
	}
	r.settle(reply)
	return nil
}

func (r *rack) nextReport() state.RackReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	report := state.RackReport{Rack: r.self, Home: r.keeper.Self, Sequence: r.sequence, Full: r.full}
	for _, w := range r.workers {
		if part, told := w.part(r.full); told {
			report.Workers = append(report.Workers, part)
		}
		w.changed = false
		clear(w.unreported)
	}
	r.full = false
	return report
}

// part returns what is to be told of the worker; jobs travel in full reports only.
func (w *worker) part(full bool) (part state.WorkerReport, told bool) {
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

// putBack has the next report tell everything, since this one may not have arrived.
func (r *rack) putBack(report state.RackReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startAfresh()
	r.sequence = report.Sequence
}

func (r *rack) settle(reply state.ReportReply) {
	r.mu.Lock()
	if reply.Resend {
		r.startAfresh()
	}
	for _, attempt := range reply.Whole {
		r.settled[attempt] = true
	}
	for _, attempt := range reply.Forget {
		delete(r.settled, attempt)
	}
	for _, w := range r.workers {
		w.confirm = appendRunning(w.confirm, reply.Whole, w)
		w.forget = appendKnown(w.forget, reply.Forget, w)
		if len(w.confirm) > 0 && w.listed {
			r.loops.Go(func() { r.confirm(w) })
		}
	}
	r.mu.Unlock()
	for _, attempt := range reply.Stop {
		r.loops.Go(func() { r.stopHolders(attempt) })
	}
}

// confirm tells a worker at once which gangs run whole: its renewal may wait
// for longer than their leases last. What gets lost goes with the next renewal.
func (r *rack) confirm(w *worker) {
	if err := r.exchange(r.ctx, w, 0); err != nil {
		r.keeper.Count(state.ReasonOf(err, state.WorkerSilent))
	}
}

func (r *rack) stopHolders(attempt state.JobAttempt) {
	for _, address := range r.holders(attempt) {
		if _, err := r.stopOn(r.ctx, address, attempt); err != nil {
			r.keeper.Count(state.ReasonOf(err, state.WorkerSilent))
		}
	}
}

func appendKnown(list, attempts []state.JobAttempt, w *worker) []state.JobAttempt {
	for _, attempt := range attempts {
		if _, found := w.tasks[attempt]; found {
			list = append(list, attempt)
		}
	}
	return list
}

// appendRunning adds the attempts that run on the worker; those that have ended
// need no confirmation.
func appendRunning(list, attempts []state.JobAttempt, w *worker) []state.JobAttempt {
	for _, attempt := range attempts {
		if t, found := w.tasks[attempt]; found && t.Phase < state.TaskDone {
			list = append(list, attempt)
		}
	}
	return list
}
