package workload

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/protocol/caller"
	"comfreystream/state"
)

const progressInterval = time.Second

// Runner executes a plan against entries. Its functions call an entry; tests replace
// them.
type Runner struct {
	Plan    Plan
	Entries []netip.AddrPort

	Submit   func(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.Progress, error)
	Accept   func(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.JobID, error)
	Await    func(ctx context.Context, entry netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error)
	Cancel   func(ctx context.Context, entry netip.AddrPort, job state.JobID) error
	Overview func(ctx context.Context, entry netip.AddrPort) ([]byte, error)
	// Progress is called once per second during the run.
	Progress func(counts Counts)

	results   *results
	startedAt time.Time
	inFlight  chan struct{}
}

// New returns a runner that calls the entries through the client.
func New(plan Plan, client *caller.Client, entries []netip.AddrPort) *Runner {
	return &Runner{
		Plan: plan, Entries: entries,
		Submit: client.Submit, Accept: client.Accept, Await: client.Await,
		Cancel: client.Cancel, Overview: client.Overview,
		Progress: func(Counts) {},
	}
}

// Run sends every request when it is due. It returns when all requests have an
// outcome, when the plan's RunFor is over, or when ctx ends.
func (r *Runner) Run(ctx context.Context) *Report {
	r.results, r.startedAt = newResults(), time.Now()
	r.inFlight = make(chan struct{}, r.Plan.InFlight)
	limited, cancel := context.WithTimeout(ctx, r.Plan.RunFor)
	defer cancel()
	observing, stopObserving := context.WithCancel(limited)
	var observers, requests sync.WaitGroup
	observers.Go(func() { r.sampleFragmentation(observing) })
	observers.Go(func() { r.reportProgress(observing) })
	notSent := r.send(limited, &requests)
	requests.Wait()
	stopObserving()
	observers.Wait()
	return r.report(time.Since(r.startedAt), notSent)
}

// send starts each request when it is due, without waiting for the outcomes of others.
// It returns the number of requests not sent before ctx ended.
func (r *Runner) send(ctx context.Context, running *sync.WaitGroup) (notSent int) {
	list := r.Plan.requests()
	for n, q := range list {
		if !pause.For(ctx, q.due-time.Since(r.startedAt)) {
			return len(list) - n
		}
		r.results.due.Add(1)
		running.Go(func() { r.process(ctx, q) })
	}
	return 0
}

// process handles one request once fewer than the maximum are in flight.
func (r *Runner) process(ctx context.Context, q request) {
	select {
	case r.inFlight <- struct{}{}:
	case <-ctx.Done():
		r.results.countUnfinished(q.class)
		return
	}
	defer func() { <-r.inFlight }()
	r.results.countSent(q.class, r.elapsedSince(q.due))
	if q.class == CancelWave {
		r.runCancelWave(ctx, q)
		return
	}
	r.submit(ctx, q)
}

func (r *Runner) reportProgress(ctx context.Context) {
	for pause.For(ctx, progressInterval) {
		r.Progress(r.results.counts())
	}
}

// elapsedSince returns the time elapsed since an offset from the start of the run.
func (r *Runner) elapsedSince(offset time.Duration) time.Duration {
	return time.Since(r.startedAt) - offset
}

// entry returns the entry for an attempt to send a request; each attempt goes to the
// next entry.
func (r *Runner) entry(q request, try int) netip.AddrPort {
	return r.Entries[(q.number+try)%len(r.Entries)]
}
