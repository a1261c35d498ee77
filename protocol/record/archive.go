package record

import (
	"comfreystream/coordination/archive"
	"comfreystream/coordination/keyvalue"
)

// NewArchive returns an archive whose records have this package's form.
func NewArchive(store *keyvalue.Store) *archive.Archive {
	return &archive.Archive{
		Store:     store,
		EncodeJob: EncodeSubmission, DecodeJob: DecodeSubmission,
		EncodeProgress: EncodeProgress, DecodeProgress: DecodeProgress,
		DecodeStatus:  DecodeStatus,
		EncodePending: EncodePending, DecodePending: DecodePending,
	}
}
