package caller

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// Limits of one submission. Resources are counted per member.
const (
	maxMembers       = 4096
	maxNameBytes     = 256
	maxResourceCount = 1 << 20
	maxMemoryBytes   = 1 << 50
)

type resourcesBody struct {
	Slots        int   `json:"slots"`
	Accelerators int   `json:"accelerators"`
	Cores        int   `json:"cores"`
	MemoryBytes  int64 `json:"memoryBytes"`
}

// submissionBody is the body of POST /v1/jobs.
type submissionBody struct {
	Organisation     string        `json:"organisation"`
	Kind             string        `json:"kind"`
	AvailabilityZone string        `json:"availabilityZone"`
	Members          int           `json:"members"`
	Shape            resourcesBody `json:"shape"`
	Adjacency        string        `json:"adjacency"`
	Urgency          string        `json:"urgency"`
	// AnswerWithin sets the job's deadline, counted from the arrival of the request.
	AnswerWithin    duration `json:"answerWithin"`
	DeclaredRunTime duration `json:"declaredRunTime"`
	Idempotent      bool     `json:"idempotent"`
	Key             string   `json:"key"`
	Checkpointable  bool     `json:"checkpointable"`
	// Payload is in base64.
	Payload []byte `json:"payload"`
	// Wait is true if absent; false returns the job's ID once it is accepted.
	Wait *bool `json:"wait"`
}

// waitsForOutcome reports whether the caller waits for the job's outcome.
func (b *submissionBody) waitsForOutcome() bool { return b.Wait == nil || *b.Wait }

func (b *submissionBody) toJob(now time.Time) (state.Job, error) {
	adjacency, err := enumIndex("adjacency", state.AdjacencyNames, b.Adjacency, int(state.AnyRack))
	if err != nil {
		return state.Job{}, err
	}
	urgency, err := enumIndex("urgency", state.UrgencyNames, b.Urgency, int(state.Normal))
	if err != nil {
		return state.Job{}, err
	}
	if err := b.validate(); err != nil {
		return state.Job{}, err
	}
	job := state.Job{
		Organisation: b.Organisation, Kind: b.Kind, Members: b.Members, Shape: state.Resources(b.Shape),
		Adjacency: state.Adjacency(adjacency), Urgency: state.Urgency(urgency), Submitted: now,
		Idempotent: b.Idempotent, Key: b.Key, Checkpointable: b.Checkpointable,
		DeclaredRunTime: time.Duration(b.DeclaredRunTime), Payload: b.Payload,
	}
	if b.AnswerWithin > 0 {
		job.Deadline = now.Add(time.Duration(b.AnswerWithin))
	}
	if b.AvailabilityZone != "" {
		job.ID = state.NewJobID(b.AvailabilityZone, "")
	}
	return job, nil
}

func (b *submissionBody) validate() error {
	for _, name := range []string{b.Organisation, b.Kind, b.AvailabilityZone, b.Key} {
		if len(name) > maxNameBytes {
			return errors.Errorf("organisation, kind, availabilityZone and key must not exceed %d bytes each", maxNameBytes)
		}
	}
	switch {
	case b.Organisation == "":
		return errors.New("organisation: required field is missing")
	case b.Members < 1 || b.Members > maxMembers:
		return errors.Errorf("members: got %d, want 1 to %d", b.Members, maxMembers)
	case !b.Idempotent && b.Key == "":
		return errors.New("key: required unless the job is idempotent")
	case strings.Contains(b.AvailabilityZone, "."):
		return errors.Errorf("availabilityZone: %q must not contain a dot", b.AvailabilityZone)
	case b.AnswerWithin < 0:
		return errors.New("answerWithin: must not be negative")
	case b.DeclaredRunTime < 0:
		return errors.New("declaredRunTime: must not be negative")
	}
	return b.Shape.validate()
}

func (b resourcesBody) validate() error {
	for _, count := range []int{b.Slots, b.Accelerators, b.Cores} {
		if count < 0 || count > maxResourceCount {
			return errors.Errorf("shape: got a count of %d, want 0 to %d", count, maxResourceCount)
		}
	}
	if b.MemoryBytes < 0 || b.MemoryBytes > maxMemoryBytes {
		return errors.Errorf("shape: got memoryBytes %d, want 0 to %d", b.MemoryBytes, int64(maxMemoryBytes))
	}
	if b == (resourcesBody{}) {
		return errors.New("shape: requests no resources")
	}
	return nil
}

// enumIndex returns the position of name in names; an empty name gives defaultIndex.
func enumIndex(field string, names []string, name string, defaultIndex int) (int, error) {
	if name == "" {
		return defaultIndex, nil
	}
	index := slices.Index(names, name)
	if index < 0 {
		return 0, errors.Errorf("%s: got %q, want one of %q", field, name, names)
	}
	return index, nil
}
