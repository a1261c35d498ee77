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
	// QueueJobs is the maximum number of jobs in the queue.
	QueueJobs int
	// OrganisationQueueJobs is the maximum number of them of one organisation.
	OrganisationQueueJobs int
}

// DefaultSettings returns the settings of a production zone.
func DefaultSettings() Settings {
	return Settings{QueueJobs: 10000, OrganisationQueueJobs: 5000}
}

// QueueView is the state of the planner's queue at the time of a decision.
type QueueView struct {
	// Jobs is the number of jobs in the queue.
	Jobs int
	// OrganisationJobs is the number of them of the job's organisation.
	OrganisationJobs int
	// Wait is how long a job of this urgency is expected to stay in the queue.
	Wait time.Duration
	// RunTime is the minimum expected run time of the job; 0 is unknown.
	RunTime time.Duration
	// Share is the dominant resource share that the organisation uses and has
	// requested; FairShare is the share that it is entitled to.
	Share, FairShare float64
	// WithinGuarantee is set if the job fits the unused part of the
	// organisation's guarantee.
	WithinGuarantee bool
}

// Admission applies rate limits by organisation and sheds load; it is safe for
// concurrent use.
type Admission struct {
	settings Settings
	now      func() time.Time
	// count counts each refusal by its reason.
	count func(reason state.Reason)
	// limiters holds one limiter for each organisation of the manifest.
	limiters *state.Table[string, limiter]

	applyMu    sync.Mutex
	generation atomic.Uint64
}

// limiter bounds how fast an organisation submits jobs.
type limiter struct {
	organisation string
	jobs         *rate.Limiter
}

// New returns an admission without a manifest, which refuses every job; now and
// count must be safe for concurrent use.
func New(settings Settings, now func() time.Time, count func(reason state.Reason)) *Admission {
	return &Admission{settings: settings, now: now, count: count, limiters: state.NewTable[string, limiter]()}
}

// Admit returns the reason why the job must not join the queue, or "". A refused
// job does not use up its organisation's rate, and has not run.
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
	if reason := deadlineReason(job, queue, now); reason != "" {
		return reason
	}
	if queue.OrganisationJobs >= a.settings.OrganisationQueueJobs {
		return state.QueueFull
	}
	if reason := shedReason(job.Urgency, queue, a.settings.QueueJobs); reason != "" {
		return reason
	}
	if !limiter.jobs.AllowN(now, 1) {
		return state.OverBurst
	}
	return ""
}

func deadlineReason(job *state.Job, queue QueueView, now time.Time) state.Reason {
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
