package scheduling

import (
	"time"

	"github.com/pkg/errors"
)

// A worker refuses the orders of earlier planners once it has heard of this term, but
// a restarted one has heard of none. Until an earlier planner certainly gives no more
// orders, it may repeat one to start an attempt that it stored, so that this attempt
// runs although the worker had reported that it does not. Left open is a restart that
// neither planner's renewals show, between the start of the next attempt and a repeated
// order of the earlier planner, which is sent within startValidity.

// mayHaveRestarted reports whether the worker may have restarted since its newest
// report: a later renewal failed, or its registry entry is of another incarnation.
func (p *pool) mayHaveRestarted(w *worker) bool {
	p = p.lock()
	defer p.mu.Unlock()
	return w.failedRenewal > w.reportedRenewal || w.info.registered && w.info.Incarnation != w.incarnation
}

// noteFailedRenewal notes that a renewal was not answered with a report.
func (p *pool) noteFailedRenewal(w *worker, number int) {
	p = p.lock()
	defer p.mu.Unlock()
	w.failedRenewal = max(w.failedRenewal, number)
}

// earlierAttempt is the attempt of a group that an earlier planner stored.
type earlierAttempt struct {
	// hosts holds its workers that may still be ordered to start it.
	hosts []*worker
	// checked is this planner's attempt for which they are asked, since the time when it
	// was stored.
	checked int
	since   time.Time
}

// mayRunElsewhere reports whether another attempt of the group's tasks may run: one
// that a worker reports, or that of an earlier planner on a worker which has not
// reported since the group's attempt was stored. Such workers are asked at once.
func (p *pool) mayRunElsewhere(g *group, now time.Time) bool {
	if p.runsUnknown(g) {
		return true
	}
	e := &g.earlier
	if e.checked != g.attempt {
		e.checked, e.since = g.attempt, now
		for _, w := range e.hosts {
			p.scheduler.goroutines.Go(func() { p.askWorker(w) })
		}
	}
	unheard := false
	kept := e.hosts[:0]
	for _, w := range e.hosts {
		if !p.refusesEarlier(w, now) {
			kept = append(kept, w)
			unheard = unheard || w.reportedSentAt.Before(e.since)
		}
	}
	e.hosts = kept
	return unheard
}

// refusesEarlier reports whether the worker certainly starts nothing for an earlier
// planner and runs none of its attempts that are not known: it has left, its lease has
// run out, or it has reported since the last order that such a planner may have sent.
func (p *pool) refusesEarlier(w *worker, now time.Time) bool {
	return !w.leftAt.IsZero() || !now.Before(w.leaseExpiry) ||
		!w.reportedSentAt.Before(p.scheduler.termBegan.Add(p.scheduler.Bounds.Overlap))
}

// askWorker requests a report at once, and has a round start what waited for it.
func (p *pool) askWorker(w *worker) {
	if err := p.renew(w, false); errors.Is(err, ErrTermEnded) {
		p.scheduler.endTerm(err)
		return
	}
	p.wakePlan()
}
