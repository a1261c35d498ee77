package state

import "net/netip"

// JobAttempt identifies one attempt of one job.
type JobAttempt struct {
	Job     JobID
	Attempt Attempt
}

// RackReport is what the home of a rack, the entry that manages its workers,
// reports to the zone's planner.
type RackReport struct {
	Rack Rack
	// Home is the entry that reports.
	Home netip.AddrPort
	// Sequence numbers the reports of this home on this rack, from 1; on a gap
	// the planner asks for a full report.
	Sequence uint64
	// Full is set when Workers lists every worker with all its tasks and their jobs.
	Full    bool
	Workers []WorkerReport
}

// WorkerReport is the part of a RackReport about one worker.
type WorkerReport struct {
	Worker Worker
	// Listed is set once the home holds the worker's token and has read the
	// worker's list of tasks.
	Listed bool
	// Lost is set when every lease on the worker has expired without an answer from it.
	Lost bool
	// Tasks holds all tasks in a full report, otherwise those that changed.
	Tasks []Task
}

// ReportReply is the planner's answer to a RackReport.
type ReportReply struct {
	// Resend asks for a full report.
	Resend bool
	// AllRunning lists attempts with every member of the gang running; their leases may be renewed.
	AllRunning []JobAttempt
	// Stop lists attempts to be stopped: they are unknown, incomplete or cancelled.
	Stop []JobAttempt
	// Forget lists finished attempts whose answers are stored elsewhere, so that
	// workers may drop them.
	Forget []JobAttempt
}

// Progress is a job's state as returned to a waiting entry; Outcome is final once Done is set.
type Progress struct {
	Done    bool
	Phase   JobPhase
	Outcome Outcome
}
