package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"comfreystream/state"
)

// Settings bounds a zone's queue.
type Settings struct {
	// QueueJobs is how many jobs the queue holds at most.
	QueueJobs int
	// OrganisationQueueJobs is how many of them one organisation has at most.
	OrganisationQueueJobs int
}

// DefaultSettings returns the settings of a production zone.
func DefaultSettings() Settings {
	return Settings{QueueJobs: 10000, OrganisationQueueJobs: 5000}
}

// QueueView is what the planner knows of its queue at the time of a decision.
type QueueView struct {
	// Jobs is the length of the queue.
	Jobs int
	// OrganisationJobs is how many of them are the job's organisation's.
	OrganisationJobs int
	// Wait is how long a job of this urgency is expected to stay in the queue.
	Wait time.Duration
	// RunTime is the least time that the job is expected to run; 0 is unknown.
	RunTime time.Duration
	// Share is the dominant share that the organisation uses and waits for, and
	// FairShare the one that it is due.
	Share, FairShare float64
	// WithinGuarantee is set if the job fits what is left of the
	// organisation's guaranteed shape.
	WithinGuarantee bool
}

// Admission applies limits by organisation and sheds load; it is safe for
// several goroutines.
type Admission struct {
	settings Settings
	now      func() time.Time
	// count counts each refusal by its reason.
	count func(reason state.Reason)
	// limiters holds one limiter for each organisation of the manifest.
	limiters *state.Table[string, limiter]

	applying   sync.Mutex
	generation atomic.Uint64
}

// limiter bounds how fast an organisation submits jobs.
type limiter struct {
	organisation string
	jobs         *rate.Limiter
}

// New returns an admission without a manifest, which refuses every job; now
// and count are safe for several goroutines.
func New(settings Settings, now func() time.Time, count func(reason state.Reason)) *Admission {
	return &Admission{settings: settings, now: now, count: count, limiters: state.NewTable[string, limiter]()}
}

// Admit returns the reason for which the job must not join the queue, or "". A
// refused job takes nothing from its organisation's rate; a job that did not
// run may be told so.
func (a *Admission) Admit(job *state.Job, queue QueueView) state.Reason {
	reason := a.decide(job, queue)
	if reason != "" {
		a.count(reason)
	}
	return reason
}

func (a *Admission) decide(job *state.Job, queue QueueView) state.Reason {
	if a.generation.Load() == 0 {
		return state.NoManifest
	}
	limiter, found := a.limiters.Get(job.Organisation)
	if !found {
		return state.UnknownOrganisation
	}
	now := a.now()
	if reason := missesDeadline(job, queue, now); reason != "" {
		return reason
	}
	if queue.OrganisationJobs >= a.settings.OrganisationQueueJobs {
		return state.QueueFull
	}
	if reason := shed(job.Urgency, queue, a.settings.QueueJobs); reason != "" {
		return reason
	}
	if !limiter.jobs.AllowN(now, 1) {
		return state.OverBurst
	}
	return ""
}

func missesDeadline(job *state.Job, queue QueueView, now time.Time) state.Reason {
	switch {
	case job.Deadline.IsZero():
		return ""
	case !now.Before(job.Deadline):
		return state.DeadlinePassed
	case now.Add(queue.Wait + queue.RunTime).After(job.Deadline):
		return state.DeadlineTooClose
	default:
		return ""
	}
}
