package state

import "fmt"

// JobPhase is a job's state between its acceptance and its answer.
type JobPhase uint8

// The phases of a job.
const (
	// JobQueued means that the job waits for its next attempt; nothing of an
	// earlier attempt is still held or running.
	JobQueued JobPhase = iota
	// JobHolding means that workers were asked to reserve resources for the gang.
	JobHolding
	// JobStarting means that start messages were sent, but not all are confirmed.
	JobStarting
	JobRunning
	// JobStopping means that the attempt is being stopped.
	JobStopping
	// JobRecovering means that the job was taken over from another instance;
	// its members may be running.
	JobRecovering
	JobDone
	jobPhases
)

var phaseNames = [jobPhases]string{"queued", "holding", "starting", "running", "stopping", "recovering", "done"}

// String returns the name of the phase, such as "queued".
func (p JobPhase) String() string { return phaseNames[p] }

// LifecycleEvent is an action that the instance took for a job, or news that it received about it.
type LifecycleEvent uint8

// The events of a job. An event that ends in "Sent" is applied before its
// message is sent, and the message is not sent if the event is rejected.
const (
	HoldSent LifecycleEvent = iota
	// HoldRefused means that resources were not reserved for the whole gang and no start was sent.
	HoldRefused
	// StartSent precedes the first start message of an attempt.
	StartSent
	// StartConfirmed means that every member was started.
	StartConfirmed
	// MembersAdopted means that every member of a recovered job was found running.
	MembersAdopted
	// MembersFinished means that every member ran to completion.
	MembersFinished
	StopSent
	// VoidConfirmed means that every worker confirmed that the attempt's tokens
	// are void and that no member was started under them.
	VoidConfirmed
	// MembersStopped means that every member is stopped or its lease has expired.
	MembersStopped
	// JobEnded means that the caller was answered; no further attempt is made.
	JobEnded
	lifecycleEvents
)

var eventNames = [lifecycleEvents]string{
	"holdSent", "holdRefused", "startSent", "startConfirmed", "membersAdopted",
	"membersFinished", "stopSent", "voidConfirmed", "membersStopped", "jobEnded",
}

// String returns the name of the event, such as "startSent".
func (e LifecycleEvent) String() string { return eventNames[e] }

// TransitionError reports an event that is not valid in the job's phase.
type TransitionError struct {
	Phase JobPhase
	Event LifecycleEvent
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("event %v is not valid for a job in phase %v", e.Event, e.Phase)
}

type transition struct {
	next  JobPhase
	valid bool
}

func moveTo(next JobPhase) transition { return transition{next: next, valid: true} }

var transitions = [jobPhases][lifecycleEvents]transition{
	JobQueued: {HoldSent: moveTo(JobHolding), JobEnded: moveTo(JobDone)},
	JobHolding: {
		HoldRefused: moveTo(JobQueued), StartSent: moveTo(JobStarting), StopSent: moveTo(JobStopping),
		JobEnded: moveTo(JobDone),
	},
	JobStarting: {
		StartConfirmed: moveTo(JobRunning), MembersFinished: moveTo(JobDone), StopSent: moveTo(JobStopping),
	},
	JobRunning: {MembersFinished: moveTo(JobDone), StopSent: moveTo(JobStopping)},
	JobStopping: {
		StopSent: moveTo(JobStopping), MembersFinished: moveTo(JobDone), VoidConfirmed: moveTo(JobQueued),
		MembersStopped: moveTo(JobQueued), JobEnded: moveTo(JobDone),
	},
	JobRecovering: {
		MembersAdopted: moveTo(JobRunning), MembersFinished: moveTo(JobDone), StopSent: moveTo(JobStopping),
	},
}

// Lifecycle is the state machine of one job. It tracks what is known about
// whether the job's work was executed, so that the caller gets a correct
// answer. The zero value is a queued job. It is not safe for concurrent use.
type Lifecycle struct {
	phase JobPhase
	// startSent is set while members of the current attempt may be running or have run.
	startSent bool
	// ranBefore is set once members of an earlier attempt may have run.
	ranBefore bool
	finished  bool
}

// RecoveredLifecycle returns the lifecycle of a job whose instance was lost
// during or before the attempt; the attempt counts as started until the
// workers confirm that it was not.
func RecoveredLifecycle(attempt Attempt) Lifecycle {
	return Lifecycle{phase: JobRecovering, startSent: true, ranBefore: attempt > 1}
}

// Apply performs the transition for the event; it returns a TransitionError
// and changes nothing if the event is not valid in the job's phase.
func (l *Lifecycle) Apply(event LifecycleEvent) error {
	t := transitions[l.phase][event]
	if !t.valid {
		return &TransitionError{Phase: l.phase, Event: event}
	}
	l.phase = t.next
	l.recordEvidence(event)
	return nil
}

func (l *Lifecycle) recordEvidence(event LifecycleEvent) {
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

// Phase returns the job's current phase.
func (l *Lifecycle) Phase() JobPhase { return l.phase }

// Ran returns what is known about execution over all attempts so far. Once the
// job is done, NotRun means that no member ran and none ever will.
func (l *Lifecycle) Ran() Ran {
	switch {
	case l.finished:
		return RanToCompletion
	case l.startSent || l.ranBefore:
		return OutcomeUnknown
	default:
		return NotRun
	}
}

// MayRetry reports whether another attempt may be made: nothing of an earlier
// one is left, and the job is idempotent or is known not to have run.
func (l *Lifecycle) MayRetry(idempotent bool) bool {
	return l.phase == JobQueued && (idempotent || l.Ran() == NotRun)
}
