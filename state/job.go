package state

import (
	"net/netip"
	"strings"
	"time"
)

// JobID identifies a job; it has the form "zone.serial", where zone is the
// availability zone whose planner schedules the job.
type JobID string

// NewJobID returns the ID of the job with the given serial in the zone.
func NewJobID(availabilityZone, serial string) JobID {
	return JobID(availabilityZone + "." + serial)
}

// AvailabilityZone returns the zone part of the ID, or "" if it has none.
func (j JobID) AvailabilityZone() string {
	zone, _, found := strings.Cut(string(j), ".")
	if !found {
		return ""
	}
	return zone
}

// Attempt numbers the attempts to run a job, from 1.
type Attempt uint32

// Urgency orders jobs by how soon they must start.
type Urgency uint8

// The urgency classes, from the least to the most urgent.
const (
	Overnight Urgency = iota
	Normal
	Urgent
)

// UrgencyNames holds the name of each Urgency in files and messages, indexed by value.
var UrgencyNames = []string{"overnight", "normal", "urgent"}

// Adjacency restricts how far apart in the network the members of a gang may run.
type Adjacency uint8

// The adjacency rules, from the loosest to the tightest.
const (
	AnyRack Adjacency = iota
	AdjacentRacks
	SameRack
)

// AdjacencyNames holds the name of each Adjacency in files and messages, indexed by value.
var AdjacencyNames = []string{"anyRack", "adjacentRacks", "sameRack"}

// Job is a request to run a gang of identical members; a small job has one member.
type Job struct {
	ID           JobID
	Organisation string
	// Kind groups jobs of an organisation with similar sizes and run times; run
	// times are estimated by kind.
	Kind    string
	Members int
	// Shape is what each member uses.
	Shape     Resources
	Adjacency Adjacency
	Urgency   Urgency
	// Submitted is when the entry that received the request accepted it.
	Submitted time.Time
	// Deadline is the time after which the caller has no use for the answer;
	// the zero time means no deadline.
	Deadline   time.Time
	Idempotent bool
	// Key is the caller's identifier for a non-idempotent request, unique within its organisation.
	Key            string
	Checkpointable bool
	// DeclaredRunTime is the caller's estimate; it is often wrong by a wide margin.
	DeclaredRunTime time.Duration
	Payload         []byte
	// Checkpoints holds what the workers of an earlier attempt saved, if any.
	Checkpoints [][]byte
}

// Total returns what the whole gang uses.
func (j *Job) Total() Resources {
	return j.Shape.Times(j.Members)
}

// MayBorrow reports whether the job may run on capacity lent from another
// organisation's guarantee: such a job may be stopped to give the capacity
// back, so its work must be checkpointable or idempotent.
func (j *Job) MayBorrow() bool {
	return j.Checkpointable || j.Idempotent
}

// Placement assigns a number of members of a gang to one worker.
type Placement struct {
	Worker  netip.AddrPort
	Rack    string
	Members int
}

// Members returns the total number of members in the placements.
func Members(placements []Placement) (total int) {
	for _, p := range placements {
		total += p.Members
	}
	return total
}
