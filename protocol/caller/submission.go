package caller

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"comfreystream/state"
)

// Bounds of one submission.
const (
	maxMembers   = 4096
	maxNameBytes = 256
	maxAmount    = 1 << 20
	maxMemory    = 1 << 50
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
	// AnswerWithin counts from the arrival of the request.
	AnswerWithin    duration `json:"answerWithin"`
	DeclaredRunTime duration `json:"declaredRunTime"`
	Idempotent      bool     `json:"idempotent"`
	Key             string   `json:"key"`
	Checkpointable  bool     `json:"checkpointable"`
	// Payload is in base64.
	Payload []byte `json:"payload"`
	// Wait false accepts the job and answers at once.
	Wait *bool `json:"wait"`
}

// waits reports whether the caller waits for the job's answer.
func (b *submissionBody) waits() bool { return b.Wait == nil || *b.Wait }

func (b *submissionBody) job(now time.Time) (state.Job, error) {
	adjacency, err := indexOf("adjacency", state.AdjacencyWords, b.Adjacency, int(state.AnyRack))
	if err != nil {
		return state.Job{}, err
	}
	urgency, err := indexOf("urgency", state.UrgencyWords, b.Urgency, int(state.Normal))
	if err != nil {
		return state.Job{}, err
	}
	if err := b.check(); err != nil {
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

func (b *submissionBody) check() error {
	for _, name := range []string{b.Organisation, b.Kind, b.AvailabilityZone, b.Key} {
		if len(name) > maxNameBytes {
			return errors.Errorf("a name is longer than %d bytes", maxNameBytes)
		}
	}
	switch {
	case b.Organisation == "":
		return errors.New("organisation: is missing")
	case b.Members < 1 || b.Members > maxMembers:
		return errors.Errorf("members: is %d; want 1 to %d", b.Members, maxMembers)
	case !b.Idempotent && b.Key == "":
		return errors.New("key: is missing; a request that is not idempotent needs one")
	case strings.Contains(b.AvailabilityZone, "."):
		return errors.Errorf("availabilityZone: is %q; a zone's name has no dot", b.AvailabilityZone)
	case b.AnswerWithin < 0:
		return errors.New("answerWithin: is negative")
	case b.DeclaredRunTime < 0:
		return errors.New("declaredRunTime: is negative")
	}
	return b.Shape.check()
}

func (b resourcesBody) check() error {
	for _, amount := range []int{b.Slots, b.Accelerators, b.Cores} {
		if amount < 0 || amount > maxAmount {
			return errors.Errorf("shape: an amount is %d; want 0 to %d", amount, maxAmount)
		}
	}
	if b.MemoryBytes < 0 || b.MemoryBytes > maxMemory {
		return errors.Errorf("shape: memoryBytes is %d; want 0 to %d", b.MemoryBytes, int64(maxMemory))
	}
	if b == (resourcesBody{}) {
		return errors.New("shape: asks for nothing")
	}
	return nil
}

func indexOf(field string, words []string, word string, otherwise int) (int, error) {
	if word == "" {
		return otherwise, nil
	}
	index := slices.Index(words, word)
	if index < 0 {
		return 0, errors.Errorf("%s: is %q; want one of %q", field, word, words)
	}
	return index, nil
}
