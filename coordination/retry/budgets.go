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

// Settings bounds the retries.
type Settings struct {
	// Ratio is how many retries each first attempt of an organisation earns.
	Ratio float64
	// Burst is how many retries an organisation has at first and may save up.
	Burst float64
	// WorkerInterval is the least time between retries that one worker causes,
	// once WorkerBurst of them have been used up.
	WorkerInterval time.Duration
	WorkerBurst    int
}

// DefaultSettings returns the settings of a production zone.
func DefaultSettings() Settings {
	return Settings{Ratio: 0.2, Burst: 20, WorkerInterval: time.Second, WorkerBurst: 10}
}

// Retries holds the retry budgets of a zone's organisations and workers; it is
// safe for several goroutines.
//
// The attempts of an organisation that fail on workers or may have run are at
// most jobs * (1 + Ratio) + Burst, whatever part of the workers fails.
type Retries struct {
	settings Settings
	now      func() time.Time
	// random returns a number in [0, 1).
	random        func() float64
	organisations *state.Table[string, float64]
	workers       *state.Table[netip.AddrPort, *rate.Limiter]
}

// New returns full budgets; random returns numbers in [0, 1) and, like now, is
// safe for several goroutines.
func New(settings Settings, now func() time.Time, random func() float64) *Retries {
	return &Retries{
		settings:      settings,
		now:           now,
		random:        random,
		organisations: state.NewBoundedTable[string, float64](maxOrganisations),
		workers:       state.NewBoundedTable[netip.AddrPort, *rate.Limiter](maxWorkers),
	}
}

// Decision says whether an attempt is repeated.
type Decision struct {
	Again bool
	// NotBefore is when the next attempt may be planned, if there is one.
	NotBefore time.Time
	// Reason is why there is none.
	Reason state.Reason
}

// FirstAttempt adds to the organisation's budget; call it once for each job.
func (r *Retries) FirstAttempt(organisation string) {
	r.organisations.Update(organisation, func(saved float64, found bool) (float64, bool) {
		if !found {
			saved = r.settings.Burst
		}
		return min(saved+r.settings.Ratio, r.settings.Burst), true
	})
}

// Next decides on the job after a failed attempt, of which ran is known and
// failed are the workers to blame. An attempt that did not run and that no
// worker failed, as when a lease was refused, costs no budget: its backoff
// and the deadline bound it.
func (r *Retries) Next(job *state.Job, attempt state.Attempt, ran state.Ran, failed []netip.AddrPort) Decision {
	if ran == state.RanWhole {
		return Decision{}
	}
	if ran != state.NotRun && !job.Idempotent {
		return Decision{Reason: state.AmbiguousStart}
	}
	now := r.now()
	notBefore := now.Add(backoff(attempt, r.random()))
	if reason := missesDeadline(job, now, notBefore); reason != "" {
		return Decision{Reason: reason}
	}
	if ran == state.NotRun && len(failed) == 0 {
		return Decision{Again: true, NotBefore: notBefore}
	}
	return r.spend(job, now, notBefore, failed)
}

// Forget drops the budget of a worker that has left.
func (r *Retries) Forget(worker netip.AddrPort) {
	r.workers.Delete(worker)
}

func missesDeadline(job *state.Job, now, notBefore time.Time) state.Reason {
	switch {
	case job.Deadline.IsZero() || notBefore.Before(job.Deadline):
		return ""
	case now.Before(job.Deadline):
		return state.DeadlineTooClose
	default:
		return state.DeadlinePassed
	}
}
