package retry

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"comfreystream/state"
)

// spend takes a retry from the budgets of the failed workers and of the
// organisation, or nothing. A worker's budget delays the retry; one that would
// have to wait beyond maxBackoff or the deadline is refused.
func (r *Retries) spend(job *state.Job, now, notBefore time.Time, failed []netip.AddrPort) Decision {
	reserved, wait := r.reserve(now, failed)
	if now.Add(wait).After(notBefore) {
		notBefore = now.Add(wait)
	}
	reason := missesDeadline(job, now, notBefore)
	if wait > maxBackoff || (reason == "" && !r.take(job.Organisation)) {
		reason = state.RetryBudgetSpent
	}
	if reason == "" {
		return Decision{Again: true, NotBefore: notBefore}
	}
	for _, reservation := range reserved {
		reservation.CancelAt(now)
	}
	return Decision{Reason: reason}
}

// reserve takes a retry from each worker's budget and returns the longest wait.
func (r *Retries) reserve(now time.Time, failed []netip.AddrPort) (reserved []*rate.Reservation, wait time.Duration) {
	for _, worker := range failed {
		reservation := r.limiter(worker).ReserveN(now, 1)
		wait = max(wait, reservation.DelayFrom(now))
		reserved = append(reserved, reservation)
	}
	return reserved, wait
}

func (r *Retries) limiter(worker netip.AddrPort) (limiter *rate.Limiter) {
	r.workers.Update(worker, func(known *rate.Limiter, found bool) (*rate.Limiter, bool) {
		if !found {
			known = rate.NewLimiter(rate.Every(r.settings.WorkerInterval), r.settings.WorkerBurst)
		}
		limiter = known
		return known, true
	})
	return limiter
}

func (r *Retries) take(organisation string) (taken bool) {
	r.organisations.Update(organisation, func(saved float64, found bool) (float64, bool) {
		if !found {
			saved = r.settings.Burst
		}
		taken = saved >= 1
		if taken {
			saved--
		}
		return saved, true
	})
	return taken
}
