package dispatch_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"comfreystream/coordination/admission"
	"comfreystream/coordination/claim"
	"comfreystream/coordination/dispatch"
	"comfreystream/coordination/estimate"
	"comfreystream/coordination/front"
	"comfreystream/coordination/gang"
	"comfreystream/coordination/lease"
	"comfreystream/coordination/ledger"
	"comfreystream/coordination/planning"
	"comfreystream/coordination/quarantine"
	"comfreystream/coordination/retry"
	"comfreystream/coordination/storage"
	"comfreystream/protocol/record"
	"comfreystream/standin/store"
	standin "comfreystream/standin/worker"
	"comfreystream/state"
)

const zoneName = "z"

var (
	capacity    = state.Resources{Slots: 8, Accelerators: 8, Cores: 32, MemoryBytes: 1 << 30}
	north       = state.Organisation{Name: "north", Share: 1}
	homeAddress = netip.MustParseAddrPort("127.0.0.1:1")
)

// zone is one availability zone without a network: workers, the home of their
// racks, the store, and the planners that held the role one after another.
type zone struct {
	t             *testing.T
	workers       map[netip.AddrPort]*standin.Worker
	workerList    []*standin.Worker
	store         *store.Store
	keeper        *lease.Keeper
	front         *front.Front
	organisations []state.Organisation
	pending       sync.WaitGroup
	// manifestDelay is how long a new planner has no manifest.
	manifestDelay time.Duration

	mu sync.Mutex
	// planners is indexed by the port of the planner's address, minus 100.
	planners []*planner
	// fault is called once, at the named step, before or after its effect.
	fault       func(z *zone)
	step        string
	loseReplies int
	// homeMovesUntil is the time until which the racks' home refuses steps with
	// homeMoved.
	homeMovesUntil time.Time
	// endedByRetryLimit counts the jobs ended by the retry budget or as failing
	// everywhere; idempotentNotRun counts the idempotent jobs that did not run.
	endedByRetryLimit, idempotentNotRun int
}

// planner is one holder of the planner role; a dead one neither sends nor
// receives calls.
type planner struct {
	*dispatch.Dispatcher
	zone    *zone
	address netip.AddrPort
	mu      sync.Mutex
	dead    bool
}

// newZone starts a zone with two workers per rack; its manifest has north and
// the other organisations.
func newZone(t *testing.T, workers int, others ...state.Organisation) *zone {
	z := &zone{t: t, organisations: append([]state.Organisation{north}, others...), workers: make(map[netip.AddrPort]*standin.Worker), store: store.New()}
	for n := range workers {
		self := state.Worker{
			Address:  netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+n)),
			Rack:     state.Rack{Name: fmt.Sprintf("r%d", n/2), AvailabilityZone: zoneName, Position: n / 2},
			Capacity: capacity,
		}
		w := standin.New(self)
		z.workers[self.Address] = w
		z.workerList = append(z.workerList, w)
	}
	z.keeper = lease.New(homeAddress)
	z.keeper.Workers = z.workerCalls()
	z.keeper.Report = z.report
	z.front = &front.Front{
		Now: time.Now, Count: func(state.Reason) {},
		Zones:   func(*state.Job) []string { return []string{zoneName} },
		Planner: func(string) (netip.AddrPort, bool) { return z.current().address, true },
		Submit: func(ctx context.Context, at netip.AddrPort, job state.Job, again bool) error {
			return z.callPlanner(at, func(p *planner) error { return p.Submit(ctx, job, again) })
		},
		Accept: func(ctx context.Context, at netip.AddrPort, job state.Job) error {
			return z.callPlanner(at, func(p *planner) error { return p.Accept(ctx, job) })
		},
		Await: func(ctx context.Context, at netip.AddrPort, job state.JobID, wait time.Duration) (progress state.Progress, err error) {
			err = z.callPlanner(at, func(p *planner) (err error) {
				progress, err = p.Await(ctx, job, wait)
				return err
			})
			return progress, err
		},
		Cancel: func(ctx context.Context, at netip.AddrPort, job state.JobID) error {
			return z.callPlanner(at, func(p *planner) error { return p.Cancel(ctx, job) })
		},
	}
	z.startPlanner()
	var described []state.Worker
	for _, w := range z.workerList {
		described = append(described, w.Describe())
	}
	z.keeper.SetWorkers(described)
	return z
}

// startPlanner gives the planner role to a new dispatcher without state.
func (z *zone) startPlanner() {
	p := &planner{zone: z}
	d := dispatch.New(planning.New(zoneName))
	calls := p.storeCalls()
	shared := storage.New(calls, 1000)
	p.Dispatcher = d
	d.Checkpoint = func(ctx context.Context, rack string, attempt state.JobAttempt) (saved [][]byte, err error) {
		err = p.call("checkpoint", func() (err error) {
			saved, err = z.keeper.Checkpoint(ctx, rack, attempt)
			return err
		})
		return saved, err
	}
	d.Claims = claim.New(shared, record.ClaimCodec())
	d.Ledger = ledger.New(shared, record.SegmentCodec(), zoneName)
	d.ExpectedWorkers = func() (all []netip.AddrPort) {
		for _, w := range z.workerList {
			all = append(all, w.Address())
		}
		return all
	}
	d.Estimates = estimate.New()
	d.Count = func(reason state.Reason) {
		z.mu.Lock()
		defer z.mu.Unlock()
		if reason == state.RetryBudgetSpent || reason == state.FailsEverywhere {
			z.endedByRetryLimit++
		}
	}
	d.RetryBudgets = retry.New(retry.DefaultSettings(), time.Now, func() float64 { return 0.5 })
	d.Quarantine = quarantine.New(time.Now, func(netip.AddrPort, bool) { d.RequestPlan() })
	d.Admission = admission.New(admission.DefaultSettings(), time.Now, func(state.Reason) {})
	d.Gang = &gang.Starter{
		Now: time.Now,
		Commit: func(job state.JobID, attempt state.Attempt) error {
			return p.call("commit", func() error { return d.Commit(job, attempt) })
		},
		Hold: func(ctx context.Context, rack string, r gang.HoldRequest) (leases []state.Lease, err error) {
			err = p.call("hold", func() (err error) {
				leases, err = z.keeper.Hold(ctx, rack, r.Job, r.Attempt, r.Placements, r.TTL)
				return err
			})
			return leases, err
		},
		Start: func(ctx context.Context, rack string, leases []state.Lease) error {
			if err := d.MayStart(); err != nil {
				return err
			}
			return p.call("start", func() error { return z.keeper.Start(ctx, rack, leases) })
		},
		Stop: func(ctx context.Context, rack string, job state.JobID, attempt state.Attempt) (never bool, err error) {
			name := state.JobAttempt{Job: job, Attempt: attempt}
			err = p.call("stop", func() (err error) {
				never, err = z.keeper.Stop(ctx, rack, name, d.PlacedWorkers(name, rack))
				return err
			})
			return never, err
		},
	}
	d.Planner.Estimate = d.Estimates.Estimate
	d.Planner.Usable = d.Usable
	manifest := &state.Manifest{Generation: 1, Weights: state.Weights{CompletionTime: 1}, Organisations: z.organisations}
	if z.manifestDelay == 0 {
		d.ApplyManifest(manifest)
	} else {
		z.later(z.manifestDelay, func() { d.ApplyManifest(manifest) })
	}
	z.mu.Lock()
	p.address = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(100+len(z.planners)))
	z.planners = append(z.planners, p)
	z.mu.Unlock()
	d.Run()
	// The instance does the same when it sees a new planner.
	z.keeper.ReportInFull()
}

func (z *zone) current() *planner {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.planners[len(z.planners)-1]
}

// kill makes the current planner unreachable as in a crash; the next one takes
// over after the time that the members need to notice.
func (z *zone) kill() {
	p := z.current()
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	z.later(3*time.Second, func() {
		z.startPlanner()
		_ = p.Close()
	})
}

// handOver closes the current planner while the next one takes over, as a drain
// does.
func (z *zone) handOver() {
	p := z.current()
	z.later(0, func() {
		z.startPlanner()
		_ = p.Close()
	})
}

// partitionPlanner has the next planner take over while the current one still
// reaches homes and store, but gets no reports or calls; it closes 15 s later.
func (z *zone) partitionPlanner() {
	p := z.current()
	z.startPlanner()
	z.later(15*time.Second, func() { _ = p.Close() })
}

func (z *zone) callPlanner(at netip.AddrPort, call func(p *planner) error) error {
	z.mu.Lock()
	p := z.planners[at.Port()-100]
	z.mu.Unlock()
	if p.isDead() {
		return state.NewStepError("call", at, state.HomeUnreachable, nil)
	}
	err := call(p)
	if p.isDead() {
		return state.NewAmbiguousStepError("call", at, state.ConnectionLost, nil)
	}
	return err
}

func (p *planner) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// moveHome leaves the racks without a home for some time.
func (z *zone) moveHome(away time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.homeMovesUntil = time.Now().Add(away)
}

// homeMoved returns the error of a planner's step while the racks have no home.
func (z *zone) homeMoved(step string) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !slices.Contains([]string{"hold", "start", "stop", "checkpoint"}, step) || !time.Now().Before(z.homeMovesUntil) {
		return nil
	}
	return state.NewStepError("find rack", homeAddress, state.HomeMoved, nil)
}

// call performs a step of the planner and injects the row's fault before or
// after it.
func (p *planner) call(step string, effect func() error) error {
	p.zone.injectFaultAt("before " + step)
	if p.isDead() {
		return state.NewAmbiguousStepError(step, p.address, state.ConnectionLost, nil)
	}
	if err := p.zone.homeMoved(step); err != nil {
		return err
	}
	err := effect()
	p.zone.injectFaultAt("after " + step)
	if p.isDead() {
		return state.NewAmbiguousStepError(step, p.address, state.ConnectionLost, nil)
	}
	return err
}

func (z *zone) injectFaultAt(step string) {
	z.mu.Lock()
	fault := z.fault
	if z.step != step || fault == nil {
		z.mu.Unlock()
		return
	}
	z.fault = nil
	z.mu.Unlock()
	fault(z)
}

func (z *zone) report(_ context.Context, report state.RackReport) (reply state.ReportReply, err error) {
	err = z.callPlanner(z.current().address, func(p *planner) (err error) {
		reply, err = p.Report(report)
		return err
	})
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.loseReplies > 0 {
		z.loseReplies--
		return state.ReportReply{}, state.NewAmbiguousStepError("report", homeAddress, state.ConnectionLost, nil)
	}
	return reply, err
}

func (p *planner) storeCalls() storage.Calls {
	calls := p.zone.store.Operations()
	write := calls.CompareAndSwap
	calls.CompareAndSwap = func(ctx context.Context, w state.Write) (version state.Version, err error) {
		err = p.call("write", func() (err error) {
			version, err = write(ctx, w)
			return err
		})
		return version, err
	}
	return calls
}

func (z *zone) workerCalls() lease.WorkerCalls {
	return lease.WorkerCalls{
		Attach: func(ctx context.Context, at netip.AddrPort) (token state.Token, err error) {
			err = z.callWorker(ctx, at, func(w *standin.Worker) (err error) { token, err = w.Attach(); return err })
			return token, err
		},
		Hold: func(ctx context.Context, at netip.AddrPort, r state.HoldRequest) (l state.Lease, err error) {
			err = z.callWorker(ctx, at, func(w *standin.Worker) (err error) { l, err = w.Hold(r); return err })
			return l, err
		},
		Start: func(ctx context.Context, at netip.AddrPort, token state.Token, a state.JobAttempt) error {
			return z.callWorker(ctx, at, func(w *standin.Worker) error { return w.Start(token, a) })
		},
		Stop: func(ctx context.Context, at netip.AddrPort, token state.Token, a state.JobAttempt) (never bool, err error) {
			err = z.callWorker(ctx, at, func(w *standin.Worker) (err error) { never, err = w.Stop(token, a); return err })
			return never, err
		},
		Checkpoint: func(ctx context.Context, at netip.AddrPort, token state.Token, a state.JobAttempt) (saved []byte, err error) {
			err = z.callWorker(ctx, at, func(w *standin.Worker) (err error) { saved, err = w.Checkpoint(token, a); return err })
			return saved, err
		},
		Renew: func(ctx context.Context, at netip.AddrPort, r state.RenewRequest) (reply state.RenewReply, err error) {
			err = z.callWorker(ctx, at, func(w *standin.Worker) (err error) { reply, err = w.Renew(ctx, r); return err })
			return reply, err
		},
	}
}

func (z *zone) callWorker(ctx context.Context, at netip.AddrPort, call func(w *standin.Worker) error) error {
	w := z.workers[at]
	if w.Faults().Silent {
		<-ctx.Done()
		return state.NewAmbiguousStepError("call worker", at, state.WorkerSilent, ctx.Err())
	}
	return call(w)
}

// later calls act after a delay; close waits for it.
func (z *zone) later(wait time.Duration, act func()) {
	z.pending.Go(func() {
		<-time.After(wait)
		act()
	})
}

func (z *zone) close() {
	z.pending.Wait()
	z.mu.Lock()
	planners := z.planners
	z.mu.Unlock()
	_ = z.keeper.Close()
	for _, p := range planners {
		_ = p.Close()
	}
	for _, w := range z.workerList {
		_ = w.Close()
	}
	z.store.Close()
}

func (z *zone) starts(job state.JobID) (total int) {
	for _, w := range z.workerList {
		total += w.CountStarts(job)
	}
	return total
}
