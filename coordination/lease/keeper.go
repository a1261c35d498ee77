package lease

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"comfreystream/state"
)

const (
	// confirmedLeaseTTL is the lifetime of a lease, from its last renewal, once
	// every member of the gang runs; it exceeds the time in which all entries of
	// a zone can fail and be replaced.
	confirmedLeaseTTL = 20 * time.Second
	// renewLongPoll is how long a worker may delay its reply to a renewal while
	// nothing changes.
	renewLongPoll = 4 * time.Second
	// callTimeout bounds each call to a worker or planner; a renewal's long poll
	// is added to it.
	callTimeout = time.Second
	// holdTimeout bounds one request for a lease. It is shorter than the planner's
	// timeout for the whole rack, so that the error names the silent worker.
	holdTimeout = 300 * time.Millisecond
	// reportInterval is the longest time between two reports on a rack that has
	// an unconfirmed attempt, or an ended one that the planner still keeps.
	reportInterval = 2 * time.Second
	// idleReportInterval is the longest time between two reports on other racks.
	idleReportInterval = 30 * time.Second
	// retryDelay is the delay after a failed call to a worker or a planner.
	retryDelay = 300 * time.Millisecond
)

// WorkerCalls holds the requests to a worker; all but Attach carry the token that
// Attach granted, and each fails with a *state.StepError.
type WorkerCalls struct {
	Attach     func(ctx context.Context, worker netip.AddrPort) (state.Token, error)
	Hold       func(ctx context.Context, worker netip.AddrPort, request state.HoldRequest) (state.Lease, error)
	Start      func(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) error
	Stop       func(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) (neverStarted bool, err error)
	Checkpoint func(ctx context.Context, worker netip.AddrPort, token state.Token, attempt state.JobAttempt) ([]byte, error)
	Renew      func(ctx context.Context, worker netip.AddrPort, request state.RenewRequest) (state.RenewReply, error)
}

// Keeper is the home of a set of racks; it is safe for concurrent use.
type Keeper struct {
	Now     func() time.Time
	Workers WorkerCalls
	// Report sends a report to the zone's planner.
	Report func(ctx context.Context, report state.RackReport) (state.ReportReply, error)
	// Self is the entry's own address, sent in reports.
	Self netip.AddrPort
	// Count is called with the reason of each refusal and failure.
	Count func(reason state.Reason)

	mu     sync.Mutex
	racks  map[string]*rack
	closed bool
}

// New returns a keeper without racks; self is the entry's own address.
func New(self netip.AddrPort) *Keeper {
	return &Keeper{
		Now:   time.Now,
		Self:  self,
		Count: func(state.Reason) {},
		racks: make(map[string]*rack),
	}
}

// SetWorkers makes the keeper the home of exactly the racks of these workers. It
// stops managing all other racks and leaves their leases as they are.
func (k *Keeper) SetWorkers(workers []state.Worker) {
	byRack := make(map[string][]state.Worker)
	for _, w := range workers {
		byRack[w.Rack.Name] = append(byRack[w.Rack.Name], w)
	}
	for _, removed := range k.replaceRacks(byRack) {
		removed.close()
	}
}

// replaceRacks adds and updates the racks, and returns those that were removed.
func (k *Keeper) replaceRacks(byRack map[string][]state.Worker) (removed []*rack) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil
	}
	for name, r := range k.racks {
		if _, kept := byRack[name]; !kept {
			removed = append(removed, r)
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
	return removed
}

// ReportInFull sends a full report on every rack, for a planner that is new or
// has restarted and so knows nothing of the racks.
func (k *Keeper) ReportInFull() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.racks {
		r.reportInFull()
	}
}

// Racks returns the names of the racks that the keeper manages.
func (k *Keeper) Racks() (names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.racks {
		names = append(names, name)
	}
	return names
}

// Close stops managing all racks and waits for their goroutines; leases stay as they are.
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

func (k *Keeper) findRack(name string) (*rack, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, found := k.racks[name]
	if !found {
		return nil, state.NewStepError("find rack "+name, k.Self, state.HomeMoved, nil)
	}
	return r, nil
}
