package record

import (
	"comfreystream/coordination/jobstore"
	"comfreystream/coordination/keyvalue"
)

// NewJobStore returns a store of jobs in the platform's store, with the record
// encodings of this package.
func NewJobStore(store *keyvalue.Store) *jobstore.Store {
	return &jobstore.Store{
		Store:     store,
		EncodeJob: EncodeSubmission, DecodeJob: DecodeSubmission,
		EncodeProgress: EncodeProgress, DecodeProgress: DecodeProgress,
		DecodeStatus:  DecodeStatus,
		EncodePending: EncodePending, DecodePending: DecodePending,
	}
}
