package worker

import (
	"time"

	"comfreystream/state"
)

// Start runs the members under a held lease; a second start of the same lease changes nothing.
func (w *Worker) Start(token state.Token, attempt state.JobAttempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken("start", token); err != nil {
		return err
	}
	t, found := w.tasks[attempt]
	if !found || t.record.Phase == state.TaskStopped {
		return w.refuse("start", state.LeaseLapsed)
	}
	if t.record.Phase == state.TaskHeld {
		w.begin(t)
	}
	if w.faults.LoseStartAnswers {
		return state.AmbiguousStep("start", w.self.Address, state.WorkerSilent, nil)
	}
	return nil
}

func (w *Worker) begin(t *task) {
	t.begun = w.Now()
	t.record.Phase = state.TaskRunning
	t.record.Started = true
	t.record.Used = t.record.Job.Shape.Times(t.record.Lease.Members)
	w.started[t.record.Lease.Job]++
	w.touch(t)
	runTime := t.plan.remaining(&t.record.Job)
	if w.faults.FailTasks {
		runTime = 0
	}
	crash := w.faults.FailTasks || t.plan.fail
	t.end = time.AfterFunc(runTime, func() { w.finish(t, crash) })
}

func (w *Worker) finish(t *task, crash bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || t.record.Phase != state.TaskRunning {
		return
	}
	t.record.Phase = state.TaskDone
	t.record.Answer = t.plan.answerFor(&t.record.Job, t.record.Lease.Members)
	if crash {
		t.record.Phase = state.TaskCrashed
		t.record.Answer = nil
	}
	t.record.Used = state.Resources{}
	w.touch(t)
}

// Stop voids the attempt and ends its members; it reports whether none was ever
// started, and may be repeated.
func (w *Worker) Stop(token state.Token, attempt state.JobAttempt) (neverStarted bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken("stop", token); err != nil {
		return false, err
	}
	w.voided[attempt] = true
	t, found := w.tasks[attempt]
	if !found {
		return true, nil
	}
	if t.record.Phase < state.TaskDone {
		w.halt(attempt, t)
	}
	return !t.record.Started, nil
}

// Checkpoint saves the progress of a running attempt, returns it, and holds the
// members there until they are stopped or their lease expires.
func (w *Worker) Checkpoint(token state.Token, attempt state.JobAttempt) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken("checkpoint", token); err != nil {
		return nil, err
	}
	t, found := w.tasks[attempt]
	if !found || t.record.Phase != state.TaskRunning || !t.record.Job.Checkpointable {
		return nil, w.refuse("checkpoint", state.LeaseLapsed)
	}
	t.end.Stop()
	if t.record.Checkpoint != nil {
		return t.record.Checkpoint, nil
	}
	done := t.plan.runTime - t.plan.remaining(&t.record.Job) + w.Now().Sub(t.begun)
	t.record.Checkpoint = []byte(done.String())
	return t.record.Checkpoint, nil
}

// halt ends a held or running task; the caller has the lock.
func (w *Worker) halt(attempt state.JobAttempt, t *task) {
	w.stopTimers(t)
	w.voided[attempt] = true
	t.record.Phase = state.TaskStopped
	t.record.Used = state.Resources{}
	w.touch(t)
}

func (w *Worker) stopTimers(t *task) {
	if t.end != nil {
		t.end.Stop()
	}
	if t.expiry != nil {
		t.expiry.Stop()
	}
}
