package dispatch

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"comfreystream/coordination/planning"
	"comfreystream/state"
)

// record is one job's shard: what is known of it, under its own lock.
type record struct {
	mu         sync.Mutex
	job        state.Job
	lifecycle  state.Lifecycle
	attempt    state.Attempt
	placements []state.Placement
	parts      map[netip.AddrPort]state.Task
	begun      time.Time
	whole      bool
	cancelled  bool
	// stopping is set while one goroutine ends the attempt.
	stopping bool
	// stopReason is why an attempt is to be stopped as soon as it has started.
	stopReason state.Reason
	// frozen is set once every member of the attempt is saved and makes no more progress.
	frozen bool
	// refused names the workers that refused to hold the job.
	refused []netip.AddrPort
	// resumed is set while the attempt goes on from what an earlier one saved.
	resumed bool
	// inherited is set while an earlier planner may have started the job.
	inherited bool
	// found is a gang of the job that another planner started, whole but not yet
	// taken over; the lock of all adoptions guards it.
	found *adoption
	// base is the number of the last attempt that another planner may have made.
	base state.Attempt
	// claimTried is set once the claim may be in the store.
	claimTried bool
	// claimed is set once the store holds the claim of a non-idempotent job.
	claimed bool
	// adopted is set for a job that was found running on workers.
	adopted bool
	// verdict is what the claim's record says of a job that may not start.
	verdict *state.Outcome
	// saved is set for a job that the ledger holds.
	saved bool
	// settled is set once the outcome is recorded where it must last.
	settled bool
	// fetched is set once the outcome was given to whoever asks for the job.
	fetched bool
	// forgotten is set once the workers were told to forget the job.
	forgotten bool
	ended     time.Time
	outcome   state.Outcome
	done      chan struct{}
}

func newRecord(job *state.Job) *record {
	return &record{job: *job, done: make(chan struct{})}
}

// inherit marks a job that an earlier planner may have started. The time of the
// takeover sets the attempts apart from those of other planners.
func (r *record) inherit(takeover time.Time) {
	r.inherited = true
	r.base = state.Attempt(takeover.Unix())
}

// begin notes a new attempt, unless the job has been cancelled or has ended.
func (r *record) begin(start planning.Start, now time.Time) error {
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
	r.parts = make(map[netip.AddrPort]state.Task, len(start.Placements))
	r.begun = now
	r.whole = false
	r.stopping = false
	r.stopReason = ""
	return nil
}

func (r *record) snapshot() state.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.job
}

// take notes a worker's part of the current attempt and says what follows from it.
func (r *record) take(t state.Task) partEffect {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Lease.Attempt != r.attempt || r.parts == nil || !r.isPlacedOn(t.Lease.Worker) {
		return partStale
	}
	r.parts[t.Lease.Worker] = t
	return r.effect()
}

func (r *record) isPlacedOn(worker netip.AddrPort) bool {
	return slices.ContainsFunc(r.placements, func(p state.Placement) bool { return p.Worker == worker })
}

// ran says what is known of the job's work, here and under earlier planners;
// the caller has the lock.
func (r *record) ran() state.Ran {
	if ran := r.lifecycle.Ran(); ran != state.NotRun || !r.inherited {
		return ran
	}
	return state.Unknown
}

// refusal returns the outcome of a job that gets no further attempt.
func (r *record) refusal(reason state.Reason) state.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := r.ran()
	return state.Outcome{Job: r.job.ID, Ran: ran, Reason: reason, Retry: ran == state.NotRun && reason.MayRetry()}
}

// effect says what the parts seen so far mean; the caller has the lock.
func (r *record) effect() partEffect {
	if !r.whole || r.stopping {
		return partNoted
	}
	done := 0
	for _, t := range r.parts {
		switch t.Phase {
		case state.TaskCrashed:
			return partCrashed
		case state.TaskStopped:
			return partLapsed
		case state.TaskDone:
			done++
		}
	}
	if done == len(r.placements) {
		return partsDone
	}
	return partNoted
}

// partEffect is what a worker's report means for the whole gang.
type partEffect uint8

const (
	partNoted partEffect = iota
	partStale
	partsDone
	partCrashed
	partLapsed
)

// claimEnd makes the caller the one who ends the attempt. One that has not
// started whole yet is ended by its starter, for the reason given.
func (r *record) claimEnd(attempt state.Attempt, reason state.Reason) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || r.attempt != attempt || !r.ended.IsZero() {
		return false
	}
	if !r.whole {
		r.stopReason = reason
		return false
	}
	r.stopping = true
	return true
}

// answer joins the members' answers in the order of the placements; the caller has the lock.
func (r *record) answer() (whole []byte) {
	for _, p := range r.placements {
		whole = append(whole, r.parts[p.Worker].Answer...)
	}
	return whole
}

// racksOf returns the racks of the placements, each once.
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

// crashed returns the workers whose members crashed.
func (r *record) crashed() (workers []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, t := range r.parts {
		if t.Phase == state.TaskCrashed {
			workers = append(workers, address)
		}
	}
	return workers
}
