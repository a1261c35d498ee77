package retry

import (
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"comfreystream/state"
)

// spendRetry takes a retry from the budgets of the failed workers and of the
// organisation, or from none. A worker's budget delays the retry; a retry
// delayed beyond maxBackoff or the deadline is refused.
func (r *Budgets) spendRetry(job *state.Job, now, notBefore time.Time, failed []netip.AddrPort) Decision {
	reserved, wait := r.reserveWorkerRetries(now, failed)
	if now.Add(wait).After(notBefore) {
		notBefore = now.Add(wait)
	}
	reason := deadlineReason(job, now, notBefore)
	if wait > maxBackoff || (reason == "" && !r.takeOrganisationRetry(job.Organisation)) {
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

// reserveWorkerRetries takes a retry from each worker's budget and returns the
// longest wait.
func (r *Budgets) reserveWorkerRetries(now time.Time, failed []netip.AddrPort) (reserved []*rate.Reservation, wait time.Duration) {
	for _, worker := range failed {
		reservation := r.workerLimiter(worker).ReserveN(now, 1)
		wait = max(wait, reservation.DelayFrom(now))
		reserved = append(reserved, reservation)
	}
	return reserved, wait
}

func (r *Budgets) workerLimiter(worker netip.AddrPort) (limiter *rate.Limiter) {
	r.workerLimiters.Update(worker, func(known *rate.Limiter, found bool) (*rate.Limiter, bool) {
		if !found {
			known = rate.NewLimiter(rate.Every(r.settings.WorkerInterval), r.settings.WorkerBurst)
		}
		limiter = known
		return known, true
	})
	return limiter
}

func (r *Budgets) takeOrganisationRetry(organisation string) (taken bool) {
	r.organisationBudgets.Update(organisation, func(saved float64, found bool) (float64, bool) {
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
