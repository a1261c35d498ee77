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
	// recoveryTimeout bounds how long a new planner waits for reports of all
	// expected workers before its first planning round.
	recoveryTimeout = 3 * time.Second
	// workerDiscoveryTimeout is how long a new planner rejects no job as too
	// large for the zone while workers of the instance list are still
	// unreported.
	workerDiscoveryTimeout = 10 * time.Second
	// neverFitsRetryInterval is the time between two checks whether such a job
	// fits now.
	neverFitsRetryInterval = 300 * time.Millisecond
	// adoptionTimeout is how long the tasks of a running gang may take to be
	// reported before the gang counts as incomplete.
	adoptionTimeout = 6 * time.Second
	// outcomeRetention is how long an outcome is kept for its caller.
	outcomeRetention = 10 * time.Minute
	// reloadInterval is the time between two reads of the saved jobs. A planner
	// that was partitioned off may still save jobs after this one took over.
	reloadInterval = 20 * time.Second
	// sweepInterval is the time between two checks for expired records and
	// incomplete gangs.
	sweepInterval = time.Second
	// maxRecords bounds the jobs that a planner keeps, ended ones included.
	maxRecords = 200_000
)

// Dispatcher is the planner of one zone, from the moment this entry takes over
// the planner role until it gives it up. It is safe for concurrent use.
type Dispatcher struct {
	Now  func() time.Time
	Gang *gang.Starter
	// Checkpoint makes the attempt's members on a rack save their state.
	Checkpoint func(ctx context.Context, rack string, attempt state.JobAttempt) ([][]byte, error)
	// Claims are the store's records of which job owns the key of a
	// non-idempotent request.
	Claims *claim.Claims
	// Ledger stores accepted jobs whose callers do not wait.
	Ledger *ledger.Ledger
	// ExpectedWorkers lists the zone's workers in the instance list.
	ExpectedWorkers func() []netip.AddrPort
	// Event logs one event of a job; reason may be empty.
	Event func(event string, job state.JobID, reason state.Reason)
	// Count counts a refusal or retry by its reason.
	Count func(reason state.Reason)

	Planner      *planning.Planner
	Admission    *admission.Admission
	RetryBudgets *retry.Budgets
	Quarantine   *quarantine.Quarantine
	Estimates    *estimate.Estimates

	records  *state.Table[state.JobID, *record]
	outboxes *state.Table[string, *outbox]
	// workers says of each reported worker whether the home of its rack has read
	// its task list.
	workers   *state.Table[netip.AddrPort, bool]
	adoptions *state.Table[state.JobAttempt, *adoption]
	// adoptionsMu makes adding a task to an adoption and registering the
	// complete gang one step.
	adoptionsMu sync.Mutex

	queueWaits queueWaits
	tookOverAt time.Time
	// recovered is closed once every expected worker has been reported or
	// recoveryTimeout has passed, manifestApplied once a manifest is in force,
	// and savedJobsLoaded once the saved jobs of the zone have been read.
	recovered           chan struct{}
	recoveredOnce       sync.Once
	manifestApplied     chan struct{}
	manifestAppliedOnce sync.Once
	savedJobsLoaded     chan struct{}
	// lastReload holds the start time of the last reload that was caused by an
	// unknown job. Whoever receives it does the next reload and puts the new
	// time back.
	lastReload    chan time.Time
	planRequested chan struct{}
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	closeMu       sync.Mutex
	closed        bool
}

// New returns a dispatcher whose function fields must be set before Run.
func New(planner *planning.Planner) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		Now:             time.Now,
		Planner:         planner,
		Event:           func(string, state.JobID, state.Reason) {},
		Count:           func(state.Reason) {},
		ExpectedWorkers: func() []netip.AddrPort { return nil },
		records:         state.NewTable[state.JobID, *record](),
		outboxes:        state.NewTable[string, *outbox](),
		workers:         state.NewTable[netip.AddrPort, bool](),
		adoptions:       state.NewTable[state.JobAttempt, *adoption](),
		recovered:       make(chan struct{}),
		manifestApplied: make(chan struct{}),
		savedJobsLoaded: make(chan struct{}),
		lastReload:      make(chan time.Time, 1),
		planRequested:   make(chan struct{}, 1),
		ctx:             ctx,
		cancel:          cancel,
	}
}

// Run starts the planning, sweep and reload loops and returns at once.
func (d *Dispatcher) Run() {
	d.tookOverAt = d.Now()
	d.lastReload <- time.Time{}
	d.spawn(d.planLoop)
	d.spawn(d.sweepLoop)
	d.spawn(d.reloadLoop)
}

// Close gives up the planner role. It waits for every start and stop in
// progress; callers that wait for a job get homeMoved.
func (d *Dispatcher) Close() error {
	d.closeMu.Lock()
	d.closed = true
	d.closeMu.Unlock()
	d.cancel()
	d.goroutines.Wait()
	d.releaseUnstartedClaims()
	return d.Ledger.Close()
}

// spawn runs work in a goroutine that Close waits for, unless Close has been
// called.
func (d *Dispatcher) spawn(work func()) {
	d.closeMu.Lock()
	defer d.closeMu.Unlock()
	if d.closed {
		return
	}
	d.goroutines.Go(work)
}

// RequestPlan requests a planning round; pending requests are merged into one.
func (d *Dispatcher) RequestPlan() {
	select {
	case d.planRequested <- struct{}{}:
	default:
	}
}
