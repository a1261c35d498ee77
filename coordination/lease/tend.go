package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// tend attaches to a worker and renews its leases until ctx ends; after a
// failure it attaches again, which also voids the tokens of an earlier home.
func (r *rack) tend(ctx context.Context, w *worker) {
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
		r.unlist(w, r.keeper.Now().Sub(lastAnswer) > confirmedTTL)
		pause.For(ctx, retryPause+rand.N(retryPause))
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

// renew extends the worker's leases and waits a while for changes.
func (r *rack) renew(ctx context.Context, w *worker) error {
	wait := renewWait
	r.mu.Lock()
	if !w.listed {
		wait = 0
	}
	r.mu.Unlock()
	return r.exchange(ctx, w, wait)
}

// exchange sends one renewal with what is to be confirmed and forgotten, and
// takes the reply in; several may be under way on one worker.
func (r *rack) exchange(ctx context.Context, w *worker, wait time.Duration) error {
	request := r.takeRequest(w, wait)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	reply, err := r.keeper.Workers.Renew(ctx, w.address, request)
	if err != nil {
		r.giveBack(w, request)
		return err
	}
	r.takeIn(w, request, reply)
	return nil
}

func (r *rack) takeRequest(w *worker, wait time.Duration) state.RenewRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := state.RenewRequest{
		Token: w.token, TTL: confirmedTTL, Since: w.version, Wait: wait,
		Confirm: w.confirm, Forget: w.forget,
	}
	w.confirm, w.forget = nil, nil
	return request
}

// giveBack has what a lost renewal said said again.
func (r *rack) giveBack(w *worker, request state.RenewRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.confirm = append(w.confirm, request.Confirm...)
	w.forget = append(w.forget, request.Forget...)
}

// takeIn notes the tasks of a reply, unless the worker is to be listed anew, or a
// newer reply came before it: that
// one told of the same changes and of later ones.
func (r *rack) takeIn(w *worker, request state.RenewRequest, reply state.RenewReply) {
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
		r.signal()
	}
}

// unlist notes that the worker does not answer; lost means that all its leases have expired.
func (r *rack) unlist(w *worker, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !w.listed && w.lost == lost {
		return
	}
	w.listed, w.lost = false, lost
	r.noteChange(w)
}
