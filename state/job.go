package state

import (
	"net/netip"
	"strings"
	"time"
)

// JobID names a job and the availability zone that decides on it, as "zone.serial".
type JobID string

// NewJobID returns the identity of the job with that serial in the zone.
func NewJobID(availabilityZone, serial string) JobID {
	return JobID(availabilityZone + "." + serial)
}

// AvailabilityZone returns the zone that the identity names, or "" if it names none.
func (j JobID) AvailabilityZone() string {
	zone, _, found := strings.Cut(string(j), ".")
	if !found {
		return ""
	}
	return zone
}

// Attempt counts the starts of a job, from 1.
type Attempt uint32

// Urgency orders jobs by how soon they must start.
type Urgency uint8

// The urgency classes, from the least to the most urgent.
const (
	Overnight Urgency = iota
	Normal
	Urgent
)

// UrgencyWords are the classes' names in files and messages, by their values.
var UrgencyWords = []string{"overnight", "normal", "urgent"}

// Adjacency says how close together the members of a gang must run.
type Adjacency uint8

// The adjacency rules, from the loosest to the tightest.
const (
	AnyRack Adjacency = iota
	AdjacentRacks
	SameRack
)

// AdjacencyWords are the rules' names in files and messages, by their values.
var AdjacencyWords = []string{"anyRack", "adjacentRacks", "sameRack"}

// Job is one request to run a gang of equal members; a small job has one member.
type Job struct {
	ID           JobID
	Organisation string
	// Kind groups jobs of an organisation whose sizes and run times resemble each other.
	Kind      string
	Members   int
	Shape     Resources
	Adjacency Adjacency
	Urgency   Urgency
	// Submitted is when the first entry accepted the request.
	Submitted time.Time
	// Deadline is when the answer loses its use; the zero time means never.
	Deadline   time.Time
	Idempotent bool
	// Key is the caller's own name for a non-idempotent request, unique in its organisation.
	Key            string
	Checkpointable bool
	// DeclaredRunTime is the caller's guess; it is often far from the truth.
	DeclaredRunTime time.Duration
	Payload         []byte
	// Checkpoints are the states saved by an earlier attempt's workers, if any.
	Checkpoints [][]byte
}

// Total returns what the whole gang uses.
func (j *Job) Total() Resources {
	return j.Shape.Times(j.Members)
}

// Borrows reports whether the job may run on lent capacity: only work that
// can be saved or repeated may be stopped for a reclaim.
func (j *Job) Borrows() bool {
	return j.Checkpointable || j.Idempotent
}

// Placement says how many members of a gang run on one worker.
type Placement struct {
	Worker  netip.AddrPort
	Rack    string
	Members int
}

// Members returns the number of members in all the placements.
func Members(placements []Placement) (total int) {
	for _, p := range placements {
		total += p.Members
	}
	return total
}
