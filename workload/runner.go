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

const progressEvery = time.Second

// Runner carries out a plan against entries.
type Runner struct {
	Plan    Plan
	Entries []netip.AddrPort

	Submit   func(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.Progress, error)
	Accept   func(ctx context.Context, entry netip.AddrPort, job *state.Job) (state.JobID, error)
	Await    func(ctx context.Context, entry netip.AddrPort, job state.JobID, wait time.Duration) (state.Progress, error)
	Cancel   func(ctx context.Context, entry netip.AddrPort, job state.JobID) error
	Overview func(ctx context.Context, entry netip.AddrPort) ([]byte, error)
	// Progress is called about each second.
	Progress func(counts Counts)

	results *results
	began   time.Time
	turns   chan struct{}
}

// New returns a runner that asks the entries through the client.
func New(plan Plan, client *caller.Client, entries []netip.AddrPort) *Runner {
	return &Runner{
		Plan: plan, Entries: entries,
		Submit: client.Submit, Accept: client.Accept, Await: client.Await,
		Cancel: client.Cancel, Overview: client.Overview,
		Progress: func(Counts) {},
	}
}

// Run sends every request when it is due, and returns when all are answered,
// when the plan's time is over or when ctx ends.
func (r *Runner) Run(ctx context.Context) *Report {
	r.results, r.began = newResults(), time.Now()
	r.turns = make(chan struct{}, r.Plan.InFlight)
	limited, cancel := context.WithTimeout(ctx, r.Plan.RunFor)
	defer cancel()
	watching, stopWatching := context.WithCancel(limited)
	var watchers, requests sync.WaitGroup
	watchers.Go(func() { r.sample(watching) })
	watchers.Go(func() { r.tell(watching) })
	notSent := r.send(limited, &requests)
	requests.Wait()
	stopWatching()
	watchers.Wait()
	return r.report(time.Since(r.began), notSent)
}

// send starts each request at its time and never waits for an answer.
func (r *Runner) send(ctx context.Context, running *sync.WaitGroup) (notSent int) {
	list := r.Plan.requests()
	for n, q := range list {
		if !pause.For(ctx, q.due-time.Since(r.began)) {
			return len(list) - n
		}
		r.results.due.Add(1)
		running.Go(func() { r.serve(ctx, q) })
	}
	return 0
}

// serve carries out one request once there is a turn for it.
func (r *Runner) serve(ctx context.Context, q request) {
	select {
	case r.turns <- struct{}{}:
	case <-ctx.Done():
		r.results.noteUnfinished(q.class)
		return
	}
	defer func() { <-r.turns }()
	r.results.noteSent(q.class, r.since(q.due))
	if q.class == CancelWave {
		r.wave(ctx, q)
		return
	}
	r.submit(ctx, q)
}

func (r *Runner) tell(ctx context.Context) {
	for pause.For(ctx, progressEvery) {
		r.Progress(r.results.counts())
	}
}

// since returns the time since the moment, which counts from the run's begin.
func (r *Runner) since(moment time.Duration) time.Duration {
	return time.Since(r.began) - moment
}

// entry returns the entry for a request's try; each try goes to the next one.
func (r *Runner) entry(q request, try int) netip.AddrPort {
	return r.Entries[(q.number+try)%len(r.Entries)]
}
