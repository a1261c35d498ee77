package state

import "fmt"

// JobPhase is where a job stands between its acceptance and its answer.
type JobPhase uint8

// The phases of a job.
const (
	// JobQueued waits for an attempt; no part of an earlier one is left.
	JobQueued JobPhase = iota
	JobHolding
	JobStarting
	JobRunning
	JobStopping
	// JobRecovering was another instance's job; its members may be running.
	JobRecovering
	JobDone
	jobPhases
)

var phaseNames = [jobPhases]string{"queued", "holding", "starting", "running", "stopping", "recovering", "done"}

// String returns the phase in a word, as in "queued".
func (p JobPhase) String() string { return phaseNames[p] }

// LifecycleEvent is something that the instance did for a job or learned of it.
type LifecycleEvent uint8

// The events of a job; those that end in "Sent" are applied before the
// message leaves, and the message is not sent if they are rejected.
const (
	HoldSent LifecycleEvent = iota
	// HoldRefused says that the gang was not held and no start was sent.
	HoldRefused
	// StartSent comes before the first start message of an attempt.
	StartSent
	// StartConfirmed says that every member was started.
	StartConfirmed
	// MembersAdopted says that every member of a recovered job was found running.
	MembersAdopted
	// MembersFinished says that every member ran to its end.
	MembersFinished
	StopSent
	// VoidConfirmed says that every worker confirmed that the attempt's tokens
	// are void and that no member was started under them.
	VoidConfirmed
	// MembersStopped says that every member is stopped or its lease has lapsed.
	MembersStopped
	// JobEnded says that the caller is answered; no attempt follows.
	JobEnded
	lifecycleEvents
)

var eventNames = [lifecycleEvents]string{
	"holdSent", "holdRefused", "startSent", "startConfirmed", "membersAdopted",
	"membersFinished", "stopSent", "voidConfirmed", "membersStopped", "jobEnded",
}

// String returns the event in a word, as in "startSent".
func (e LifecycleEvent) String() string { return eventNames[e] }

// TransitionError is an event that cannot happen in the job's phase.
type TransitionError struct {
	Phase JobPhase
	Event LifecycleEvent
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("job is %v: %v cannot happen", e.Phase, e.Event)
}

type transition struct {
	next  JobPhase
	valid bool
}

func to(next JobPhase) transition { return transition{next: next, valid: true} }

var transitions = [jobPhases][lifecycleEvents]transition{
	JobQueued: {HoldSent: to(JobHolding), JobEnded: to(JobDone)},
	JobHolding: {
		HoldRefused: to(JobQueued), StartSent: to(JobStarting), StopSent: to(JobStopping),
		JobEnded: to(JobDone),
	},
	JobStarting: {
		StartConfirmed: to(JobRunning), MembersFinished: to(JobDone), StopSent: to(JobStopping),
	},
	JobRunning: {MembersFinished: to(JobDone), StopSent: to(JobStopping)},
	JobStopping: {
		StopSent: to(JobStopping), MembersFinished: to(JobDone), VoidConfirmed: to(JobQueued),
		MembersStopped: to(JobQueued), JobEnded: to(JobDone),
	},
	JobRecovering: {
		MembersAdopted: to(JobRunning), MembersFinished: to(JobDone), StopSent: to(JobStopping),
	},
}

// Lifecycle tells what may truthfully be said of one job's work; the zero
// value is a queued job. Its owner serialises the calls.
type Lifecycle struct {
	phase JobPhase
	// startSent is set while members of the current attempt may have run.
	startSent bool
	// ranBefore is set once members of an earlier attempt may have run.
	ranBefore bool
	finished  bool
}

// RecoveredLifecycle returns the lifecycle of a job whose instance was lost
// during or before the attempt; it counts as started until workers say otherwise.
func RecoveredLifecycle(attempt Attempt) Lifecycle {
	return Lifecycle{phase: JobRecovering, startSent: true, ranBefore: attempt > 1}
}

// Apply moves the job on; it returns a TransitionError and changes nothing if
// the event cannot happen in the job's phase.
func (l *Lifecycle) Apply(event LifecycleEvent) error {
	t := transitions[l.phase][event]
	if !t.valid {
		return &TransitionError{Phase: l.phase, Event: event}
	}
	l.phase = t.next
	l.note(event)
	return nil
}

func (l *Lifecycle) note(event LifecycleEvent) {
	switch event {
	case StartSent:
		l.startSent = true
	case VoidConfirmed:
		l.startSent = false
	case MembersStopped:
		l.ranBefore = l.ranBefore || l.startSent
		l.startSent = false
	case MembersFinished:
		l.finished = true
	}
}

// Phase returns where the job stands.
func (l *Lifecycle) Phase() JobPhase { return l.phase }

// Ran returns what is known of the work over all attempts so far. Once the
// job is done, NotRun says that no member ran and none ever will.
func (l *Lifecycle) Ran() Ran {
	switch {
	case l.finished:
		return RanWhole
	case l.startSent || l.ranBefore:
		return Unknown
	default:
		return NotRun
	}
}

// MayRetry reports whether another attempt may be made: no part of an earlier
// one is left, and the job is idempotent or surely did not run.
func (l *Lifecycle) MayRetry(idempotent bool) bool {
	return l.phase == JobQueued && (idempotent || l.Ran() == NotRun)
}
