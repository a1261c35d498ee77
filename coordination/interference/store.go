package interference

import (
	"comfreystream/coordination/keyvalue"
	"comfreystream/coordination/modelstore"
)

// The counted events of the keeper: failed saves, and stored records left out.
const (
	RecordNotSaved   = "interferenceNotSaved"
	RecordUnreadable = "interferenceUnreadable"
)

// Events returns the names of the keeper's log lines.
func Events() modelstore.Events {
	return modelstore.Events{
		Loaded: "interferenceLoaded", NotLoaded: "interferenceNotLoaded", NotSaved: RecordNotSaved, Unreadable: RecordUnreadable, Rows: "pairs",
	}
}

// NewStore returns a store of records with the keys "interference/SERVICE/NUMBER".
func NewStore(
	store *keyvalue.Store, valueBytes func() int, encode func([]PairEstimate) ([]byte, error), decode func([]byte) ([]PairEstimate, error),
) *modelstore.Store[PairEstimate] {
	return &modelstore.Store[PairEstimate]{
		Store: store, ValueBytes: valueBytes, Prefix: "interference/", Noun: "slowdowns of kinds",
		Encode: encode, Decode: decode, Validate: Validate,
	}
}
