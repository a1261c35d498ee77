package record

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/speed"
	"comfreystream/state/workflow"
)

// speedRecord is the stored form of the speeds of some workers.
type speedRecord struct {
	Workers []speedRow `cbor:"1,keyasint"`
}

// speedRow is encoded as an array, so the order of its fields must not change.
type speedRow struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	// Factor is the logarithm of the factor and Deviation its standard deviation, in
	// thousandths.
	Factor    int32
	Deviation uint32
}

// maxModelRows is more rows than a model's record has, so that a damaged one is refused
// before memory is taken for it.
const maxModelRows = 1 << 10

// NewSpeedStore returns a store of the speeds of workers in the platform's store, with
// the record encoding of this package. valueBytes returns the most bytes of a value there.
func NewSpeedStore(store *keyvalue.Store, valueBytes func() int) *speed.Store {
	return &speed.Store{Store: store, ValueBytes: valueBytes, Encode: EncodeSpeeds, Decode: DecodeSpeeds}
}

// EncodeSpeeds returns the encoded record of the speeds of workers.
func EncodeSpeeds(workers []speed.WorkerSpeed) ([]byte, error) {
	r := speedRecord{Workers: make([]speedRow, len(workers))}
	for i, w := range workers {
		r.Workers[i] = speedRow{
			Worker: string(w.Worker), Factor: int32(math.Round(1000 * math.Log(w.Factor))), Deviation: uint32(math.Round(1000 * w.Deviation)),
		}
	}
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encode speeds")
}

// DecodeSpeeds returns the speeds of workers in a record.
func DecodeSpeeds(data []byte) ([]speed.WorkerSpeed, error) {
	var r speedRecord
	if err := modelDecoder.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode speeds")
	}
	workers := make([]speed.WorkerSpeed, len(r.Workers))
	for i, w := range r.Workers {
		workers[i] = speed.WorkerSpeed{
			Worker:   workflow.WorkerID(w.Worker),
			Estimate: speed.Estimate{Factor: math.Exp(float64(w.Factor) / 1000), Deviation: float64(w.Deviation) / 1000},
		}
	}
	return workers, nil
}

var modelDecoder = newModelDecoder()

func newModelDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxModelRows}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}
