package rollout

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"comfreystream/state"
)

// Part is one organisation's policy as it is stored and sent.
type Part struct {
	Name string
	// Changed is the generation that last changed the part.
	Changed state.Generation
	// Body is the encoded organisation; it is empty once the organisation is removed.
	Body []byte
}

// Update holds the changes from one generation to a higher one.
type Update struct {
	Generation state.Generation
	Digest     uint64
	Weights    state.Weights
	// Evacuated lists all evacuated zones, sorted.
	Evacuated []string
	// Since is the generation after which Parts lists every change; 0 means that
	// Parts is the whole manifest.
	Since state.Generation
	Parts []Part
}

// ManifestID identifies the manifest that an entry has in force by its generation and
// the digest of its content. The zero ManifestID means that there is none.
type ManifestID struct {
	Generation state.Generation
	Digest     uint64
}

// Head is the record in the store that lists the parts of the accepted manifest.
type Head struct {
	Generation state.Generation
	Digest     uint64
	Weights    state.Weights
	// Evacuated lists the evacuated zones, sorted.
	Evacuated []string
	Parts     []PartRef
}

// PartRef locates a part in the store; ID is empty for a removed organisation.
type PartRef struct {
	Name    string
	Changed state.Generation
	// ID distinguishes the writes of the same part.
	ID state.WriteID
	// Version is the version that the store gave the part when it was written.
	Version state.Version
	Hash    uint64
}

// Codec encodes and decodes parts and heads for the store and for the traffic
// between entries. Equal organisations must have equal encodings.
type Codec struct {
	EncodePart func(organisation *state.Organisation) ([]byte, error)
	DecodePart func(body []byte) (state.Organisation, error)
	EncodeHead func(head Head) ([]byte, error)
	DecodeHead func(value []byte) (Head, error)
}

// key returns the part's key in the store. Each write has its own key, so that
// the loser of a race cannot overwrite or delete parts that the winner's head lists.
func (r PartRef) key() string { return partPrefix + r.Name + "/" + string(r.ID) }

// hash returns the hash of the part, 0 for a removed organisation. The digest of
// a manifest is the sum of the hashes of its parts, weights and evacuated zones.
func (p Part) hash() uint64 {
	if len(p.Body) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(p.Name)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(p.Body)
	return d.Sum64()
}

// hashEvacuated returns the hash of the evacuated zones, 0 without any, so that the
// digest of a manifest without is as before the field existed.
func hashEvacuated(zones []string) uint64 {
	if len(zones) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, zone := range zones {
		_, _ = d.WriteString(zone)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func hashWeights(w state.Weights) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], math.Float64bits(w.CompletionTime))
	binary.BigEndian.PutUint64(b[8:], math.Float64bits(w.Fragmentation))
	return xxhash.Sum64(b[:])
}
