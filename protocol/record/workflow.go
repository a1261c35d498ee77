package record

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"comfreystream/state/workflow"
)

// submissionRecord is the stored form of an accepted workflow.Job. Accepted and
// FirstStart are in milliseconds since the Unix epoch.
type submissionRecord struct {
	Queue          string        `cbor:"1,keyasint"`
	Service        string        `cbor:"2,keyasint"`
	Organisation   string        `cbor:"3,keyasint,omitempty"`
	Priority       int           `cbor:"4,keyasint,omitempty"`
	MaxAttempts    int           `cbor:"5,keyasint"`
	Stretch        float64       `cbor:"6,keyasint"`
	StartAllowance time.Duration `cbor:"7,keyasint"`
	Spec           string        `cbor:"8,keyasint"`
	Steps          []stepRecord  `cbor:"9,keyasint"`
	Occurrences    int           `cbor:"10,keyasint,omitempty"`
	FirstStart     int64         `cbor:"11,keyasint,omitempty"`
	Interval       time.Duration `cbor:"12,keyasint,omitempty"`
	Accepted       int64         `cbor:"13,keyasint"`
	RecordBytes    int           `cbor:"14,keyasint,omitempty"`
	PolicyVersion  int64         `cbor:"15,keyasint,omitempty"`
}

type stepRecord struct {
	Tasks          int           `cbor:"1,keyasint"`
	Cores          int           `cbor:"2,keyasint,omitempty"`
	MemoryMiB      int           `cbor:"3,keyasint,omitempty"`
	Accelerators   int           `cbor:"4,keyasint,omitempty"`
	Estimate       time.Duration `cbor:"5,keyasint,omitempty"`
	After          []int         `cbor:"6,keyasint,omitempty"`
	Checkpointable bool          `cbor:"7,keyasint,omitempty"`
	Gang           bool          `cbor:"8,keyasint,omitempty"`
	SameRack       bool          `cbor:"9,keyasint,omitempty"`
	PreferredRack  string        `cbor:"10,keyasint,omitempty"`
	Label          string        `cbor:"11,keyasint,omitempty"`
	SpreadLimit    int           `cbor:"12,keyasint,omitempty"`
	Speculative    bool          `cbor:"13,keyasint,omitempty"`
	LongRunning    bool          `cbor:"14,keyasint,omitempty"`
	Scavenging     bool          `cbor:"15,keyasint,omitempty"`
	Image          string        `cbor:"16,keyasint,omitempty"`
}

// EncodeSubmission returns the encoded record of an accepted job.
func EncodeSubmission(job *workflow.Job) ([]byte, error) {
	r := submissionRecord{
		Queue: job.Queue, Service: job.Service, Organisation: job.Organisation, Priority: job.Priority,
		MaxAttempts: job.MaxAttempts, Stretch: job.Stretch, StartAllowance: job.StartAllowance,
		Spec: job.Spec, Occurrences: job.Occurrences, Interval: job.Interval, Accepted: job.Accepted.UnixMilli(),
		RecordBytes: job.RecordBytes, PolicyVersion: job.PolicyVersion,
	}
	if job.Occurrences > 0 {
		r.FirstStart = job.FirstStart.UnixMilli()
	}
	for _, s := range job.Steps {
		r.Steps = append(r.Steps, stepRecord(s))
	}
	data, err := cbor.Marshal(r)
	return data, errors.Wrapf(err, "encode job %s", job.ID)
}

// DecodeSubmission returns the accepted job in a record; the ID is not part of the record.
func DecodeSubmission(id workflow.ID, data []byte) (*workflow.Job, error) {
	var r submissionRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrapf(err, "decode job %s", id)
	}
	job := &workflow.Job{
		ID: id, Queue: r.Queue, Service: r.Service, Organisation: r.Organisation, Priority: r.Priority,
		MaxAttempts: r.MaxAttempts, Stretch: r.Stretch, StartAllowance: r.StartAllowance,
		Spec: r.Spec, Occurrences: r.Occurrences, Interval: r.Interval, Accepted: time.UnixMilli(r.Accepted),
		RecordBytes: r.RecordBytes, PolicyVersion: r.PolicyVersion,
	}
	if r.Occurrences > 0 {
		job.FirstStart = time.UnixMilli(r.FirstStart)
	}
	for _, s := range r.Steps {
		job.Steps = append(job.Steps, workflow.Step(s))
	}
	return job, errors.Wrapf(job.Validate(), "decode job %s", id)
}

// progressRecord is the stored form of a job's workflow.Progress.
type progressRecord struct {
	Status workflow.Status `cbor:"1,keyasint"`
	Groups []groupRecord   `cbor:"2,keyasint,omitempty"`
	// Shared holds the members of large gangs, whose groups name each worker once.
	Shared []sharedPlacement `cbor:"3,keyasint,omitempty"`
	// Service and PolicyVersion are those of workflow.Routing.
	Service       string `cbor:"4,keyasint,omitempty"`
	PolicyVersion int64  `cbor:"5,keyasint,omitempty"`
}

// minSharedMembers is from how many members on the workers of a gang are named once
// each. Smaller ones keep the form that older versions read.
const minSharedMembers = 513

// sharedPlacement holds the positions in Workers of each member of the group at the
// position. It is encoded as an array, so the order of its fields must not change.
type sharedPlacement struct {
	_       struct{} `cbor:",toarray"`
	Group   int
	Members []uint32
}

// groupRecord is encoded as an array, so the order of its fields must not change.
type groupRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Attempt    int
	Failures   int
	Done       bool
	Checkpoint string
	Workers    []string
	// Incarnations holds that of each worker in Workers.
	Incarnations []int64
	// FailedAttempt is the latest attempt that counts as a failure.
	FailedAttempt int
}

// EncodeProgress returns the encoded record of a job's progress.
func EncodeProgress(progress workflow.Progress) ([]byte, error) {
	r := progressRecord{
		Status: progress.Status, Service: progress.Routing.Service, PolicyVersion: progress.Routing.PolicyVersion,
		Groups: make([]groupRecord, 0, len(progress.Groups)),
	}
	for id, g := range progress.Groups {
		row := groupRecord{
			Occurrence: id.Occurrence, Step: id.Step, Index: id.Index,
			Attempt: g.Attempt, Failures: g.Failures, Done: g.Done, Checkpoint: g.Checkpoint,
			FailedAttempt: g.FailedAttempt,
		}
		if len(g.Placed) >= minSharedMembers {
			shared := sharedPlacement{Group: len(r.Groups)}
			shared.Members = row.addShared(g.Placed)
			r.Shared = append(r.Shared, shared)
		} else {
			row.addWorkers(g.Placed)
		}
		r.Groups = append(r.Groups, row)
	}
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode progress")
}

func (r *groupRecord) addWorkers(placed []workflow.WorkerIncarnation) {
	for _, p := range placed {
		r.Workers = append(r.Workers, string(p.Worker))
		r.Incarnations = append(r.Incarnations, int64(p.Incarnation))
	}
}

// addShared adds each worker once and returns the positions of the members' workers.
func (r *groupRecord) addShared(placed []workflow.WorkerIncarnation) []uint32 {
	positions := make(map[workflow.WorkerIncarnation]uint32)
	members := make([]uint32, len(placed))
	for i, p := range placed {
		position, known := positions[p]
		if !known {
			position = uint32(len(positions))
			positions[p] = position
			r.addWorkers([]workflow.WorkerIncarnation{p})
		}
		members[i] = position
	}
	return members
}

// placement returns the workers of the row.
func (r *groupRecord) placement() ([]workflow.WorkerIncarnation, error) {
	if len(r.Workers) != len(r.Incarnations) {
		return nil, errors.New("different numbers of workers and incarnations")
	}
	var placed []workflow.WorkerIncarnation
	for i, worker := range r.Workers {
		placed = append(placed, workflow.WorkerIncarnation{Worker: workflow.WorkerID(worker), Incarnation: workflow.Incarnation(r.Incarnations[i])})
	}
	return placed, nil
}

// DecodeProgress returns the progress in a record.
func DecodeProgress(data []byte) (workflow.Progress, error) {
	var r progressRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return workflow.Progress{}, errors.Wrap(err, "decode progress")
	}
	shared := make(map[int][]uint32, len(r.Shared))
	for _, s := range r.Shared {
		shared[s.Group] = s.Members
	}
	progress := workflow.Progress{
		Status: r.Status, Routing: workflow.Routing{Service: r.Service, PolicyVersion: r.PolicyVersion},
		Groups: make(map[workflow.GroupID]workflow.Group, len(r.Groups)),
	}
	for i, row := range r.Groups {
		placed, err := row.placement()
		if members, found := shared[i]; found && err == nil {
			placed, err = expand(placed, members)
		}
		if err != nil {
			return workflow.Progress{}, errors.Wrap(err, "decode progress")
		}
		progress.Groups[workflow.GroupID{Occurrence: row.Occurrence, Step: row.Step, Index: row.Index}] = workflow.Group{
			Attempt: row.Attempt, Failures: row.Failures, FailedAttempt: row.FailedAttempt,
			Done: row.Done, Checkpoint: row.Checkpoint, Placed: placed,
		}
	}
	return progress, nil
}

// expand returns the worker of each member.
func expand(workers []workflow.WorkerIncarnation, members []uint32) ([]workflow.WorkerIncarnation, error) {
	placed := make([]workflow.WorkerIncarnation, len(members))
	for i, position := range members {
		if int(position) >= len(workers) {
			return nil, errors.Errorf("member %d is on worker %d of %d", i, position, len(workers))
		}
		placed[i] = workers[position]
	}
	return placed, nil
}

// DecodeStatus returns only the status in the record of a job's progress.
func DecodeStatus(data []byte) (workflow.Status, error) {
	var r struct {
		Status workflow.Status `cbor:"1,keyasint"`
	}
	err := cbor.Unmarshal(data, &r)
	return r.Status, errors.Wrap(err, "decode progress")
}
