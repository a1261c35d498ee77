package state

import "net/netip"

// JobAttempt names one attempt at one job.
type JobAttempt struct {
	Job     JobID
	Attempt Attempt
}

// RackReport is what the home of a rack tells the zone's planner about it.
type RackReport struct {
	Rack Rack
	// Home is the entry that reports.
	Home netip.AddrPort
	// Sequence counts the reports of this home on this rack, from 1; a gap asks for a full one.
	Sequence uint64
	// Full is set when Workers lists every worker with all its tasks and their jobs.
	Full    bool
	Workers []WorkerReport
}

// WorkerReport is one worker's part of a RackReport.
type WorkerReport struct {
	Worker Worker
	// Listed is set once the home holds the worker's token and has read its own list of tasks.
	Listed bool
	// Lost is set when every lease on the worker has expired without an answer from it.
	Lost bool
	// Tasks are all tasks in a full report, else those that changed.
	Tasks []Task
}

// ReportReply is the planner's answer to a RackReport.
type ReportReply struct {
	// Resend asks for a full report.
	Resend bool
	// Whole lists attempts whose gang runs whole, so that their leases may be renewed.
	Whole []JobAttempt
	// Stop lists attempts to be stopped: they are unknown, incomplete or cancelled.
	Stop []JobAttempt
	// Forget lists finished attempts whose answers are safe elsewhere.
	Forget []JobAttempt
}

// Progress is what a waiting entry learns of a job: its outcome, or that it goes on.
type Progress struct {
	Done    bool
	Phase   JobPhase
	Outcome Outcome
}
