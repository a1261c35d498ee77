package lease

import (
	"context"
	"net/netip"
	"sync"

	"comfreystream/state"
)

// rack is the shard for one rack: its workers and the changes not yet reported.
type rack struct {
	keeper          *Keeper
	description     state.Rack
	ctx             context.Context
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup
	reportRequested chan struct{}

	mu            sync.Mutex
	workers       map[netip.AddrPort]*worker
	sequence      uint64
	fullReportDue bool
	// confirmed holds the attempts whose members all run, as the planner reported.
	confirmed map[state.JobAttempt]bool
}

// worker holds what is known of one worker; the rack's lock guards it.
type worker struct {
	address     netip.AddrPort
	cancel      context.CancelFunc
	description state.Worker
	token       state.Token
	version     uint64
	// listed is set once the token is held and the worker's tasks have been read.
	listed bool
	// lost is set once all leases have expired without an answer from the worker.
	lost bool
	// changed is set while a change other than to tasks is not reported.
	changed    bool
	tasks      map[state.JobAttempt]state.Task
	unreported map[state.JobAttempt]bool
	toConfirm  []state.JobAttempt
	toForget   []state.JobAttempt
}

func newRack(k *Keeper, description state.Rack) *rack {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rack{
		keeper: k, description: description, ctx: ctx, cancel: cancel,
		reportRequested: make(chan struct{}, 1), workers: make(map[netip.AddrPort]*worker), fullReportDue: true,
		confirmed: make(map[state.JobAttempt]bool),
	}
	r.goroutines.Go(r.reportLoop)
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
			r.addWorker(description)
			continue
		}
		r.updateDescription(w, description)
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

func (r *rack) addWorker(description state.Worker) {
	ctx, cancel := context.WithCancel(r.ctx)
	w := &worker{
		address: description.Address, cancel: cancel, description: description, changed: true,
		tasks: make(map[state.JobAttempt]state.Task), unreported: make(map[state.JobAttempt]bool),
	}
	r.workers[description.Address] = w
	r.goroutines.Go(func() { r.renewLoop(ctx, w) })
}

// updateDescription applies the worker's entry in the instance list. A worker that
// is leaving stays so, whatever the list says.
func (r *rack) updateDescription(w *worker, description state.Worker) {
	description.Leaving = description.Leaving || w.description.Leaving
	if description == w.description {
		return
	}
	w.description = description
	r.markChanged(w)
}

func (r *rack) markLeaving(w *worker) {
	if w.description.Leaving {
		return
	}
	w.description.Leaving = true
	r.markChanged(w)
}

// markChanged requests a report on the worker; the caller holds the lock.
func (r *rack) markChanged(w *worker) {
	w.changed = true
	r.requestReport()
}

// requestReport wakes reportLoop without blocking.
func (r *rack) requestReport() {
	select {
	case r.reportRequested <- struct{}{}:
	default:
	}
}

// tokenFor returns the worker's token, or an error if the worker is not listed.
func (r *rack) tokenFor(step string, address netip.AddrPort) (state.Token, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, found := r.workers[address]
	if !found || !w.listed {
		return 0, state.NewStepError(step, address, state.WorkerSilent, nil)
	}
	return w.token, nil
}

// workersWith returns the workers that have a task of the attempt.
func (r *rack) workersWith(attempt state.JobAttempt) (addresses []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, w := range r.workers {
		if _, found := w.tasks[attempt]; found {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (r *rack) workerAddresses() (addresses []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address := range r.workers {
		addresses = append(addresses, address)
	}
	return addresses
}

func (r *rack) close() {
	r.cancel()
	r.goroutines.Wait()
}
