package state

import (
	"net/netip"
	"time"
)

// Rack is a group of workers connected to one switch; racks of a zone whose
// positions differ by one are adjacent.
type Rack struct {
	Name             string
	AvailabilityZone string
	Position         int
}

// Worker is an instance that runs tasks, as described by the instance list and by its own reports.
type Worker struct {
	Address  netip.AddrPort
	Rack     Rack
	Capacity Resources
	// Leaving is set once the platform or the worker announces that the worker
	// will be removed; it gets no new work.
	Leaving bool
}

// Token is the fencing token that a worker grants to the home of its rack; the
// worker refuses every request with an older one, so a replaced home cannot act on it.
type Token uint64

// LeaseID identifies one lease on a worker.
type LeaseID uint64

// Lease reserves resources on a worker for some members of a gang until it expires.
type Lease struct {
	ID      LeaseID
	Token   Token
	Worker  netip.AddrPort
	Job     JobID
	Attempt Attempt
	Members int
	Expires time.Time
}

// TaskPhase is the state of a gang's members on one worker.
type TaskPhase uint8

// The phases of the members under one lease.
const (
	TaskHeld TaskPhase = iota
	TaskRunning
	TaskDone
	TaskCrashed
	TaskStopped
)

// Task is a worker's record of a lease and of what ran under it.
type Task struct {
	Lease Lease
	Phase TaskPhase
	// Started is false only if no member was ever started under the lease.
	Started bool
	// Checkpoint is the latest checkpoint, if any.
	Checkpoint []byte
	// Answer is the result of the members once they are done.
	Answer []byte
	// Used is the measured resource use; it lags behind the actual use.
	Used Resources
	// Job is the job that the lease was requested for; the worker keeps it so
	// that a new planner can recover the job.
	Job Job
}
