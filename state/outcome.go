package state

// Ran is what is known about whether a job was executed.
type Ran uint8

// The values of Ran.
const (
	// NotRun means that no start was sent, or every worker has confirmed that
	// no member was started.
	NotRun Ran = iota
	// RanToCompletion means that every member ran to completion.
	RanToCompletion
	// OutcomeUnknown means that some member may have run.
	OutcomeUnknown
)

// String returns the text that callers see: "not run", "ran" or "outcome unknown".
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not run"
	case RanToCompletion:
		return "ran"
	default:
		return "outcome unknown"
	}
}

// Outcome is the final answer to a job's caller.
type Outcome struct {
	Job     JobID
	Attempt Attempt
	Ran     Ran
	// Reason is empty for a job that ran.
	Reason Reason
	// Retry is set if the caller may send the same request again.
	Retry  bool
	Answer []byte
	// Holder is the job that owns the key, if this one was refused as a duplicate.
	Holder JobID
}

// Refusal returns the outcome of a job that was refused before it ran.
func Refusal(job JobID, reason Reason) Outcome {
	return Outcome{Job: job, Ran: NotRun, Reason: reason, Retry: reason.MayRetry()}
}
