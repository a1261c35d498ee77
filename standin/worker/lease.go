package worker

import (
	"context"
	"time"

	"comfreystream/state"
)

// Attach grants a new fencing token; every older one is stale from then on.
func (w *Worker) Attach() (state.Token, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.token++
	return w.token, nil
}

// Hold grants a lease, or refuses it with a reason.
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
	w.nextID++
	lease := state.Lease{
		ID: w.nextID, Token: request.Token, Worker: w.self.Address,
		Job: key.Job, Attempt: key.Attempt, Members: request.Members,
		Expires: w.Now().Add(request.TTL),
	}
	t := &task{record: state.Task{Lease: lease, Phase: state.TaskHeld, Job: request.Job}, plan: planOf(&request.Job)}
	w.tasks[key] = t
	w.touch(t)
	w.expireAfter(key, t, request.TTL)
	return lease, nil
}

func (w *Worker) checkHold(key state.JobAttempt, request state.HoldRequest) error {
	if err := w.checkToken("hold", request.Token); err != nil {
		return err
	}
	if w.self.Leaving {
		return w.refuse("hold", state.WorkerLeaving)
	}
	if w.faults.RefuseHolds || w.voided[key] {
		return w.refuse("hold", state.LeaseRefused)
	}
	if _, found := w.tasks[key]; found {
		return nil
	}
	if !request.Job.Shape.Times(request.Members).FitsIn(w.free()) {
		return w.refuse("hold", state.LeaseRefused)
	}
	return nil
}

// Renew extends the confirmed leases and returns the tasks that changed; it
// waits for a change at most as long as the request says.
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
	w.settle(request)
	reply = state.RenewReply{Version: w.version, Worker: w.self}
	for key, t := range w.tasks {
		if t.confirmed && t.record.Phase == state.TaskRunning {
			t.record.Lease.Expires = w.Now().Add(request.TTL)
			w.expireAfter(key, t, request.TTL)
		}
		if t.version > request.Since {
			reply.Changed = append(reply.Changed, t.record)
		}
	}
	return reply, w.changed, nil
}

// settle notes what the home says is whole or forgotten; the caller has the lock.
func (w *Worker) settle(request state.RenewRequest) {
	for _, key := range request.Confirm {
		if t, found := w.tasks[key]; found {
			t.confirmed = true
		}
	}
	for _, key := range request.Forget {
		w.forget(key)
	}
}

func (w *Worker) forget(key state.JobAttempt) {
	t, found := w.tasks[key]
	if !found || t.record.Phase < state.TaskDone {
		return
	}
	delete(w.tasks, key)
}

func (w *Worker) expireAfter(key state.JobAttempt, t *task, ttl time.Duration) {
	if t.expiry != nil {
		t.expiry.Stop()
	}
	t.expiry = time.AfterFunc(ttl, func() { w.expire(key, t) })
}

func (w *Worker) expire(key state.JobAttempt, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.tasks[key] != t || w.Now().Before(t.record.Lease.Expires) {
		return
	}
	if t.record.Phase >= state.TaskDone {
		return
	}
	w.halt(key, t)
}

func (w *Worker) checkToken(step string, token state.Token) error {
	if token != w.token {
		return w.refuse(step, state.StaleToken)
	}
	return nil
}

func (w *Worker) refuse(step string, reason state.Reason) error {
	return state.NewStepError(step, w.self.Address, reason, nil)
}

// free returns what no lease holds; the caller has the lock.
func (w *Worker) free() state.Resources {
	free := w.self.Capacity
	for _, t := range w.tasks {
		if t.record.Phase >= state.TaskDone {
			continue
		}
		free = free.Minus(t.record.Job.Shape.Times(t.record.Lease.Members))
	}
	return free
}

// touch marks a task as changed; the caller has the lock.
func (w *Worker) touch(t *task) {
	w.wake()
	t.version = w.version
}

// wake ends the waits of Renew; the caller has the lock.
func (w *Worker) wake() {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
}
