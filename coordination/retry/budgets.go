package retry

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"comfreystream/state"
)

const (
	maxOrganisations = 4096
	maxWorkers       = 16384
)

// Settings limits the retries.
type Settings struct {
	// Ratio is how many retries each first attempt adds to the organisation's
	// budget.
	Ratio float64
	// Burst is the initial and maximum budget of an organisation, in retries.
	Burst float64
	// WorkerInterval is the minimum time between retries that one worker causes,
	// once WorkerBurst of them have been used up.
	WorkerInterval time.Duration
	WorkerBurst    int
}

// DefaultSettings returns the settings of a production zone.
func DefaultSettings() Settings {
	return Settings{Ratio: 0.2, Burst: 20, WorkerInterval: time.Second, WorkerBurst: 10}
}

// Budgets holds the retry budgets of a zone's organisations and workers; it is
// safe for concurrent use.
//
// The attempts of an organisation that fail on workers or may have run are at
// most jobs * (1 + Ratio) + Burst, whatever fraction of the workers fails.
type Budgets struct {
	settings Settings
	now      func() time.Time
	// random returns a number in [0, 1).
	random              func() float64
	organisationBudgets *state.Table[string, float64]
	workerLimiters      *state.Table[netip.AddrPort, *rate.Limiter]
}

// New returns full budgets; random returns numbers in [0, 1). random and now
// must be safe for concurrent use.
func New(settings Settings, now func() time.Time, random func() float64) *Budgets {
	return &Budgets{
		settings:            settings,
		now:                 now,
		random:              random,
		organisationBudgets: state.NewBoundedTable[string, float64](maxOrganisations),
		workerLimiters:      state.NewBoundedTable[netip.AddrPort, *rate.Limiter](maxWorkers),
	}
}

// Decision says whether a job gets another attempt.
type Decision struct {
	Again bool
	// NotBefore is the earliest time to plan the next attempt, if there is one.
	NotBefore time.Time
	// Reason is why there is no other attempt.
	Reason state.Reason
}

// CreditFirstAttempt adds to the organisation's budget; it must be called once
// for each job.
func (r *Budgets) CreditFirstAttempt(organisation string) {
	r.organisationBudgets.Update(organisation, func(saved float64, found bool) (float64, bool) {
		if !found {
			saved = r.settings.Burst
		}
		return min(saved+r.settings.Ratio, r.settings.Burst), true
	})
}

// Decide decides on another attempt after a failed one; ran is what is known of
// its execution, failed are the workers to blame. An attempt that did not run
// and for which no worker is to blame, such as a refused lease, costs no budget:
// only its backoff and the deadline limit it.
func (r *Budgets) Decide(job *state.Job, attempt state.Attempt, ran state.Ran, failed []netip.AddrPort) Decision {
	if ran == state.RanToCompletion {
		return Decision{}
	}
	if ran != state.NotRun && !job.Idempotent {
		return Decision{Reason: state.AmbiguousStart}
	}
	now := r.now()
	notBefore := now.Add(backoff(attempt, r.random()))
	if reason := deadlineReason(job, now, notBefore); reason != "" {
		return Decision{Reason: reason}
	}
	if ran == state.NotRun && len(failed) == 0 {
		return Decision{Again: true, NotBefore: notBefore}
	}
	return r.spendRetry(job, now, notBefore, failed)
}

// Forget drops the budget of a worker that has left.
func (r *Budgets) Forget(worker netip.AddrPort) {
	r.workerLimiters.Delete(worker)
}

func deadlineReason(job *state.Job, now, notBefore time.Time) state.Reason {
	switch {
	case job.Deadline.IsZero() || notBefore.Before(job.Deadline):
		return ""
	case now.Before(job.Deadline):
		return state.DeadlineTooClose
	default:
		return state.DeadlinePassed
	}
}
