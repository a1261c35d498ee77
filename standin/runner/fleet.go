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

// Fault is the way in which one call to a worker fails.
type Fault uint8

// The faults that can be injected into a call.
const (
	None Fault = iota
	// Lost calls are neither executed nor answered.
	Lost
	// Unanswered calls are executed, but their replies are lost.
	Unanswered
	// Late calls are executed after LateBy and never answered.
	Late
	// Refused calls fail at once, with an error saying that nothing was sent.
	Refused
)

// LateBy is the delay after which late calls are executed.
const LateBy = 4 * time.Second

// Fleet simulates a set of workers, including the state that the members of a
// gang share across workers.
type Fleet struct {
	// LeaseLimit caps the duration of a lease, GangTimeout is the time that members
	// wait for their gang to be complete, and StopTime is the time between a stop
	// call and the end of the attempt.
	LeaseLimit  time.Duration
	GangTimeout time.Duration
	StopTime    time.Duration
	// ListedEnds is the most ends that one report lists, the oldest first; the others
	// are listed once these are acknowledged.
	ListedEnds int
	// Connections is the most calls to a worker at a time; further ones are refused.
	Connections int
	// MaxWait is the longest wait of a renewal; longer ones are cut short.
	MaxWait time.Duration
	// GangSize returns the number of members of a task's gang; nil makes every
	// task a gang of one.
	GangSize func(task workflow.Task) int
	// RunTime and Outcome return how long an attempt runs on a worker and how it
	// ends; nil means one second and workflow.Done.
	RunTime func(task workflow.Task, attempt int, worker workflow.WorkerID) time.Duration
	Outcome func(task workflow.Task, attempt int, worker workflow.WorkerID) workflow.Outcome
	// Slowdown returns how many times as long a task takes while others run on its
	// worker; nil means that tasks do not slow each other down.
	Slowdown func(task workflow.Task, beside []workflow.Task) float64
	// Checkpoint is the checkpoint of every attempt; empty is none.
	Checkpoint string
	// Fault returns the fault of each call by the call's name, such as "Start";
	// nil injects no faults.
	Fault func(call string, worker workflow.WorkerID) Fault

	mu      sync.Mutex
	workers map[workflow.WorkerID]*worker
	// open counts the calls to each worker that are under way.
	open map[workflow.WorkerID]int
	// ordered holds the IDs of the workers, sorted.
	ordered []workflow.WorkerID
	runs    []*Run
}

// Run is one attempt that a worker started.
type Run struct {
	Task    workflow.Task
	Attempt int
	Worker  workflow.WorkerID
	Term    scheduling.Term
	Started time.Time
	// Ended is zero while the attempt runs.
	Ended   time.Time
	Outcome workflow.Outcome
	// Acknowledged is when the scheduler acknowledged the end. It stays zero if the
	// worker's lease expired between the end and the acknowledgement, because
	// the scheduler disregards such an end.
	Acknowledged time.Time
	// lapsed is set if the lease expired after the end and before its acknowledgement.
	lapsed bool

	endNumber   int64
	stopsAt     time.Time
	workStarted time.Time
	// lost is the time lost to neighbours until accountedAt.
	lost        time.Duration
	accountedAt time.Time
}

type worker struct {
	info           workflow.Worker
	startedAt      time.Time
	term           scheduling.Term
	leaseExpiry    time.Time
	lastEndNumber  int64
	running        []*Run
	unacknowledged []*Run
	// lastEnded holds the highest attempt of each task that was stopped or ended
	// on this worker; this attempt and earlier ones are never started again.
	lastEnded map[workflow.Task]int
}

// New returns a fleet without workers.
func New() *Fleet {
	return &Fleet{
		LeaseLimit: 6 * time.Second, GangTimeout: 3 * time.Second, StopTime: 300 * time.Millisecond, ListedEnds: 500,
		Connections: 64, MaxWait: 2 * time.Second,
		workers: make(map[workflow.WorkerID]*worker), open: make(map[workflow.WorkerID]int),
	}
}

// Add adds a worker or simulates the restart of a known one: attempts that ran
// on it are lost, and the other members of their gangs end too.
func (f *Fleet) Add(info workflow.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	if old, known := f.workers[info.ID]; known {
		for len(old.running) > 0 {
			f.endAttempt(old.running[0], workflow.Lost, time.Now())
		}
	} else {
		i, _ := slices.BinarySearch(f.ordered, info.ID)
		f.ordered = slices.Insert(f.ordered, i, info.ID)
	}
	f.workers[info.ID] = &worker{info: info, startedAt: time.Now(), lastEnded: make(map[workflow.Task]int)}
}

// Workers returns the workers as they are registered.
func (f *Fleet) Workers() (list []workflow.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		list = append(list, w.info)
	}
	return list
}

// Runs returns all attempts so far in start order.
func (f *Fleet) Runs() (list []Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	for _, r := range f.runs {
		list = append(list, *r)
	}
	return list
}

// Calls returns the functions through which the scheduler calls the workers.
func (f *Fleet) Calls() scheduling.WorkerCalls {
	return scheduling.WorkerCalls{
		Start: func(ctx context.Context, at workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
			if err := f.connect("Start", at); err != nil {
				return "", err
			}
			defer f.disconnect(at)
			return f.start(ctx, at, order)
		},
		Stop: func(ctx context.Context, at workflow.Worker, order scheduling.StopOrder) error {
			if err := f.connect("Stop", at); err != nil {
				return err
			}
			defer f.disconnect(at)
			return f.stop(ctx, at, order)
		},
		Renew: func(ctx context.Context, at workflow.Worker, order scheduling.RenewOrder) (workflow.Report, error) {
			if err := f.connect("Renew", at); err != nil {
				return workflow.Report{}, err
			}
			defer f.disconnect(at)
			return f.renew(ctx, at, order)
		},
	}
}

// connect counts a call to the worker, and refuses it if the worker accepts no more.
func (f *Fleet) connect(call string, at workflow.Worker) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[at.ID] >= f.Connections {
		return state.NewStepError(call, at.Address, state.WorkerSilent, nil)
	}
	f.open[at.ID]++
	return nil
}

func (f *Fleet) disconnect(at workflow.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[at.ID]--
}

// perform executes a call on a worker under the lock, subject to the fault
// injected for it.
func (f *Fleet) perform(ctx context.Context, call string, id workflow.WorkerID, execute func(w *worker)) error {
	fault := None
	if f.Fault != nil {
		fault = f.Fault(call, id)
	}
	f.mu.Lock()
	target := f.workers[id]
	f.mu.Unlock()
	executeLocked := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.advance()
		// A late call has no effect on a worker that restarted in the meantime.
		if w, known := f.workers[id]; known && w == target {
			execute(w)
		}
	}
	switch fault {
	case None:
		executeLocked()
		return nil
	case Refused:
		return state.NewStepError(call, netip.AddrPort{}, state.WorkerSilent, nil)
	case Unanswered:
		executeLocked()
	case Late:
		time.AfterFunc(LateBy, executeLocked)
	}
	<-ctx.Done()
	return state.NewAmbiguousStepError(call, netip.AddrPort{}, state.WorkerSilent, ctx.Err())
}

func (f *Fleet) start(ctx context.Context, at workflow.Worker, order scheduling.StartOrder) (scheduling.StartResult, error) {
	var result scheduling.StartResult
	err := f.perform(ctx, "Start", at.ID, func(w *worker) { result = f.startAttempt(w, order) })
	if err != nil {
		return "", err // a late call may still write result
	}
	return result, nil
}

func (f *Fleet) startAttempt(w *worker, order scheduling.StartOrder) scheduling.StartResult {
	if order.Term < w.term {
		return scheduling.RefusedTerm
	}
	w.term = order.Term
	for _, r := range w.running {
		if r.Task == order.Task && r.Attempt == order.Attempt {
			return scheduling.Started
		}
	}
	if order.Attempt <= w.lastEnded[order.Task] {
		return scheduling.RefusedOld
	}
	if w.clock() > order.Until {
		return scheduling.RefusedLate
	}
	w.markLapsed()
	w.extendLease(time.Now().Add(min(order.Until-w.clock(), f.LeaseLimit)))
	r := &Run{Task: order.Task, Attempt: order.Attempt, Worker: w.info.ID, Term: order.Term, Started: time.Now()}
	w.running = append(w.running, r)
	f.runs = append(f.runs, r)
	f.advance()
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
		w.lastEnded[order.Task] = max(w.lastEnded[order.Task], order.Attempt)
		for _, r := range w.running {
			if r.Task == order.Task && r.Attempt == order.Attempt && r.stopsAt.IsZero() {
				r.stopsAt = time.Now().Add(f.StopTime)
			}
		}
	})
	if err != nil {
		return err
	}
	return refused
}

// renew polls until there is an end to report or order.Wait is over. It fails if
// the worker restarts in the meantime, as a restart closes real connections.
func (f *Fleet) renew(ctx context.Context, at workflow.Worker, order scheduling.RenewOrder) (workflow.Report, error) {
	const pollInterval = 5 * time.Millisecond
	deadline := time.Now().Add(min(order.Wait, f.MaxWait))
	f.mu.Lock()
	original := f.workers[at.ID]
	f.mu.Unlock()
	for first := true; ; first = false {
		var report workflow.Report
		var refused error
		call := "Renew"
		if !first {
			call = "RenewWait"
		}
		if err := f.perform(ctx, call, at.ID, func(w *worker) {
			if w == original {
				report, refused = f.report(w, order)
				order.Acknowledged = 0 // it holds for the ends when the call arrives
				return
			}
			refused = state.NewAmbiguousStepError("Renew", at.Address, state.WorkerSilent, nil)
		}); err != nil {
			return workflow.Report{}, err
		}
		if refused != nil || len(report.Ended) > 0 || !time.Now().Before(deadline) {
			return report, refused
		}
		select {
		case <-ctx.Done():
			return workflow.Report{}, state.NewAmbiguousStepError("Renew", at.Address, state.WorkerSilent, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

func (f *Fleet) report(w *worker, order scheduling.RenewOrder) (workflow.Report, error) {
	if order.Term < w.term {
		return workflow.Report{}, scheduling.ErrTermEnded
	}
	w.term = order.Term
	w.markLapsed()
	if order.Until > 0 {
		w.extendLease(time.Now().Add(min(order.Until-w.clock(), f.LeaseLimit)))
	}
	w.unacknowledged = slices.DeleteFunc(w.unacknowledged, func(r *Run) bool {
		if r.endNumber <= order.Acknowledged && !r.lapsed {
			r.Acknowledged = time.Now()
		}
		return r.endNumber <= order.Acknowledged
	})
	report := workflow.Report{Incarnation: w.info.Incarnation, Clock: w.clock()}
	for _, r := range w.running {
		report.Running = append(report.Running, workflow.RunningTask{Task: r.Task, Attempt: r.Attempt, Checkpoint: f.Checkpoint, Percent: f.percent(r)})
	}
	listed := min(len(w.unacknowledged), f.ListedEnds)
	report.MoreEnds = listed < len(w.unacknowledged)
	for _, r := range w.unacknowledged[:listed] {
		report.Ended = append(report.Ended, workflow.EndedTask{Number: r.endNumber, Task: r.Task, Attempt: r.Attempt, Outcome: r.Outcome, Checkpoint: f.checkpointOf(r)})
	}
	return report, nil
}

// markLapsed marks the unacknowledged ends as lapsed if the lease has expired.
func (w *worker) markLapsed() {
	if !time.Now().After(w.leaseExpiry) {
		return
	}
	for _, r := range w.unacknowledged {
		r.lapsed = true
	}
}

func (w *worker) extendLease(until time.Time) {
	if until.After(w.leaseExpiry) {
		w.leaseExpiry = until
	}
}

// clock returns the time since the worker started; real workers report the same.
func (w *worker) clock() time.Duration { return time.Since(w.startedAt) }

func (f *Fleet) percent(r *Run) int {
	if r.workStarted.IsZero() {
		return 0
	}
	// A member of a gang that has done its work waits for the slower ones.
	return min(100, int(100*(time.Since(r.workStarted)-r.lost)/(f.runTime(r)-r.lost)))
}

// runTime returns the whole run time of the attempt, with the time lost so far.
func (f *Fleet) runTime(r *Run) time.Duration {
	if f.RunTime == nil {
		return time.Second + r.lost
	}
	return f.RunTime(r.Task, r.Attempt, r.Worker) + r.lost
}

// errNotRunning indicates a bug in the simulation itself.
var errNotRunning = errors.New("simulated workers: an attempt ended that its worker was not running")

// checkpointOf returns the checkpoint that an end brings: a stop takes one.
func (f *Fleet) checkpointOf(r *Run) string {
	if r.Outcome == workflow.Stopped {
		return f.Checkpoint
	}
	return ""
}
