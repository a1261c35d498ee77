// Package front is the part of an entry that a caller reaches: it picks the
// availability zone, sends the job to the zone's planner, and keeps at it until
// the whole answer is there, whoever the planner is by then.
package front
