package manifest

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"comfreystream/coordination/rollout"
	"comfreystream/state"
)

// headRecord is the stored form of rollout.Head. The records of this file are
// encoded as CBOR arrays, so the order of their fields must not change.
type headRecord struct {
	_              struct{} `cbor:",toarray"`
	Generation     state.Generation
	Digest         uint64
	CompletionTime float64
	Fragmentation  float64
	Parts          []partRefRecord
}

// evacuatedHeadRecord is the stored form of a head with evacuated zones. A head without
// is stored as headRecord, which earlier releases read.
type evacuatedHeadRecord struct {
	_              struct{} `cbor:",toarray"`
	Generation     state.Generation
	Digest         uint64
	CompletionTime float64
	Fragmentation  float64
	Parts          []partRefRecord
	Evacuated      []string
}

type partRefRecord struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Changed state.Generation
	ID      state.WriteID
	Version state.Version
	Hash    uint64
}

// partRecord is the stored form of one organisation.
type partRecord struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Share         float64
	Quota         resourcesRecord
	BurstJobs     int
	JobsPerSecond float64
	Guarantees    []guaranteeRecord
}

type guaranteeRecord struct {
	_                struct{} `cbor:",toarray"`
	AvailabilityZone string
	Members          int
	Shape            resourcesRecord
	Adjacency        state.Adjacency
}

type resourcesRecord struct {
	_            struct{} `cbor:",toarray"`
	Slots        int
	Accelerators int
	Cores        int
	MemoryBytes  int64
}

// Codec returns the encoding of the manifest in the store and between entries.
func Codec() rollout.Codec {
	return rollout.Codec{
		EncodePart: encodePart,
		DecodePart: decodePart,
		EncodeHead: encodeHead,
		DecodeHead: decodeHead,
	}
}

func encodePart(o *state.Organisation) ([]byte, error) {
	part := partRecord{
		Name:          o.Name,
		Share:         o.Share,
		Quota:         toRecord(o.Quota),
		BurstJobs:     o.BurstJobs,
		JobsPerSecond: o.JobsPerSecond,
	}
	for _, g := range o.Guarantees {
		part.Guarantees = append(part.Guarantees, guaranteeRecord{
			AvailabilityZone: g.AvailabilityZone, Members: g.Members, Shape: toRecord(g.Shape), Adjacency: g.Adjacency,
		})
	}
	return cbor.Marshal(part)
}

func decodePart(body []byte) (state.Organisation, error) {
	var part partRecord
	if err := cbor.Unmarshal(body, &part); err != nil {
		return state.Organisation{}, errors.Wrap(err, "decode organisation")
	}
	o := state.Organisation{
		Name:          part.Name,
		Share:         part.Share,
		Quota:         part.Quota.resources(),
		BurstJobs:     part.BurstJobs,
		JobsPerSecond: part.JobsPerSecond,
	}
	for _, g := range part.Guarantees {
		o.Guarantees = append(o.Guarantees, state.Guarantee{
			AvailabilityZone: g.AvailabilityZone, Members: g.Members, Shape: g.Shape.resources(), Adjacency: g.Adjacency,
		})
	}
	return o, nil
}

func encodeHead(head rollout.Head) ([]byte, error) {
	record := headRecord{
		Generation:     head.Generation,
		Digest:         head.Digest,
		CompletionTime: head.Weights.CompletionTime,
		Fragmentation:  head.Weights.Fragmentation,
		Parts:          make([]partRefRecord, len(head.Parts)),
	}
	for i, ref := range head.Parts {
		record.Parts[i] = partRefRecord{Name: ref.Name, Changed: ref.Changed, ID: ref.ID, Version: ref.Version, Hash: ref.Hash}
	}
	if len(head.Evacuated) == 0 {
		return cbor.Marshal(record)
	}
	return cbor.Marshal(evacuatedHeadRecord{
		Generation: record.Generation, Digest: record.Digest, CompletionTime: record.CompletionTime,
		Fragmentation: record.Fragmentation, Parts: record.Parts, Evacuated: head.Evacuated,
	})
}

func decodeHead(value []byte) (rollout.Head, error) {
	var record evacuatedHeadRecord
	if err := cbor.Unmarshal(value, &record); err != nil {
		var without headRecord
		if err := cbor.Unmarshal(value, &without); err != nil {
			return rollout.Head{}, errors.Wrap(err, "decode manifest head")
		}
		record = evacuatedHeadRecord{
			Generation: without.Generation, Digest: without.Digest, CompletionTime: without.CompletionTime,
			Fragmentation: without.Fragmentation, Parts: without.Parts,
		}
	}
	head := rollout.Head{
		Generation: record.Generation,
		Digest:     record.Digest,
		Weights:    state.Weights{CompletionTime: record.CompletionTime, Fragmentation: record.Fragmentation},
		Evacuated:  record.Evacuated,
		Parts:      make([]rollout.PartRef, len(record.Parts)),
	}
	for i, ref := range record.Parts {
		head.Parts[i] = rollout.PartRef{Name: ref.Name, Changed: ref.Changed, ID: ref.ID, Version: ref.Version, Hash: ref.Hash}
	}
	return head, nil
}

func toRecord(r state.Resources) resourcesRecord {
	return resourcesRecord{Slots: r.Slots, Accelerators: r.Accelerators, Cores: r.Cores, MemoryBytes: r.MemoryBytes}
}

func (r resourcesRecord) resources() state.Resources {
	return state.Resources{Slots: r.Slots, Accelerators: r.Accelerators, Cores: r.Cores, MemoryBytes: r.MemoryBytes}
}
