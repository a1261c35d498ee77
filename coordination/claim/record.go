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

// Record is what the store keeps of a claim.
type Record struct {
	Organisation string
	Key          string
	// Holder is the job that took the claim; it is empty once the key is free again.
	Holder state.JobID
	// Taken tells one Take from another.
	Taken state.WriteID
	// Ended is set once the outcome is known; until then the job may have run.
	Ended   bool
	Outcome state.Outcome
}

// Codec encodes records for the store.
type Codec struct {
	Encode func(record Record) ([]byte, error)
	Decode func(value []byte) (Record, error)
}

// storeKey returns the key of a claim: one for each organisation and caller's key.
func storeKey(job *state.Job) string {
	sum := sha256.Sum256([]byte(job.Key))
	return keyPrefix + job.Organisation + "/" + hex.EncodeToString(sum[:keyHashBytes])
}
