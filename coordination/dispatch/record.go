package dispatch

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"comfreystream/coordination/planning"
	"comfreystream/state"
)

// record is the shard of one job: its state under its own lock.
type record struct {
	mu             sync.Mutex
	job            state.Job
	lifecycle      state.Lifecycle
	attempt        state.Attempt
	placements     []state.Placement
	tasks          map[netip.AddrPort]state.Task
	attemptStarted time.Time
	fullyStarted   bool
	cancelled      bool
	// ending is set while one goroutine ends the attempt.
	ending bool
	// stopReason is why the attempt must be stopped as soon as it has started.
	stopReason state.Reason
	// checkpointed is set once every member of the attempt is saved and makes no
	// more progress.
	checkpointed bool
	// refusedBy lists the workers that refused to hold the job.
	refusedBy []netip.AddrPort
	// fromCheckpoint is set while the attempt continues from a checkpoint of an
	// earlier one.
	fromCheckpoint bool
	// inherited is set while another planner may have started the job.
	inherited bool
	// foundGang is a complete gang of the job that another planner started and
	// this one has not adopted yet; Dispatcher.adoptionsMu guards it.
	foundGang *adoption
	// lastForeignAttempt is the highest attempt number that another planner may
	// have used.
	lastForeignAttempt state.Attempt
	// claimTried is set once the store may hold the claim.
	claimTried bool
	// claimed is set once the store holds the claim of a non-idempotent job.
	claimed bool
	// adopted is set for a job that was found running on workers.
	adopted bool
	// claimRefusal is the outcome of a job whose claim forbids the start.
	claimRefusal *state.Outcome
	// saved is set for a job that the ledger holds.
	saved bool
	// outcomeRecorded is set once the outcome is in the claim and the ledger,
	// where needed.
	outcomeRecorded bool
	// delivered is set once the outcome was returned to a caller.
	delivered bool
	// forgetSent is set once the workers were told to forget the job.
	forgetSent bool
	ended      time.Time
	outcome    state.Outcome
	done       chan struct{}
}

func newRecord(job *state.Job) *record {
	return &record{job: *job, done: make(chan struct{})}
}

// markInherited marks a job that another planner may have started. Attempts are
// numbered from the takeover time in Unix seconds, so that no two planners use
// the same number.
func (r *record) markInherited(takeover time.Time) {
	r.inherited = true
	r.lastForeignAttempt = state.Attempt(takeover.Unix())
}

// beginAttempt sets a new attempt, unless the job has been cancelled or has
// ended.
func (r *record) beginAttempt(start planning.Start, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled || !r.ended.IsZero() {
		return stepError("begin "+string(r.job.ID), state.Cancelled)
	}
	if err := r.lifecycle.Apply(state.HoldSent); err != nil {
		return err
	}
	r.attempt = start.Attempt
	r.placements = start.Placements
	r.tasks = make(map[netip.AddrPort]state.Task, len(start.Placements))
	r.attemptStarted = now
	r.fullyStarted = false
	r.ending = false
	r.stopReason = ""
	return nil
}

func (r *record) copyJob() state.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.job
}

// applyTask stores a worker's task of the current attempt and returns its
// effect.
func (r *record) applyTask(t state.Task) gangEffect {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Lease.Attempt != r.attempt || r.tasks == nil || !r.isPlacedOn(t.Lease.Worker) {
		return taskStale
	}
	r.tasks[t.Lease.Worker] = t
	return r.evaluateTasks()
}

func (r *record) isPlacedOn(worker netip.AddrPort) bool {
	return slices.ContainsFunc(r.placements, func(p state.Placement) bool { return p.Worker == worker })
}

// knownRan returns what is known of the job's execution, here and under other
// planners; the caller holds r.mu.
func (r *record) knownRan() state.Ran {
	if ran := r.lifecycle.Ran(); ran != state.NotRun || !r.inherited {
		return ran
	}
	return state.OutcomeUnknown
}

// refusal returns the outcome of a job that gets no further attempt.
func (r *record) refusal(reason state.Reason) state.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := r.knownRan()
	return state.Outcome{Job: r.job.ID, Ran: ran, Reason: reason, Retry: ran == state.NotRun && reason.MayRetry()}
}

// evaluateTasks returns what the tasks reported so far mean for the gang; the
// caller holds r.mu.
func (r *record) evaluateTasks() gangEffect {
	if !r.fullyStarted || r.ending {
		return gangUnchanged
	}
	done := 0
	for _, t := range r.tasks {
		switch t.Phase {
		case state.TaskCrashed:
			return gangCrashed
		case state.TaskStopped:
			return gangLapsed
		case state.TaskDone:
			done++
		}
	}
	if done == len(r.placements) {
		return gangDone
	}
	return gangUnchanged
}

// gangEffect is what a task report means for the whole gang.
type gangEffect uint8

const (
	// gangUnchanged means that the gang needs no action yet.
	gangUnchanged gangEffect = iota
	// taskStale means that the task is not part of the current attempt.
	taskStale
	// gangDone means that every member has finished.
	gangDone
	// gangCrashed means that a member crashed.
	gangCrashed
	// gangLapsed means that a worker stopped its members, because their lease
	// expired.
	gangLapsed
)

// tryBeginEnding reports whether the calling goroutine is the one to end the
// attempt. For an attempt that has not fully started it stores the reason, and
// the goroutine that starts the gang ends it.
func (r *record) tryBeginEnding(attempt state.Attempt, reason state.Reason) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ending || r.attempt != attempt || !r.ended.IsZero() {
		return false
	}
	if !r.fullyStarted {
		r.stopReason = reason
		return false
	}
	r.ending = true
	return true
}

// joinAnswers joins the members' answers in the order of the placements; the
// caller holds r.mu.
func (r *record) joinAnswers() (joined []byte) {
	for _, p := range r.placements {
		joined = append(joined, r.tasks[p.Worker].Answer...)
	}
	return joined
}

// racksOf returns the distinct racks of the placements.
func racksOf(placements []state.Placement) (racks []string) {
	seen := make(map[string]bool)
	for _, p := range placements {
		if !seen[p.Rack] {
			seen[p.Rack] = true
			racks = append(racks, p.Rack)
		}
	}
	return racks
}

// crashedWorkers returns the workers whose members crashed.
func (r *record) crashedWorkers() (workers []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, t := range r.tasks {
		if t.Phase == state.TaskCrashed {
			workers = append(workers, address)
		}
	}
	return workers
}
