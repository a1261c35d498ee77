package record

import (
	"comfreystream/coordination/archive"
	"comfreystream/coordination/keyvalue"
)

// NewArchive returns an archive of jobs in the store, with the record encodings
// of this package.
func NewArchive(store *keyvalue.Store) *archive.Archive {
	return &archive.Archive{
		Store:     store,
		EncodeJob: EncodeSubmission, DecodeJob: DecodeSubmission,
		EncodeProgress: EncodeProgress, DecodeProgress: DecodeProgress,
		DecodeStatus:  DecodeStatus,
		EncodePending: EncodePending, DecodePending: DecodePending,
	}
}
