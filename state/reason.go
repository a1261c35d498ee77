package state

// Reason is the cause of a refusal, a retry or a stop; each has its own counter in the metrics.
type Reason string

// The reasons for a refusal or a failed job.
const (
	BadRequest          Reason = "badRequest"
	BodyTooLarge        Reason = "bodyTooLarge"
	UnknownOrganisation Reason = "unknownOrganisation"
	UnknownJob          Reason = "unknownJob"
	UnknownZone         Reason = "unknownZone"
	UnknownQueue        Reason = "unknownQueue"
	Unsupported         Reason = "unsupported"
	NeverFits           Reason = "neverFits"
	OverQuota           Reason = "overQuota"
	OverBurst           Reason = "overBurst"
	QueueFull           Reason = "queueFull"
	DeadlineTooClose    Reason = "deadlineTooClose"
	DeadlinePassed      Reason = "deadlinePassed"
	ShedByShare         Reason = "shedByShare"
	ShedByUrgency       Reason = "shedByUrgency"
	DuplicateKey        Reason = "duplicateKey"
	ClaimUnavailable    Reason = "claimUnavailable"
	NotDurable          Reason = "notDurable"
	Cancelled           Reason = "cancelled"
	Draining            Reason = "draining"
	HomeUnreachable     Reason = "homeUnreachable"
	NoManifest          Reason = "noManifest"
	OlderGeneration     Reason = "olderGeneration"
	StoreUnavailable    Reason = "storeUnavailable"
	TooManyCalls        Reason = "tooManyCalls"
	TaskFailed          Reason = "taskFailed"
	RetryBudgetSpent    Reason = "retryBudgetSpent"
	FailsEverywhere     Reason = "failsEverywhere"
	AmbiguousStart      Reason = "ambiguousStart"
	NoPlanner           Reason = "noPlanner"
	// OverBudget is for what clients make an instance hold beyond its memory.
	OverBudget   Reason = "overBudget"
	ExpectedWait Reason = "expectedWait"
)

// The reasons for which an attempt is given up or retried.
const (
	LeaseRefused   Reason = "leaseRefused"
	LeaseLapsed    Reason = "leaseLapsed"
	StaleToken     Reason = "staleToken"
	WorkerLeaving  Reason = "workerLeaving"
	WorkerLost     Reason = "workerLost"
	WorkerFailed   Reason = "workerFailed"
	WorkerSilent   Reason = "workerSilent"
	Reclaimed      Reason = "reclaimed"
	RackMoved      Reason = "rackMoved"
	HomeMoved      Reason = "homeMoved"
	ConnectionLost Reason = "connectionLost"
	ZoneEvacuated  Reason = "zoneEvacuated"
)

// Reasons lists every reason, so that the counter of each exists from process start.
var Reasons = []Reason{
	BadRequest, BodyTooLarge, UnknownOrganisation, UnknownJob, UnknownZone,
	UnknownQueue, Unsupported, NeverFits,
	OverQuota, OverBurst, QueueFull, DeadlineTooClose, DeadlinePassed, ShedByShare, ShedByUrgency,
	DuplicateKey, ClaimUnavailable, NotDurable, Cancelled, Draining, HomeUnreachable,
	NoManifest, OlderGeneration, StoreUnavailable, TooManyCalls, TaskFailed, RetryBudgetSpent, FailsEverywhere,
	AmbiguousStart, NoPlanner, OverBudget, ExpectedWait, LeaseRefused, LeaseLapsed, StaleToken, WorkerLeaving, WorkerLost,
	WorkerFailed, WorkerSilent, Reclaimed, RackMoved, HomeMoved, ConnectionLost,
	ZoneEvacuated,
}

// MayRetry reports whether the same request may succeed if it is sent again later.
func (r Reason) MayRetry() bool {
	switch r {
	case BadRequest, BodyTooLarge, UnknownOrganisation, UnknownJob, UnknownZone,
		UnknownQueue, Unsupported, NeverFits, DuplicateKey, Cancelled, DeadlinePassed, OlderGeneration,
		TaskFailed, AmbiguousStart:
		return false
	default:
		return true
	}
}
