package lease

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"comfreystream/state"
)

const (
	// confirmedTTL is how long a lease of a whole gang lasts without a renewal;
	// it outlasts the loss of every entry of a zone and their replacement.
	confirmedTTL = 20 * time.Second
	// renewWait is how long a worker holds back its answer to a renewal.
	renewWait = 4 * time.Second
	// callTimeout bounds each call to a worker, less what the worker may wait.
	callTimeout = time.Second
	// holdTimeout bounds one request for a lease; it is below what the gang waits
	// for the rack, so that a silent worker is named.
	holdTimeout = 300 * time.Millisecond
	// reportInterval is the longest time between two reports on a rack while a
	// gang on it is not known to be whole, or has ended and is not forgotten.
	reportInterval = 2 * time.Second
	// quietInterval is the longest time between two reports on any other rack.
	quietInterval = 30 * time.Second
	// retryPause is the pause after a failed call to a worker or a planner.
	retryPause = 300 * time.Millisecond
)

// WorkerCalls are the requests that a worker answers; each carries the token
// that Attach granted, and fails with a StepError.
type WorkerCalls struct {
	Attach     func(ctx context.Context, worker netip.AddrPort) (state.Token, error)
	Hold       func(ctx context.Context, worker netip.AddrPort, request state.HoldRequest) (state.Lease, error)
	Start      func(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) error
	Stop       func(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) (neverStarted bool, err error)
	Checkpoint func(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) ([]byte, error)
	Renew      func(ctx context.Context, worker netip.AddrPort, request state.RenewRequest) (state.RenewReply, error)
}

// Keeper is the home of some racks; it is safe for several goroutines.
type Keeper struct {
	Now     func() time.Time
	Workers WorkerCalls
	// Report sends a report to the zone's planner.
	Report func(ctx context.Context, report state.RackReport) (state.ReportReply, error)
	// Self is the entry's own address, named in reports.
	Self netip.AddrPort
	// Count counts each refusal and failure by reason.
	Count func(reason state.Reason)

	mu     sync.Mutex
	racks  map[string]*rack
	closed bool
}

// New returns a keeper that is the home of no rack yet.
func New(self netip.AddrPort) *Keeper {
	return &Keeper{
		Now:   time.Now,
		Self:  self,
		Count: func(state.Reason) {},
		racks: make(map[string]*rack),
	}
}

// SetWorkers makes the keeper the home of exactly the racks of these workers.
// Racks that are no longer there are given up without touching their leases.
func (k *Keeper) SetWorkers(workers []state.Worker) {
	byRack := make(map[string][]state.Worker)
	for _, w := range workers {
		byRack[w.Rack.Name] = append(byRack[w.Rack.Name], w)
	}
	for _, gone := range k.retain(byRack) {
		gone.close()
	}
}

func (k *Keeper) retain(byRack map[string][]state.Worker) (gone []*rack) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil
	}
	for name, r := range k.racks {
		if _, kept := byRack[name]; !kept {
			gone = append(gone, r)
			delete(k.racks, name)
		}
	}
	for name, workers := range byRack {
		r, found := k.racks[name]
		if !found {
			r = newRack(k, workers[0].Rack)
			k.racks[name] = r
		}
		r.setWorkers(workers)
	}
	return gone
}

// Announce has everything reported anew: another planner, or one that has
// begun again, knows nothing of the racks.
func (k *Keeper) Announce() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.racks {
		r.announce()
	}
}

// Racks returns the names of the racks whose home this is.
func (k *Keeper) Racks() (names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.racks {
		names = append(names, name)
	}
	return names
}

// Close gives up all racks and waits for their goroutines; leases stay as they are.
func (k *Keeper) Close() error {
	k.mu.Lock()
	k.closed = true
	racks := k.racks
	k.racks = nil
	k.mu.Unlock()
	for _, r := range racks {
		r.close()
	}
	return nil
}

func (k *Keeper) rack(name string) (*rack, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, found := k.racks[name]
	if !found {
		return nil, state.NewStepError("find rack "+name, k.Self, state.HomeMoved, nil)
	}
	return r, nil
}
