package claim

import (
	"crypto/sha256"
	"encoding/hex"

	"comfreystream/state"
)

const (
	keyPrefix    = "claim/"
	keyHashBytes = 16
)

// Record is the stored form of a claim.
type Record struct {
	Organisation string
	Key          string
	// Holder is the job that took the claim; it is empty once the key has been released.
	Holder state.JobID
	// TakeID identifies the call of Take that wrote the record.
	TakeID state.WriteID
	// Ended is set once the outcome is known; until then the job may have run.
	Ended   bool
	Outcome state.Outcome
}

// Codec encodes records for the store.
type Codec struct {
	Encode func(record Record) ([]byte, error)
	Decode func(value []byte) (Record, error)
}

// storeKey returns the store key of the claim on the organisation's and caller's key.
func storeKey(job *state.Job) string {
	sum := sha256.Sum256([]byte(job.Key))
	return keyPrefix + job.Organisation + "/" + hex.EncodeToString(sum[:keyHashBytes])
}
