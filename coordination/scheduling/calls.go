package scheduling

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state/workflow"
)

// Term numbers the planners one after another; workers refuse an older one.
type Term int64

// ErrTermEnded says that a newer planner has taken over.
var ErrTermEnded = errors.New("a newer planner has taken over")

// WorkerCalls are the orders to a worker; every field must be set.
type WorkerCalls struct {
	Start func(ctx context.Context, worker workflow.Worker, order StartOrder) (StartResult, error)
	Stop  func(ctx context.Context, worker workflow.Worker, order StopOrder) error
	// Renew extends the lease of all that runs on the worker and lists it; it
	// waits for an end, at most as long as the order says.
	Renew func(ctx context.Context, worker workflow.Worker, order RenewOrder) (workflow.Report, error)
}

// StartOrder starts one attempt of a task.
type StartOrder struct {
	Term       Term
	Task       workflow.Task
	Attempt    int
	Spec       string
	Checkpoint string
	// Until is a time of the worker's clock; later the order is refused.
	Until time.Duration
}

// StopOrder stops one attempt of a task, or keeps it from starting.
type StopOrder struct {
	Term    Term
	Task    workflow.Task
	Attempt int
}

// RenewOrder renews the lease of a worker.
type RenewOrder struct {
	Term Term
	// Until is the lease's end as a time of the worker's clock; 0 leaves it.
	Until time.Duration
	// Acknowledged is the highest end that is on record, with all before it.
	Acknowledged int64
	Wait         time.Duration
}

// StartResult is a worker's answer to a start.
type StartResult string

// The answers to a start; all but the first say that this order did nothing.
const (
	Started            StartResult = "started"
	RefusedTerm        StartResult = "refusedTerm"
	RefusedRoom        StartResult = "refusedRoom"
	RefusedLate        StartResult = "refusedLate"
	RefusedOld         StartResult = "refusedOld"
	RefusedUnhealthy   StartResult = "refusedUnhealthy"
	RefusedOtherWorker StartResult = "refusedOtherWorker"
	RefusedInvalid     StartResult = "refusedInvalid"
)

// Save is one job's progress to be put on record.
type Save struct {
	Job      workflow.ID
	Progress workflow.Progress
	// Revision is that of the record to replace, 0 for none.
	Revision keyvalue.Revision
}

// Bounds are the platform's times that decisions rest on.
type Bounds struct {
	LeaseLimit   time.Duration
	StopLimit    time.Duration
	ReclaimLimit time.Duration
	FarFactor    float64
	// Overlap is how long an earlier planner may still give orders after this
	// term began.
	Overlap time.Duration
}
