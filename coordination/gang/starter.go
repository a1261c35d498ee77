package gang

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/state"
)

const (
	holdTTL        = 8 * time.Second
	holdTimeout    = 400 * time.Millisecond
	releaseTimeout = 300 * time.Millisecond
	startTimeout   = time.Second
	// startAllTimeout bounds all starts of a gang; a rack that changes homes has
	// its next one within two seconds.
	startAllTimeout    = 3 * time.Second
	startRetryInterval = 50 * time.Millisecond
	stopTimeout        = time.Second
	firstStopBackoff   = 100 * time.Millisecond
	maxStopTries       = 3
)

// Starter starts gangs through the homes of their racks; it has no state between
// calls and is safe for concurrent use.
type Starter struct {
	// Now returns the time with its monotonic reading.
	Now func() time.Time
	// Hold takes leases for all the placements in the rack or for none, and does
	// not wait for capacity. The leases' Expires is on Now's clock. Errors are
	// state.StepError, and ambiguous if the rack may hold leases nevertheless.
	Hold func(ctx context.Context, rack string, request HoldRequest) ([]state.Lease, error)
	// Commit, unless nil, is called once every member is held and before the
	// first start is sent; an error ends the attempt with nothing started.
	Commit func(job state.JobID, attempt state.Attempt) error
	// Start starts the members under the leases; if it returns an error, any of
	// them may have been started.
	Start func(ctx context.Context, rack string, leases []state.Lease) error
	// Stop is idempotent: it voids the attempt's leases in the rack, refuses its
	// later holds and starts, and stops its tasks. It returns neverStarted only
	// if every worker of the rack confirmed that no member was ever started.
	Stop func(ctx context.Context, rack string, job state.JobID, attempt state.Attempt) (neverStarted bool, err error)
}

// HoldRequest asks the home of one rack for leases on its workers.
type HoldRequest struct {
	Job        *state.Job
	Attempt    state.Attempt
	Placements []state.Placement
	// TTL is how long the leases last unless they are renewed.
	TTL time.Duration
}

// Result is the result of starting a gang.
type Result struct {
	Started bool
	// Leases holds the leases of a started gang, in the order of their racks.
	Leases []state.Lease
	// Ran is NotRun only if no member was started or can still be started.
	Ran state.Ran
	// Reason is empty for a started gang.
	Reason state.Reason
	// Failed lists the workers that failed, without those that only refused.
	Failed []netip.AddrPort
	// Refused lists the workers that only refused.
	Refused []netip.AddrPort
}

// Run holds all the placements and then starts them all, or leaves none running;
// it returns within seconds, even if racks do not answer. It takes the racks in
// the order of their names and never waits for capacity, so that of two
// starters that need the same racks one always proceeds.
func (s *Starter) Run(ctx context.Context, job *state.Job, attempt state.Attempt, placements []state.Placement) Result {
	if job.Members < 1 || state.Members(placements) != job.Members {
		return Result{Ran: state.NotRun, Reason: state.BadRequest}
	}
	g := newGang(job, attempt, placements)
	f := s.holdAll(ctx, g)
	if f == nil {
		f = s.commit(g)
	}
	if f != nil {
		s.release(ctx, g)
		return f.result(state.NotRun)
	}
	f = s.startAll(ctx, g)
	if f == nil {
		return Result{Started: true, Leases: g.leases(), Ran: state.OutcomeUnknown}
	}
	return f.result(s.stopFailedStart(ctx, g))
}

// Abort stops an attempt in the racks, as for a cancel or after its starter was
// lost. It returns neverStarted only if every rack confirmed it, and false
// without racks. It continues after ctx has ended.
func (s *Starter) Abort(ctx context.Context, job state.JobID, attempt state.Attempt, racks []string) (neverStarted bool, err error) {
	if len(racks) == 0 {
		return false, nil
	}
	return s.stopAll(ctx, job, attempt, racks)
}
