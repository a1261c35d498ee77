package scheduling

// The events that the scheduler counts besides the answers to starts.
const (
	retryStart        = "retryStart"
	retryStop         = "retryStop"
	retrySave         = "retrySave"
	workerSilent      = "workerSilent"
	workerQuarantined = "workerQuarantined"
	strangerStopped   = "strangerStopped"
)

// Events lists every event, so that each has its counter.
var Events = []string{
	reasonCancelled, reasonIncomplete, reasonReclaimed, reasonStalled,
	retryStart, retryStop, retrySave, workerSilent, workerQuarantined, strangerStopped,
	string(Started), string(RefusedTerm), string(RefusedRoom), string(RefusedLate), string(RefusedOld),
	string(RefusedUnhealthy), string(RefusedOtherWorker), string(RefusedInvalid),
}
