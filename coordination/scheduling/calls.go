package scheduling

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// Term numbers the terms of successive planners. Workers refuse orders of an
// older term than the newest they have seen.
type Term int64

// ErrTermEnded reports that a newer planner has taken over.
var ErrTermEnded = errors.New("a newer planner has taken over")

// WorkerCalls holds the calls to a worker; every field must be set.
type WorkerCalls struct {
	Start func(ctx context.Context, worker workflow.Worker, order StartOrder) (StartResult, error)
	Stop  func(ctx context.Context, worker workflow.Worker, order StopOrder) error
	// Renew extends the worker's lease and returns its report. The worker answers
	// once an attempt ends, at the latest after order.Wait.
	Renew func(ctx context.Context, worker workflow.Worker, order RenewOrder) (workflow.Report, error)
}

// StartOrder starts one attempt of a task.
type StartOrder struct {
	Term       Term
	Task       workflow.Task
	Attempt    int
	Spec       string
	Checkpoint string
	// Until is the time of the worker's clock after which it refuses the order.
	Until time.Duration
}

// StopOrder stops one attempt of a task, or prevents its start.
type StopOrder struct {
	Term    Term
	Task    workflow.Task
	Attempt int
}

// RenewOrder renews the lease of a worker.
type RenewOrder struct {
	Term Term
	// Until is the new end of the lease in time of the worker's clock; 0 leaves it
	// unchanged.
	Until time.Duration
	// Acknowledged is the highest number of an end whose effect is saved, together
	// with that of all ends before it.
	Acknowledged int64
	// Wait bounds how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// StartResult is a worker's answer to a StartOrder.
type StartResult string

// The answers to a StartOrder. After a refusal, this order has had no effect.
const (
	Started StartResult = "started"
	// RefusedTerm: the worker has seen a newer term.
	RefusedTerm StartResult = "refusedTerm"
	// RefusedRoom: the worker lacks the capacity.
	RefusedRoom StartResult = "refusedRoom"
	// RefusedLate: the order came after its Until.
	RefusedLate StartResult = "refusedLate"
	// RefusedOld: this or a later attempt of the task has already stopped or ended.
	RefusedOld StartResult = "refusedOld"
	// RefusedUnhealthy: the worker reports itself unavailable.
	RefusedUnhealthy StartResult = "refusedUnhealthy"
	// RefusedOtherWorker: the order is for another worker than the one it reached.
	RefusedOtherWorker StartResult = "refusedOtherWorker"
	// RefusedInvalid: the worker calls the order malformed.
	RefusedInvalid StartResult = "refusedInvalid"
)

// ProgressUpdate is one record of a job's progress to store.
type ProgressUpdate struct {
	Job workflow.ID
	// Record numbers the records of a job. Record 0 has the job's status, and must not
	// be older in the store than the others.
	Record   int
	Progress workflow.Progress
	// Revision is the revision of the record to replace; 0 if there is none.
	Revision keyvalue.Revision
}

// StoredJob names a job and the records of its progress.
type StoredJob struct {
	ID      workflow.ID
	Records []int
}

// SaveResult is the outcome of saving one ProgressUpdate.
type SaveResult struct {
	// Revision is that of the stored record, as far as it is known.
	Revision keyvalue.Revision
	// Err is nil if the update is stored. It is ErrTermEnded if a newer planner has
	// taken over, and keyvalue.IsRefused if the record can never be stored as it is.
	Err error
	// CheckpointsLeftOut is set if the record is stored without checkpoints, with which
	// it would be too large.
	CheckpointsLeftOut bool
}

// Bounds holds the platform's limits that decisions depend on.
type Bounds struct {
	// LeaseLimit is the longest lease that a worker grants.
	LeaseLimit time.Duration
	// Heartbeat is the time between two renewals of a worker's registry entry. The
	// entry is removed when the worker has left, or after three intervals of silence.
	Heartbeat time.Duration
	// StopLimit is how long a worker may take to stop a task.
	StopLimit time.Duration
	// ReclaimLimit is how soon after acceptance a job within its guarantee must
	// start.
	ReclaimLimit time.Duration
	// FarFactor is how many times longer a task runs away from its rack or data.
	FarFactor float64
	// EvacuationAge is the age of the newest SetEvacuated from which on no start may be
	// carried out; 0 is no limit.
	EvacuationAge time.Duration
	// Overlap is how long an earlier planner may still send orders after this term
	// began.
	Overlap time.Duration
}
