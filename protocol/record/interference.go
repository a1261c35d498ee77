package record

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"comfreystream/coordination/interference"
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/modelstore"
)

// interferenceRecord is the stored form of some pairs of kinds.
type interferenceRecord struct {
	Pairs []pairRow `cbor:"1,keyasint"`
}

// pairRow is encoded as an array, so the order of its fields must not change.
type pairRow struct {
	_            struct{} `cbor:",toarray"`
	Kind, Beside kindRow
	// Slowdown is the logarithm of the slowdown and Deviation its standard deviation, in
	// thousandths.
	Slowdown  int32
	Deviation uint32
}

// kindRow is encoded as an array, so the order of its fields must not change.
type kindRow struct {
	_                              struct{} `cbor:",toarray"`
	Image, Queue                   string
	Cores, MemoryMiB, Accelerators int
}

// NewInterferenceStore returns a store of the slowdowns of kinds in the platform's store,
// with the record encoding of this package. valueBytes returns the most bytes of a value
// there.
func NewInterferenceStore(store *keyvalue.Store, valueBytes func() int) *modelstore.Store[interference.PairEstimate] {
	return interference.NewStore(store, valueBytes, EncodePairs, DecodePairs)
}

// EncodePairs returns the encoded record of the slowdowns of pairs.
func EncodePairs(pairs []interference.PairEstimate) ([]byte, error) {
	r := interferenceRecord{Pairs: make([]pairRow, len(pairs))}
	for i, p := range pairs {
		r.Pairs[i] = pairRow{
			Kind: newKindRow(p.Kind), Beside: newKindRow(p.Beside),
			Slowdown: int32(math.Round(1000 * math.Log(p.Slowdown))), Deviation: uint32(math.Round(1000 * p.Deviation)),
		}
	}
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode slowdowns")
}

// DecodePairs returns the slowdowns of pairs in a record.
func DecodePairs(data []byte) ([]interference.PairEstimate, error) {
	var r interferenceRecord
	if err := modelDecoder.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode slowdowns")
	}
	pairs := make([]interference.PairEstimate, len(r.Pairs))
	for i, p := range r.Pairs {
		pairs[i] = interference.PairEstimate{
			Pair:     interference.Pair{Kind: p.Kind.kind(), Beside: p.Beside.kind()},
			Estimate: interference.Estimate{Slowdown: math.Exp(float64(p.Slowdown) / 1000), Deviation: float64(p.Deviation) / 1000},
		}
	}
	return pairs, nil
}

func newKindRow(k interference.Kind) kindRow {
	return kindRow{Image: k.Image, Queue: k.Queue, Cores: k.Cores, MemoryMiB: k.MemoryMiB, Accelerators: k.Accelerators}
}

func (r kindRow) kind() interference.Kind {
	return interference.Kind{Image: r.Image, Queue: r.Queue, Cores: r.Cores, MemoryMiB: r.MemoryMiB, Accelerators: r.Accelerators}
}
