package worker

import (
	"context"
	"time"

	"comfreystream/state"
)

// Attach grants a new fencing token and invalidates all earlier ones.
func (w *Worker) Attach() (state.Token, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.token++
	return w.token, nil
}

// Hold grants a lease or refuses it with a reason. A repeated request for the
// same attempt returns the lease already granted.
func (w *Worker) Hold(request state.HoldRequest) (state.Lease, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := state.JobAttempt{Job: request.Job.ID, Attempt: request.Attempt}
	if err := w.checkHold(key, request); err != nil {
		return state.Lease{}, err
	}
	if t, found := w.tasks[key]; found {
		return t.record.Lease, nil
	}
	w.lastLeaseID++
	lease := state.Lease{
		ID: w.lastLeaseID, Token: request.Token, Worker: w.info.Address,
		Job: key.Job, Attempt: key.Attempt, Members: request.Members,
		Expires: w.Now().Add(request.TTL),
	}
	t := &task{record: state.Task{Lease: lease, Phase: state.TaskHeld, Job: request.Job}, plan: parsePlan(&request.Job)}
	w.tasks[key] = t
	w.markChanged(t)
	w.scheduleExpiry(key, t, request.TTL)
	return lease, nil
}

func (w *Worker) checkHold(key state.JobAttempt, request state.HoldRequest) error {
	if err := w.checkToken("hold", request.Token); err != nil {
		return err
	}
	if w.info.Leaving {
		return w.refusal("hold", state.WorkerLeaving)
	}
	if w.faults.RefuseHolds || w.voided[key] {
		return w.refusal("hold", state.LeaseRefused)
	}
	if _, found := w.tasks[key]; found {
		return nil
	}
	if !request.Job.Shape.Times(request.Members).FitsIn(w.freeResources()) {
		return w.refusal("hold", state.LeaseRefused)
	}
	return nil
}

// Renew extends the leases of confirmed running tasks and returns the tasks that
// changed since the requested version. It waits at most request.Wait for a change.
func (w *Worker) Renew(ctx context.Context, request state.RenewRequest) (state.RenewReply, error) {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for {
		reply, changed, err := w.renewOnce(request)
		if err != nil || reply.Version > request.Since {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		}
	}
}

func (w *Worker) renewOnce(request state.RenewRequest) (reply state.RenewReply, changed <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken("renew", request.Token); err != nil {
		return state.RenewReply{}, nil, err
	}
	w.applyAcknowledgements(request)
	reply = state.RenewReply{Version: w.version, Worker: w.info}
	for key, t := range w.tasks {
		if t.confirmed && t.record.Phase == state.TaskRunning {
			t.record.Lease.Expires = w.Now().Add(request.TTL)
			w.scheduleExpiry(key, t, request.TTL)
		}
		if t.version > request.Since {
			reply.Changed = append(reply.Changed, t.record)
		}
	}
	return reply, w.changed, nil
}

// applyAcknowledgements marks the attempts in request.Confirm as confirmed and
// forgets the ended ones in request.Forget; the caller holds the lock.
func (w *Worker) applyAcknowledgements(request state.RenewRequest) {
	for _, key := range request.Confirm {
		if t, found := w.tasks[key]; found {
			t.confirmed = true
		}
	}
	for _, key := range request.Forget {
		w.forgetTask(key)
	}
}

func (w *Worker) forgetTask(key state.JobAttempt) {
	t, found := w.tasks[key]
	if !found || t.record.Phase < state.TaskDone {
		return
	}
	delete(w.tasks, key)
}

func (w *Worker) scheduleExpiry(key state.JobAttempt, t *task, ttl time.Duration) {
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
	}
	t.expiryTimer = time.AfterFunc(ttl, func() { w.expireLease(key, t) })
}

func (w *Worker) expireLease(key state.JobAttempt, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.tasks[key] != t || w.Now().Before(t.record.Lease.Expires) {
		return
	}
	if t.record.Phase >= state.TaskDone {
		return
	}
	w.stopTask(key, t)
}

func (w *Worker) checkToken(step string, token state.Token) error {
	if token != w.token {
		return w.refusal(step, state.StaleToken)
	}
	return nil
}

func (w *Worker) refusal(step string, reason state.Reason) error {
	return state.NewStepError(step, w.info.Address, reason, nil)
}

// freeResources returns the capacity that no lease takes up; the caller holds the lock.
func (w *Worker) freeResources() state.Resources {
	free := w.info.Capacity
	for _, t := range w.tasks {
		if t.record.Phase >= state.TaskDone {
			continue
		}
		free = free.Minus(t.record.Job.Shape.Times(t.record.Lease.Members))
	}
	return free
}

// markChanged makes Renew report the task as changed; the caller holds the lock.
func (w *Worker) markChanged(t *task) {
	w.notifyChange()
	t.version = w.version
}

// notifyChange increments the version and wakes the calls that wait in Renew; the
// caller holds the lock.
func (w *Worker) notifyChange() {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
}
