package record

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"comfreystream/state"
)

// jobRecord is the stored form of a state.Job. Stored records outlive the program
// version that wrote them, so a key is never reused for another field.
type jobRecord struct {
	ID              string          `cbor:"1,keyasint"`
	Organisation    string          `cbor:"2,keyasint"`
	Kind            string          `cbor:"3,keyasint,omitempty"`
	Members         int             `cbor:"4,keyasint"`
	Shape           resourcesRecord `cbor:"5,keyasint"`
	Adjacency       uint8           `cbor:"6,keyasint,omitempty"`
	Urgency         uint8           `cbor:"7,keyasint,omitempty"`
	Submitted       time.Time       `cbor:"8,keyasint"`
	Deadline        time.Time       `cbor:"9,keyasint"`
	Idempotent      bool            `cbor:"10,keyasint,omitempty"`
	Key             string          `cbor:"11,keyasint,omitempty"`
	Checkpointable  bool            `cbor:"12,keyasint,omitempty"`
	DeclaredRunTime time.Duration   `cbor:"13,keyasint,omitempty"`
	Payload         []byte          `cbor:"14,keyasint,omitempty"`
	Checkpoints     [][]byte        `cbor:"15,keyasint,omitempty"`
}

type resourcesRecord struct {
	Slots        int   `cbor:"1,keyasint,omitempty"`
	Accelerators int   `cbor:"2,keyasint,omitempty"`
	Cores        int   `cbor:"3,keyasint,omitempty"`
	MemoryBytes  int64 `cbor:"4,keyasint,omitempty"`
}

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 256, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeJob returns the encoded job; DecodeJob reads it.
func EncodeJob(job *state.Job) ([]byte, error) {
	data, err := encMode.Marshal(jobRecord{
		ID: string(job.ID), Organisation: job.Organisation, Kind: job.Kind,
		Members: job.Members, Shape: resourcesRecord(job.Shape),
		Adjacency: uint8(job.Adjacency), Urgency: uint8(job.Urgency),
		Submitted: job.Submitted, Deadline: job.Deadline,
		Idempotent: job.Idempotent, Key: job.Key, Checkpointable: job.Checkpointable,
		DeclaredRunTime: job.DeclaredRunTime, Payload: job.Payload, Checkpoints: job.Checkpoints,
	})
	return data, errors.Wrap(err, "encode job")
}

// DecodeJob returns the job that EncodeJob encoded; it fails on any other data.
func DecodeJob(data []byte) (state.Job, error) {
	var r jobRecord
	if err := decMode.Unmarshal(data, &r); err != nil {
		return state.Job{}, errors.Wrap(err, "decode job")
	}
	if r.ID == "" || r.Members < 1 {
		return state.Job{}, errors.New("decode job: job ID or members missing")
	}
	return state.Job{
		ID: state.JobID(r.ID), Organisation: r.Organisation, Kind: r.Kind,
		Members: r.Members, Shape: state.Resources(r.Shape),
		Adjacency: state.Adjacency(r.Adjacency), Urgency: state.Urgency(r.Urgency),
		Submitted: r.Submitted, Deadline: r.Deadline,
		Idempotent: r.Idempotent, Key: r.Key, Checkpointable: r.Checkpointable,
		DeclaredRunTime: r.DeclaredRunTime, Payload: r.Payload, Checkpoints: r.Checkpoints,
	}, nil
}
