package state

import "time"

// HoldRequest asks a worker to reserve resources for some members of a gang.
type HoldRequest struct {
	Token   Token
	Job     Job
	Attempt Attempt
	Members int
	// TTL is the lease's time to live unless it is confirmed and renewed.
	TTL time.Duration
}

// RenewRequest extends all confirmed leases of a worker and tells it which
// attempts are confirmed or ended.
type RenewRequest struct {
	Token Token
	TTL   time.Duration
	// Confirm lists attempts with every member of the gang running; only
	// confirmed leases are extended, by this request and later ones.
	Confirm []JobAttempt
	// Forget lists ended attempts whose record the worker may drop.
	Forget []JobAttempt
	// Since is the version of the last RenewReply; 0 asks for all tasks.
	Since uint64
	// Wait is how long the worker may delay its answer until something changes (long polling).
	Wait time.Duration
}

// RenewReply is a worker's report on itself and on its tasks.
type RenewReply struct {
	// Version increases with each change of a task on the worker.
	Version uint64
	Worker  Worker
	// Changed lists the tasks that changed since the request's version.
	Changed []Task
}
