package worker

import (
	"net/netip"
	"sync"
	"time"

	"comfreystream/state"
)

// Worker grants leases and simulates the tasks under them with timers. It is safe
// for concurrent use.
type Worker struct {
	// Now returns the current time; tests may replace it before the worker is used.
	Now func() time.Time

	mu          sync.Mutex
	info        state.Worker
	token       state.Token
	lastLeaseID state.LeaseID
	version     uint64
	changed     chan struct{}
	tasks       map[state.JobAttempt]*task
	voided      map[state.JobAttempt]bool
	startCounts map[state.JobID]int
	faults      Faults
	closed      bool
}

// Faults selects the faults of a worker; the zero value has none.
type Faults struct {
	// FailTasks makes each task crash as soon as it starts.
	FailTasks bool
	// RefuseHolds makes the worker refuse each request for a lease.
	RefuseHolds bool
	// Silent makes the worker leave all requests over the network unanswered.
	Silent bool
	// LoseStartAnswers executes start requests, but loses their replies.
	LoseStartAnswers bool
}

type task struct {
	record      state.Task
	version     uint64
	confirmed   bool
	plan        taskPlan
	startedAt   time.Time
	finishTimer *time.Timer
	expiryTimer *time.Timer
}

// New returns a worker with the given description.
func New(info state.Worker) *Worker {
	return &Worker{
		Now:         time.Now,
		info:        info,
		changed:     make(chan struct{}),
		tasks:       make(map[state.JobAttempt]*task),
		voided:      make(map[state.JobAttempt]bool),
		startCounts: make(map[state.JobID]int),
	}
}

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Faults returns the injected faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Leave marks the worker as leaving; from then on it refuses new leases.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Leaving = true
	w.notifyChange()
}

// Address returns the worker's address.
func (w *Worker) Address() netip.AddrPort { return w.info.Address }

// Describe returns the worker as it appears in the instance list.
func (w *Worker) Describe() state.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info
}

// CountStarts returns how many times the job was started on this worker.
func (w *Worker) CountStarts(job state.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startCounts[job]
}

// Phase returns the phase of an attempt on this worker; found is false if the
// worker does not know the attempt.
func (w *Worker) Phase(attempt state.JobAttempt) (phase state.TaskPhase, found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, found := w.tasks[attempt]
	if !found {
		return 0, false
	}
	return t.record.Phase, true
}

// Running returns the attempts that are running.
func (w *Worker) Running() (attempts []state.JobAttempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for attempt, t := range w.tasks {
		if t.record.Phase == state.TaskRunning {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// Close stops all timers; those that have already fired have no further effect.
func (w *Worker) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, t := range w.tasks {
		w.stopTimers(t)
	}
	return nil
}
