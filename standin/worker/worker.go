package worker

import (
	"net/netip"
	"sync"
	"time"

	"comfreystream/state"
)

// Worker grants leases and pretends to run tasks; it is safe for several goroutines.
type Worker struct {
	Now func() time.Time

	mu      sync.Mutex
	self    state.Worker
	token   state.Token
	nextID  state.LeaseID
	version uint64
	changed chan struct{}
	tasks   map[state.JobAttempt]*task
	voided  map[state.JobAttempt]bool
	started map[state.JobID]int
	faults  Faults
	closed  bool
}

// Faults switches what goes wrong on a worker.
type Faults struct {
	// FailTasks makes each task crash at once.
	FailTasks bool
	// RefuseHolds makes each request for a lease fail.
	RefuseHolds bool
	// Silent makes the worker answer nothing; the protocol's handler looks at it.
	Silent bool
	// LoseStartAnswers lets starts take effect and loses their answers.
	LoseStartAnswers bool
}

type task struct {
	record    state.Task
	version   uint64
	confirmed bool
	plan      taskPlan
	begun     time.Time
	end       *time.Timer
	expiry    *time.Timer
}

// New returns a worker with the given description.
func New(self state.Worker) *Worker {
	return &Worker{
		Now:     time.Now,
		self:    self,
		changed: make(chan struct{}),
		tasks:   make(map[state.JobAttempt]*task),
		voided:  make(map[state.JobAttempt]bool),
		started: make(map[state.JobID]int),
	}
}

// Set replaces the faults.
func (w *Worker) Set(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Faults returns the faults in force.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Leave marks the worker as leaving; it refuses new leases.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.self.Leaving = true
	w.wake()
}

// Address returns the worker's address.
func (w *Worker) Address() netip.AddrPort { return w.self.Address }

// Describe returns the worker as the instance list would.
func (w *Worker) Describe() state.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.self
}

// Starts returns how many times members of the job were started here.
func (w *Worker) Starts(job state.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started[job]
}

// Phase returns how far the attempt has come here, if it is known.
func (w *Worker) Phase(attempt state.JobAttempt) (phase state.TaskPhase, found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, found := w.tasks[attempt]
	if !found {
		return 0, false
	}
	return t.record.Phase, true
}

// Running returns the attempts whose members run now.
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

// Close stops all tasks; a timer that fires later finds the worker closed.
func (w *Worker) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, t := range w.tasks {
		w.stopTimers(t)
	}
	return nil
}
