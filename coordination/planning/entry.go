package planning

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

type phase uint8

const (
	queued phase = iota
	starting
	running
	stopping
	gone
)

// tenure says by what right a job holds its resources.
type tenure uint8

const (
	// borrowed work may be stopped for a reclaim.
	borrowed tenure = iota
	// firm work runs beside the guarantees until it ends.
	firm
	// covered work runs on its own organisation's guarantee.
	covered
)

// Waiting says why a queued job does not start.
type Waiting string

// The reasons for which a queued job waits.
const (
	WaitingForRound   Waiting = "round"
	WaitingForRoom    Waiting = "room"
	WaitingForQuota   Waiting = "quota"
	WaitingForBackoff Waiting = "backoff"
	WaitingForReclaim Waiting = "reclaim"
)

// hold is a part of a gang on one worker; units is how many guaranteed members
// of the entry's guarantee it takes there.
type hold struct {
	worker  *worker
	members int
	units   int
}

// entry is one job that the planner knows. The queue's lock guards the first
// group of fields, the planner's rounds lock the second.
type entry struct {
	job      state.Job
	queue    *queue
	estimate time.Duration

	phase     phase
	attempt   state.Attempt
	notBefore time.Time
	avoid     []netip.AddrPort
	waiting   Waiting
	cancelled bool
	previous  *entry
	next      *entry

	tenure    tenure
	guarantee *guarantee
	holds     []hold
	// claims is set while the holds wait for other work to make way.
	claims  bool
	started time.Time
	// moves counts how often the job was stopped to make room for a larger gang.
	moves int
}

func (e *entry) avoids(w *worker) bool {
	for _, address := range e.avoid {
		if address == w.Address {
			return true
		}
	}
	return false
}

// avoidance is how long a job that may start waits for other workers than those to avoid.
const avoidance = 5 * time.Second

// forgive drops the workers to avoid once the job has waited for others, as it
// may fit nowhere else; until then it returns when that will be.
func (e *entry) forgive(now time.Time) (due time.Time) {
	if len(e.avoid) == 0 {
		return time.Time{}
	}
	due = e.notBefore.Add(avoidance)
	if due.After(now) {
		return due
	}
	e.avoid = nil
	return time.Time{}
}

// stoppable reports whether others than guarantees may stop the job too.
func (e *entry) stoppable() bool {
	return e.tenure == borrowed && e.job.Urgency != state.Urgent
}

// expectedEnd returns when the job should end; one that overruns its estimate
// is expected to take as long again as it has run.
func (e *entry) expectedEnd(now time.Time) time.Time {
	elapsed := now.Sub(e.started)
	if elapsed >= e.estimate {
		return now.Add(elapsed)
	}
	return e.started.Add(e.estimate)
}

// loss returns the accelerator time that stopping the job throws away. Work
// that can checkpoint loses only the time to save and load it.
func (e *entry) loss(now time.Time) time.Duration {
	accelerators := time.Duration(max(1, e.job.Total().Accelerators))
	lost := now.Sub(e.started)
	if e.job.Checkpointable {
		lost = min(lost, checkpointCost)
	}
	return max(lost, 0) * accelerators
}

func (e *entry) placements() []state.Placement {
	placements := make([]state.Placement, len(e.holds))
	for i, h := range e.holds {
		placements[i] = state.Placement{Worker: h.worker.Address, Rack: h.worker.Rack.Name, Members: h.members}
	}
	return placements
}
