package record

import (
	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/keyvalue"
)

// NewJobStore returns a store of jobs in the platform's store, with the record
// encodings of this package. valueBytes returns the most bytes of a value there.
func NewJobStore(store *keyvalue.Store, valueBytes func() int) *jobstore.Store {
	return &jobstore.Store{
		Store: store, ValueBytes: valueBytes,
		EncodeJob: EncodeSubmission, DecodeJob: DecodeSubmission,
		EncodeProgress: EncodeProgress, DecodeProgress: DecodeProgress,
		DecodeStatus:  DecodeStatus,
		EncodePending: EncodePending, DecodePending: DecodePending,
	}
}
