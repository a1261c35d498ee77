package state

// Ran says what is known of whether a job's work happened.
type Ran uint8

// The three things an answer can say of the work.
const (
	// NotRun means that no member was started, or every worker has confirmed
	// that none was.
	NotRun Ran = iota
	// RanWhole means that every member ran to its end.
	RanWhole
	// Unknown means that some member may have run.
	Unknown
)

// String returns the words that callers see: "not run", "ran" or "outcome unknown".
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not run"
	case RanWhole:
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
	// Retry says whether the caller may send the same request again.
	Retry  bool
	Answer []byte
	// Holder is the job that holds the key of a refused duplicate.
	Holder JobID
}

// Refusal returns the outcome "not run" for a job, with the reason.
func Refusal(job JobID, reason Reason) Outcome {
	return Outcome{Job: job, Ran: NotRun, Reason: reason, Retry: reason.MayRetry()}
}
