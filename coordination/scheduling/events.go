package scheduling

// Counted events, besides the reasons for stops and the results of starts.
const (
	retryStart            = "retryStart"
	retryStop             = "retryStop"
	retrySave             = "retrySave"
	workerSilent          = "workerSilent"
	workerQuarantined     = "workerQuarantined"
	unknownAttemptStopped = "strangerStopped"
	workerLeaving         = "workerLeaving"
	recordRefused         = "recordRefused"
	checkpointsLeftOut    = "checkpointsLeftOut"
	// endsLeftOut counts reports that do not list all ends.
	endsLeftOut = "endsLeftOut"
)

// Events lists every counted event, so that each gets a counter.
var Events = []string{
	reasonCancelled, reasonIncomplete, reasonReclaimed, reasonStalled, reasonLeaving, reasonAlreadyDone,
	retryStart, retryStop, retrySave, workerSilent, workerQuarantined, workerLeaving, unknownAttemptStopped,
	endsLeftOut, recordRefused, checkpointsLeftOut,
	string(Started), string(RefusedTerm), string(RefusedRoom), string(RefusedLate), string(RefusedOld),
	string(RefusedUnhealthy), string(RefusedOtherWorker), string(RefusedInvalid),
}
