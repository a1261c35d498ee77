package worker

import (
	"time"

	"comfreystream/state"
)

// Start runs the members under a held lease. A repeated start of the same attempt
// has no effect.
func (w *Worker) Start(token state.Token, attempt state.JobAttempt) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken("start", token); err != nil {
		return err
	}
	t, found := w.tasks[attempt]
	if !found || t.record.Phase == state.TaskStopped {
		return w.refusal("start", state.LeaseLapsed)
	}
	if t.record.Phase == state.TaskHeld {
		w.startTask(t)
	}
	if w.faults.LoseStartAnswers {
		return state.NewAmbiguousStepError("start", w.info.Address, state.WorkerSilent, nil)
	}
	return nil
}

func (w *Worker) startTask(t *task) {
	t.startedAt = w.Now()
	t.record.Phase = state.TaskRunning
	t.record.Started = true
	t.record.Used = t.record.Job.Shape.Times(t.record.Lease.Members)
	w.startCounts[t.record.Lease.Job]++
	w.markChanged(t)
	runTime := t.plan.remainingRunTime(&t.record.Job)
	if w.faults.FailTasks {
		runTime = 0
	}
	crash := w.faults.FailTasks || t.plan.fail
	t.finishTimer = time.AfterFunc(runTime, func() { w.finishTask(t, crash) })
}

func (w *Worker) finishTask(t *task, crash bool) {
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
	w.markChanged(t)
}

// Stop voids the attempt, so that it can no longer be started, and stops its
// members. It reports whether none of them was ever started, and is idempotent.
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
		w.stopTask(attempt, t)
	}
	return !t.record.Started, nil
}

// Checkpoint saves and returns the progress of a running attempt. The members then
// make no more progress until they are stopped or their lease expires.
func (w *Worker) Checkpoint(token state.Token, attempt state.JobAttempt) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken("checkpoint", token); err != nil {
		return nil, err
	}
	t, found := w.tasks[attempt]
	if !found || t.record.Phase != state.TaskRunning || !t.record.Job.Checkpointable {
		return nil, w.refusal("checkpoint", state.LeaseLapsed)
	}
	t.finishTimer.Stop()
	if t.record.Checkpoint != nil {
		return t.record.Checkpoint, nil
	}
	done := t.plan.runTime - t.plan.remainingRunTime(&t.record.Job) + w.Now().Sub(t.startedAt)
	t.record.Checkpoint = []byte(done.String())
	return t.record.Checkpoint, nil
}

// stopTask stops a held or running task and voids its attempt; the caller holds
// the lock.
func (w *Worker) stopTask(attempt state.JobAttempt, t *task) {
	w.stopTimers(t)
	w.voided[attempt] = true
	t.record.Phase = state.TaskStopped
	t.record.Used = state.Resources{}
	w.markChanged(t)
}

func (w *Worker) stopTimers(t *task) {
	if t.finishTimer != nil {
		t.finishTimer.Stop()
	}
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
	}
}
