package runner

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/scheduling"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

// Fault is what happens to one order.
type Fault uint8

// The faults.
const (
	None Fault = iota
	// Lost orders do nothing and are never answered.
	Lost
	// Unanswered orders are carried out, but never answered.
	Unanswered
	// Late orders are not answered and carried out LateBy later.
	Late
	// Refused connections answer at once that nothing was sent.
	Refused
)

// LateBy is when late orders are carried out.
const LateBy = 4 * time.Second

// Fleet is a number of workers and what they know of gangs together.
type Fleet struct {
	// LeaseLimit is the longest lease, GangTimeout how long members wait for
	// the rest, StopTime how long a stop takes.
	LeaseLimit  time.Duration
	GangTimeout time.Duration
	StopTime    time.Duration
	// GangSize returns the members of a task's gang, 1 for a single task.
	GangSize func(task workflow.Task) int
	// RunTime and Outcome tell how an attempt goes on a worker; nil is one
	// second and done.
	RunTime func(task workflow.Task, attempt int, worker workflow.WorkerID) time.Duration
	Outcome func(task workflow.Task, attempt int, worker workflow.WorkerID) workflow.Outcome
	// Fault decides on each order by its name, as in "Start"; nil is none.
	Fault func(call string, worker workflow.WorkerID) Fault

	mu      sync.Mutex
	workers map[workflow.WorkerID]*worker
	runs    []*Run
}

// Run is one attempt that a worker began.
type Run struct {
	Task    workflow.Task
	Attempt int
	Worker  workflow.WorkerID
	Term    scheduling.Term
	Began   time.Time
	// Ended is zero while it runs.
	Ended   time.Time
	Outcome workflow.Outcome
	// Noted is when its end was acknowledged, if it was and if the worker's
	// lease had not run out since the end: then the end counts for nothing.
	Noted time.Time
	// lapsed is set once the lease has run out since the end.
	lapsed bool

	number   int64
	stopping time.Time
	working  time.Time
}

type worker struct {
	info     workflow.Worker
	born     time.Time
	term     scheduling.Term
	deadline time.Time
	number   int64
	running  []*Run
	ends     []*Run
	// barred holds the highest attempt of each task that stopped or ended here.
	barred map[workflow.Task]int
}

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{
		LeaseLimit: 6 * time.Second, GangTimeout: 3 * time.Second, StopTime: 300 * time.Millisecond,
		workers: make(map[workflow.WorkerID]*worker),
	}
}

// Add adds a worker, or begins a new life of one: what ran there is lost, and
// the rest of its gangs ends with it.
func (f *Fleet) Add(info workflow.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proceed()
	if old, known := f.workers[info.ID]; known {
		for len(old.running) > 0 {
			f.end(old.running[0], workflow.Lost, time.Now())
		}
	}
	f.workers[info.ID] = &worker{info: info, born: time.Now(), barred: make(map[workflow.Task]int)}
}

// Workers returns the workers as they register.
func (f *Fleet) Workers() (list []workflow.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		list = append(list, w.info)
	}
	return list
}

// Runs returns all attempts so far, in the order of their beginning.
func (f *Fleet) Runs() (list []Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proceed()
	for _, r := range f.runs {
		list = append(list, *r)
	}
	return list
}

// Calls returns the workers as the scheduler uses them.
func (f *Fleet) Calls() scheduling.WorkerCalls {
	return scheduling.WorkerCalls{Start: f.start, Stop: f.stop, Renew: f.renew}
}

func (f *Fleet) perform(ctx context.Context, call string, id workflow.WorkerID, carryOut func(w *worker)) error {
	fault := None
	if f.Fault != nil {
		fault = f.Fault(call, id)
	}
	f.mu.Lock()
	target := f.workers[id]
	f.mu.Unlock()
	locked := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.proceed()
		// An order that is carried out late ends with the life that it reached.
		if w, known := f.workers[id]; known && w == target {
			carryOut(w)
		}
	}
	switch fault {
	case None:
		locked()
		return nil
	case Refused:
		return state.NewStepError(call, netip.AddrPort{}, state.WorkerSilent, nil)
	case Unanswered:
		locked()
	case Late:
		time.AfterFunc(LateBy, locked)
	}
	<-ctx.Done()
	return state.AmbiguousStep(call, netip.AddrPort{}, state.WorkerSilent, ctx.Err())
}

func (f *Fleet) start(ctx context.Context, at workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
	var result scheduling.StartResult
	err := f.perform(ctx, "Start", at.ID, func(w *worker) { result = f.begin(w, order) })
	if err != nil {
		return "", err // a late order may still write the result
	}
	return result, nil
}

func (f *Fleet) begin(w *worker, order scheduling.StartOrder) scheduling.StartResult {
	if order.Term < w.term {
		return scheduling.RefusedTerm
	}
	w.term = order.Term
	for _, r := range w.running {
		if r.Task == order.Task && r.Attempt == order.Attempt {
			return scheduling.Started
		}
	}
	if order.Attempt <= w.barred[order.Task] {
		return scheduling.RefusedOld
	}
	if w.clock() > order.Until {
		return scheduling.RefusedLate
	}
	w.noteLapse()
	w.extend(time.Now().Add(min(order.Until-w.clock(), f.LeaseLimit)))
	r := &Run{Task: order.Task, Attempt: order.Attempt, Worker: w.info.ID, Term: order.Term, Began: time.Now()}
	w.running = append(w.running, r)
	f.runs = append(f.runs, r)
	f.proceed()
	return scheduling.Started
}

func (f *Fleet) stop(ctx context.Context, at workflow.Worker, order scheduling.StopOrder) error {
	var refused error
	err := f.perform(ctx, "Stop", at.ID, func(w *worker) {
		if order.Term < w.term {
			refused = scheduling.ErrTermEnded
			return
		}
		w.term = order.Term
		w.barred[order.Task] = max(w.barred[order.Task], order.Attempt)
		for _, r := range w.running {
			if r.Task == order.Task && r.Attempt == order.Attempt && r.stopping.IsZero() {
				r.stopping = time.Now().Add(f.StopTime)
			}
		}
	})
	if err != nil {
		return err
	}
	return refused
}

// renew looks every few milliseconds whether there is an end to tell; a call that
// waits ends with the life that it reached, as connections do.
func (f *Fleet) renew(ctx context.Context, at workflow.Worker, order scheduling.RenewOrder) (workflow.Report, error) {
	const lookInterval = 5 * time.Millisecond
	deadline := time.Now().Add(order.Wait)
	f.mu.Lock()
	reached := f.workers[at.ID]
	f.mu.Unlock()
	for first := true; ; first = false {
		var report workflow.Report
		var refused error
		call := "Renew"
		if !first {
			call = "RenewWait"
		}
		if err := f.perform(ctx, call, at.ID, func(w *worker) {
			if w == reached {
				report, refused = f.report(w, order)
				return
			}
			refused = state.AmbiguousStep("Renew", at.Address, state.WorkerSilent, nil)
		}); err != nil {
			return workflow.Report{}, err
		}
		if refused != nil || len(report.Ends) > 0 || !time.Now().Before(deadline) {
			return report, refused
		}
		select {
		case <-ctx.Done():
			return workflow.Report{}, state.AmbiguousStep("Renew", at.Address, state.WorkerSilent, ctx.Err())
		case <-time.After(lookInterval):
		}
	}
}

func (f *Fleet) report(w *worker, order scheduling.RenewOrder) (workflow.Report, error) {
	if order.Term < w.term {
		return workflow.Report{}, scheduling.ErrTermEnded
	}
	w.term = order.Term
	w.noteLapse()
	if order.Until > 0 {
		w.extend(time.Now().Add(min(order.Until-w.clock(), f.LeaseLimit)))
	}
	w.ends = slices.DeleteFunc(w.ends, func(r *Run) bool {
		if r.number <= order.Acknowledged && !r.lapsed {
			r.Noted = time.Now()
		}
		return r.number <= order.Acknowledged
	})
	report := workflow.Report{Life: w.info.Life, Clock: w.clock()}
	for _, r := range w.running {
		report.Running = append(report.Running, workflow.RunningTask{Task: r.Task, Attempt: r.Attempt, Percent: f.percent(r)})
	}
	for _, r := range w.ends {
		report.Ends = append(report.Ends, workflow.End{Number: r.number, Task: r.Task, Attempt: r.Attempt, Outcome: r.Outcome})
	}
	return report, nil
}

// noteLapse marks the ends that lie before a lease that has run out.
func (w *worker) noteLapse() {
	if !time.Now().After(w.deadline) {
		return
	}
	for _, r := range w.ends {
		r.lapsed = true
	}
}

func (w *worker) extend(until time.Time) {
	if until.After(w.deadline) {
		w.deadline = until
	}
}

// clock counts from the worker's start, as real ones do.
func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (f *Fleet) percent(r *Run) int {
	if r.working.IsZero() {
		return 0
	}
	return min(99, int(100*time.Since(r.working)/f.runTime(r)))
}

func (f *Fleet) runTime(r *Run) time.Duration {
	if f.RunTime == nil {
		return time.Second
	}
	return f.RunTime(r.Task, r.Attempt, r.Worker)
}

// errUnknownTask would be a fault of the stand-in itself.
var errUnknownTask = errors.New("an attempt that no worker runs has ended")
