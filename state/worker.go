package state

import (
	"net/netip"
	"time"
)

// Rack names a group of workers joined by one switch; racks of a zone whose
// positions differ by one are adjacent.
type Rack struct {
	Name             string
	AvailabilityZone string
	Position         int
}

// Worker is an instance that runs tasks, as the instance list and its own reports describe it.
type Worker struct {
	Address  netip.AddrPort
	Rack     Rack
	Capacity Resources
	// Leaving is set once any sign says that the worker goes; it gets nothing new.
	Leaving bool
}

// Token is the fencing token that a worker grants to the home of its rack;
// the worker refuses every request that carries an older one.
type Token uint64

// LeaseID names one lease on a worker.
type LeaseID uint64

// Lease is a worker's promise of resources for some members of a gang until it expires.
type Lease struct {
	ID      LeaseID
	Token   Token
	Worker  netip.AddrPort
	Job     JobID
	Attempt Attempt
	Members int
	Expires time.Time
}

// TaskPhase is how far a gang's members on one worker have come.
type TaskPhase uint8

// The phases of the members under one lease.
const (
	TaskHeld TaskPhase = iota
	TaskRunning
	TaskDone
	TaskCrashed
	TaskStopped
)

// Task is a worker's own record of a lease and of what ran under it.
type Task struct {
	Lease Lease
	Phase TaskPhase
	// Started is false only if no member was ever started under the lease.
	Started bool
	// Checkpoint is the last saved state, if any.
	Checkpoint []byte
	// Answer is the result of the members, when done.
	Answer []byte
	// Used is the measured use; it lags.
	Used Resources
	// Job is what the lease was asked for, kept by the worker for recovery.
	Job Job
}
