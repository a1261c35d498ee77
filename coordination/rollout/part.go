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

// Update is what moves an entry from one generation to a higher one.
type Update struct {
	Generation state.Generation
	Digest     uint64
	Weights    state.Weights
	// Since is the generation from which Parts lists every change; 0 says that
	// Parts is the whole manifest.
	Since state.Generation
	Parts []Part
}

// Have says which manifest an entry has in force: its generation and the
// digest of its content. The zero Have is none.
type Have struct {
	Generation state.Generation
	Digest     uint64
}

// Head is the record in the store that names the manifest in force.
type Head struct {
	Generation state.Generation
	Digest     uint64
	Weights    state.Weights
	Parts      []Ref
}

// Ref says where the store keeps a part; ID is empty for a removed organisation.
type Ref struct {
	Name    string
	Changed state.Generation
	// ID tells one write of the part from another.
	ID state.WriteID
	// Version is what the store gave the part when it was written.
	Version state.Version
	Hash    uint64
}

// Codec encodes what is kept in the store and sent between entries; equal
// organisations have equal encodings.
type Codec struct {
	EncodePart func(organisation *state.Organisation) ([]byte, error)
	DecodePart func(body []byte) (state.Organisation, error)
	EncodeHead func(head Head) ([]byte, error)
	DecodeHead func(value []byte) (Head, error)
}

// key returns the part's key in the store. Each write has one of its own, so
// that the loser of a race cannot overwrite or drop what the winner's head names.
func (r Ref) key() string { return partPrefix + r.Name + "/" + string(r.ID) }

// hash returns the part's share of the digest, which is the sum over all parts.
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

func hashWeights(w state.Weights) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], math.Float64bits(w.CompletionTime))
	binary.BigEndian.PutUint64(b[8:], math.Float64bits(w.Fragmentation))
	return xxhash.Sum64(b[:])
}
