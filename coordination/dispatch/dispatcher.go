package dispatch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"comfreystream/coordination/admission"
	"comfreystream/coordination/claim"
	"comfreystream/coordination/estimate"
	"comfreystream/coordination/gang"
	"comfreystream/coordination/ledger"
	"comfreystream/coordination/planning"
	"comfreystream/coordination/quarantine"
	"comfreystream/coordination/retry"
	"comfreystream/state"
)

const (
	// recoveryWindow is how long a new planner waits for the racks' reports
	// before it plans with those that came.
	recoveryWindow = 3 * time.Second
	// fitsGrace is how long a new planner takes no job for impossible while it
	// does not know every worker that the instance list names.
	fitsGrace = 10 * time.Second
	// fitsPause is the time between two looks whether such a job fits now.
	fitsPause = 300 * time.Millisecond
	// adoptionGrace is how long the parts of a gang that was found running may
	// take to be reported before the gang counts as incomplete.
	adoptionGrace = 6 * time.Second
	// answerRetention is how long an outcome is kept for its caller.
	answerRetention = 10 * time.Minute
	// reloadInterval is the time between two looks for jobs that another planner
	// saved, as one that was cut off does, after this one had taken over.
	reloadInterval = 20 * time.Second
	// sweepInterval is the time between two looks for what has outlived its use.
	sweepInterval = time.Second
	// maxRecords bounds the jobs, ended ones included, that a planner keeps.
	maxRecords = 200_000
)

// Dispatcher is the planner's seat of one zone from the moment that this entry
// takes the zone over until it gives it up; it is safe for several goroutines.
type Dispatcher struct {
	Now  func() time.Time
	Gang *gang.Starter
	// Checkpoint has an attempt's members on a rack save their state.
	Checkpoint func(ctx context.Context, rack string, attempt state.JobAttempt) ([][]byte, error)
	// Claims are the records of non-idempotent requests in the store.
	Claims *claim.Claims
	// Ledger keeps accepted jobs whose callers do not wait.
	Ledger *ledger.Ledger
	// Expected lists the workers of the zone that the instance list names.
	Expected func() []netip.AddrPort
	// Event logs one event about a job; reason may be empty.
	Event func(event string, job state.JobID, reason state.Reason)
	// Count counts a refusal or retry by its reason.
	Count func(reason state.Reason)

	Planner    *planning.Planner
	Admission  *admission.Admission
	Retries    *retry.Retries
	Quarantine *quarantine.Quarantine
	Estimates  *estimate.Estimates

	records  *state.Table[state.JobID, *record]
	racks    *state.Table[string, *outbox]
	workers  *state.Table[netip.AddrPort, bool]
	adopting *state.Table[state.JobAttempt, *adoption]
	// adoptions is held while a part is added to an adoption.
	adoptions sync.Mutex

	waits waits
	began time.Time
	// recovered is closed once the racks were reported, governed once a manifest
	// is in force, and loaded once the saved jobs of the zone are known.
	recovered chan struct{}
	recovery  sync.Once
	governed  chan struct{}
	governing sync.Once
	loaded    chan struct{}
	// reloaded holds when the last read of the saved jobs on account of an
	// unknown one began; whoever has taken it reads.
	reloaded chan time.Time
	wake     chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	closing  sync.Mutex
	closed   bool
}

// New returns a dispatcher whose seams are to be set before Run.
func New(planner *planning.Planner) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		Now:       time.Now,
		Planner:   planner,
		Event:     func(string, state.JobID, state.Reason) {},
		Count:     func(state.Reason) {},
		Expected:  func() []netip.AddrPort { return nil },
		records:   state.NewTable[state.JobID, *record](),
		racks:     state.NewTable[string, *outbox](),
		workers:   state.NewTable[netip.AddrPort, bool](),
		adopting:  state.NewTable[state.JobAttempt, *adoption](),
		recovered: make(chan struct{}),
		governed:  make(chan struct{}),
		loaded:    make(chan struct{}),
		reloaded:  make(chan time.Time, 1),
		wake:      make(chan struct{}, 1),
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Run starts planning; it returns at once.
func (d *Dispatcher) Run() {
	d.began = d.Now()
	d.reloaded <- time.Time{}
	d.spawn(d.planLoop)
	d.spawn(d.sweepLoop)
	d.spawn(d.reloadLoop)
}

// Close gives the zone up: it waits for every start and stop under way, and
// whoever waits for a job is told that the home has moved.
func (d *Dispatcher) Close() error {
	d.closing.Lock()
	d.closed = true
	d.closing.Unlock()
	d.cancel()
	d.tasks.Wait()
	d.releaseWaiting()
	return d.Ledger.Close()
}

// spawn runs task in a goroutine that Close waits for, unless it has begun to close.
func (d *Dispatcher) spawn(task func()) {
	d.closing.Lock()
	defer d.closing.Unlock()
	if d.closed {
		return
	}
	d.tasks.Go(task)
}

// Signal asks for a planning round; many calls lead to one.
func (d *Dispatcher) Signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
