package scheduling

// Counted events, besides the reasons for stops and the results of starts.
const (
	retryStart            = "retryStart"
	retryStop             = "retryStop"
	retrySave             = "retrySave"
	workerSilent          = "workerSilent"
	workerQuarantined     = "workerQuarantined"
	unknownAttemptStopped = "strangerStopped"
	recordRefused         = "recordRefused"
	checkpointsLeftOut    = "checkpointsLeftOut"
	// saveOverlapped counts the saves that began while another was under way.
	saveOverlapped = "saveOverlapped"
	// saveThrottled counts how often the number of saves under way was halved.
	saveThrottled = "saveThrottled"
	// endsLeftOut counts reports that do not list all ends.
	endsLeftOut = "endsLeftOut"
)

// Events lists every counted event, so that each gets a counter.
var Events = []string{
	reasonCancelled, reasonIncomplete, reasonReclaimed, reasonStalled, reasonAlreadyDone,
	retryStart, retryStop, retrySave, workerSilent, workerQuarantined, unknownAttemptStopped,
	endsLeftOut, recordRefused, checkpointsLeftOut, saveOverlapped, saveThrottled,
	string(Started), string(RefusedTerm), string(RefusedRoom), string(RefusedLate), string(RefusedOld),
	string(RefusedUnhealthy), string(RefusedOtherWorker), string(RefusedInvalid),
}
