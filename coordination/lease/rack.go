package lease

import (
	"context"
	"net/netip"
	"sync"

	"comfreystream/state"
)

// rack is the shard of one rack: its workers, and the changes not yet reported.
type rack struct {
	keeper *Keeper
	self   state.Rack
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	wake   chan struct{}

	mu       sync.Mutex
	workers  map[netip.AddrPort]*worker
	sequence uint64
	full     bool
	// settled holds the attempts that the planner has called whole.
	settled map[state.JobAttempt]bool
}

// worker is what the rack's home knows of one worker; the rack's lock guards it.
type worker struct {
	address     netip.AddrPort
	cancel      context.CancelFunc
	description state.Worker
	token       state.Token
	version     uint64
	listed      bool
	lost        bool
	changed     bool
	tasks       map[state.JobAttempt]state.Task
	unreported  map[state.JobAttempt]bool
	confirm     []state.JobAttempt
	forget      []state.JobAttempt
}

func newRack(k *Keeper, self state.Rack) *rack {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rack{
		keeper: k, self: self, ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), workers: make(map[netip.AddrPort]*worker), full: true,
		settled: make(map[state.JobAttempt]bool),
	}
	r.loops.Go(r.reportLoop)
	return r
}

func (r *rack) setWorkers(workers []state.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[netip.AddrPort]bool, len(workers))
	for _, description := range workers {
		listed[description.Address] = true
		w, found := r.workers[description.Address]
		if !found {
			r.add(description)
			continue
		}
		r.describe(w, description)
	}
	for address, w := range r.workers {
		if listed[address] {
			continue
		}
		r.markLeaving(w)
		if w.lost && !w.changed {
			w.cancel()
			delete(r.workers, address)
		}
	}
}

func (r *rack) add(description state.Worker) {
	ctx, cancel := context.WithCancel(r.ctx)
	w := &worker{
		address: description.Address, cancel: cancel, description: description, changed: true,
		tasks: make(map[state.JobAttempt]state.Task), unreported: make(map[state.JobAttempt]bool),
	}
	r.workers[description.Address] = w
	r.loops.Go(func() { r.tend(ctx, w) })
}

// describe takes over what the instance list says; leaving is never taken back by it.
func (r *rack) describe(w *worker, description state.Worker) {
	description.Leaving = description.Leaving || w.description.Leaving
	if description == w.description {
		return
	}
	w.description = description
	r.noteChange(w)
}

func (r *rack) markLeaving(w *worker) {
	if w.description.Leaving {
		return
	}
	w.description.Leaving = true
	r.noteChange(w)
}

// noteChange has the worker's description reported; the caller has the lock.
func (r *rack) noteChange(w *worker) {
	w.changed = true
	r.signal()
}

func (r *rack) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// access returns the worker's token, or why nothing may be asked of it.
func (r *rack) access(step string, address netip.AddrPort) (state.Token, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, found := r.workers[address]
	if !found || !w.listed {
		return 0, state.NewStepError(step, address, state.WorkerSilent, nil)
	}
	return w.token, nil
}

// holders returns the workers on which the attempt is known.
func (r *rack) holders(attempt state.JobAttempt) (addresses []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, w := range r.workers {
		if _, found := w.tasks[attempt]; found {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (r *rack) addresses() (addresses []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address := range r.workers {
		addresses = append(addresses, address)
	}
	return addresses
}

func (r *rack) close() {
	r.cancel()
	r.loops.Wait()
}
