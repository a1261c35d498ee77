package storage

// Purpose is what a call to the store is made for.
type Purpose uint8

// The purposes; a watch that waits counts as one call.
const (
	ForManifest Purpose = iota
	ForWatch
	ForClaim
	ForJob
	ForLease
	purposeCount
)

// Purposes lists all purposes.
var Purposes = []Purpose{ForManifest, ForWatch, ForClaim, ForJob, ForLease}

// String returns the purpose's name in counters.
func (p Purpose) String() string {
	return [purposeCount]string{"manifest", "watch", "claim", "job", "lease"}[p]
}

// Result is how a call to the store ended.
type Result string

// The results; Stopped and Throttled calls were not sent.
const (
	Answered  Result = "answered"
	Conflict  Result = "conflict"
	Failed    Result = "failed"
	Stopped   Result = "stoppedByBreaker"
	Throttled Result = "throttled"
)

// Results lists all results.
var Results = []Result{Answered, Conflict, Failed, Stopped, Throttled}
