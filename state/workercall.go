package state

import "time"

// HoldRequest asks a worker for resources for some members of a gang.
type HoldRequest struct {
	Token   Token
	Job     Job
	Attempt Attempt
	Members int
	// TTL is how long the lease lasts unless it is confirmed and renewed.
	TTL time.Duration
}

// RenewRequest extends all confirmed leases of a worker and tells it what is settled.
type RenewRequest struct {
	Token Token
	TTL   time.Duration
	// Confirm lists attempts that run whole; only their leases are extended, now and later.
	Confirm []JobAttempt
	// Forget lists ended attempts whose record the worker may drop.
	Forget []JobAttempt
	// Since is the version of the last RenewReply; 0 asks for all tasks.
	Since uint64
	// Wait is how long the worker may hold its answer back until something changes.
	Wait time.Duration
}

// RenewReply is a worker's own account of itself.
type RenewReply struct {
	// Version grows with each change of a task on the worker.
	Version uint64
	Worker  Worker
	// Changed lists the tasks that changed since the request's version.
	Changed []Task
}
