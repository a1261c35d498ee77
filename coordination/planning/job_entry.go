package planning

import (
	"net/netip"
	"time"

	"comfreystream/state"
)

// jobPhase is how far the planner has come with a job.
type jobPhase uint8

const (
	queued jobPhase = iota
	starting
	running
	stopping
	// ended jobs are no longer known to the planner.
	ended
)

// entitlement is the basis on which a job uses resources.
type entitlement uint8

const (
	// borrowed jobs may be stopped by a reclaim.
	borrowed entitlement = iota
	// nonPreemptible jobs run outside of guarantees until they end.
	nonPreemptible
	// guaranteed jobs run on a guarantee of their own organisation.
	guaranteed
)

// WaitReason is why a queued job has not started.
type WaitReason string

// The reasons for which a queued job waits.
const (
	WaitingForRound   WaitReason = "round"
	WaitingForRoom    WaitReason = "room"
	WaitingForQuota   WaitReason = "quota"
	WaitingForBackoff WaitReason = "backoff"
	WaitingForReclaim WaitReason = "reclaim"
	// WaitingForZone means that the zone is evacuated.
	WaitingForZone WaitReason = "zoneEvacuated"
)

// hold is the part of a gang on one worker; units is how many units of the job's guarantee
// it takes there, 0 without a guarantee.
type hold struct {
	worker  *worker
	members int
	units   int
}

// jobEntry is a job that the planner knows. The first three fields do not change. queue.mu
// guards those from phase to next, except avoidedWorkers; the planner's placementMu guards
// avoidedWorkers and the rest.
type jobEntry struct {
	job              state.Job
	queue            *queue
	estimatedRunTime time.Duration

	phase          jobPhase
	attempt        state.Attempt
	notBefore      time.Time
	avoidedWorkers []netip.AddrPort
	waitReason     WaitReason
	cancelled      bool
	previous       *jobEntry
	next           *jobEntry

	entitlement entitlement
	guarantee   *guarantee
	holds       []hold
	// awaitsReclaim is set while the job is still queued and its holds are claims on
	// resources that reclaimed jobs have yet to free.
	awaitsReclaim bool
	// started is when the attempt was decided or confirmed or, with awaitsReclaim, when the
	// claims were made.
	started time.Time
	// moveCount is how often the job was stopped to make room for a larger gang.
	moveCount int
}

func (e *jobEntry) avoids(w *worker) bool {
	for _, address := range e.avoidedWorkers {
		if address == w.Address {
			return true
		}
	}
	return false
}

// avoidTimeout is how long a job that may start waits for workers other than the avoided
// ones.
const avoidTimeout = 5 * time.Second

// expireAvoidedWorkers clears the avoided workers once the job has waited for avoidTimeout,
// since it may fit nowhere else; until then it returns when that will be.
func (e *jobEntry) expireAvoidedWorkers(now time.Time) (expiry time.Time) {
	if len(e.avoidedWorkers) == 0 {
		return time.Time{}
	}
	expiry = e.notBefore.Add(avoidTimeout)
	if expiry.After(now) {
		return expiry
	}
	e.avoidedWorkers = nil
	return time.Time{}
}

// preemptible reports whether any reclaim may stop the job; a borrowed urgent job is
// stopped only for a guarantee.
func (e *jobEntry) preemptible() bool {
	return e.entitlement == borrowed && e.job.Urgency != state.Urgent
}

// expectedEnd returns when the job is expected to end; one that exceeds its estimate is
// expected to run as long again as it has run so far.
func (e *jobEntry) expectedEnd(now time.Time) time.Time {
	elapsed := now.Sub(e.started)
	if elapsed >= e.estimatedRunTime {
		return now.Add(elapsed)
	}
	return e.started.Add(e.estimatedRunTime)
}

// preemptionLoss returns the accelerator time that is lost by stopping the job; a
// checkpointable job loses at most the time to save and load its state.
func (e *jobEntry) preemptionLoss(now time.Time) time.Duration {
	accelerators := time.Duration(max(1, e.job.Total().Accelerators))
	lost := now.Sub(e.started)
	if e.job.Checkpointable {
		lost = min(lost, checkpointCost)
	}
	return max(lost, 0) * accelerators
}

func (e *jobEntry) placements() []state.Placement {
	placements := make([]state.Placement, len(e.holds))
	for i, h := range e.holds {
		placements[i] = state.Placement{Worker: h.worker.Address, Rack: h.worker.Rack.Name, Members: h.members}
	}
	return placements
}
