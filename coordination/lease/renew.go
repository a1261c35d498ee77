package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// renewLoop attaches to a worker and renews its leases until ctx ends. After a
// failure it attaches again, which also invalidates the token of an earlier home.
func (r *rack) renewLoop(ctx context.Context, w *worker) {
	lastAnswer := r.keeper.Now()
	for ctx.Err() == nil {
		err := r.attach(ctx, w)
		for err == nil && ctx.Err() == nil {
			lastAnswer = r.keeper.Now()
			err = r.renew(ctx, w)
		}
		if ctx.Err() != nil {
			return
		}
		r.keeper.Count(state.ReasonOf(err, state.WorkerSilent))
		r.markSilent(w, r.keeper.Now().Sub(lastAnswer) > confirmedLeaseTTL)
		pause.For(ctx, retryDelay+rand.N(retryDelay))
	}
}

func (r *rack) attach(ctx context.Context, w *worker) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	token, err := r.keeper.Workers.Attach(ctx, w.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.token = token
	w.version = 0
	return nil
}

// renew extends the worker's leases and waits up to renewLongPoll for changes; a
// worker that is not listed replies at once.
func (r *rack) renew(ctx context.Context, w *worker) error {
	wait := renewLongPoll
	r.mu.Lock()
	if !w.listed {
		wait = 0
	}
	r.mu.Unlock()
	return r.sendRenewal(ctx, w, wait)
}

// sendRenewal sends one renewal with the attempts to confirm and to forget, and
// applies the reply; several may be in flight to one worker.
func (r *rack) sendRenewal(ctx context.Context, w *worker, wait time.Duration) error {
	request := r.nextRequest(w, wait)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	reply, err := r.keeper.Workers.Renew(ctx, w.address, request)
	if err != nil {
		r.requeue(w, request)
		return err
	}
	r.applyRenewal(w, request, reply)
	return nil
}

func (r *rack) nextRequest(w *worker, wait time.Duration) state.RenewRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := state.RenewRequest{
		Token: w.token, TTL: confirmedLeaseTTL, Since: w.version, Wait: wait,
		Confirm: w.toConfirm, Forget: w.toForget,
	}
	w.toConfirm, w.toForget = nil, nil
	return request
}

// requeue puts the contents of a failed renewal into the next one.
func (r *rack) requeue(w *worker, request state.RenewRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.toConfirm = append(w.toConfirm, request.Confirm...)
	w.toForget = append(w.toForget, request.Forget...)
}

// applyRenewal stores the tasks of a reply. It ignores a reply that holds only
// changes while the full list of tasks is needed, one for an earlier token, and one
// that arrives after a newer reply, which had the same changes and later ones.
func (r *rack) applyRenewal(w *worker, request state.RenewRequest, reply state.RenewReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	partial := !w.listed && request.Since != 0
	if partial || w.token != request.Token || w.listed && reply.Version < w.version {
		return
	}
	if !w.listed {
		clear(w.tasks)
		w.changed = true
	}
	w.listed, w.lost = true, false
	w.version = reply.Version
	for _, attempt := range request.Forget {
		delete(w.tasks, attempt)
	}
	for _, t := range reply.Changed {
		attempt := state.JobAttempt{Job: t.Lease.Job, Attempt: t.Lease.Attempt}
		w.tasks[attempt] = t
		w.unreported[attempt] = true
	}
	if reply.Worker.Leaving {
		r.markLeaving(w)
	}
	if w.changed || len(reply.Changed) > 0 {
		r.requestReport()
	}
}

// markSilent records that the worker does not answer; lost is set once all its
// leases have expired.
func (r *rack) markSilent(w *worker, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !w.listed && w.lost == lost {
		return
	}
	w.listed, w.lost = false, lost
	r.markChanged(w)
}
