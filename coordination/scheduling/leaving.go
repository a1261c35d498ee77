package scheduling

import (
	"time"

	"comfreystream/state/workflow"
)

// notice is what a draining worker's registry entry says of its leaving. The zero
// notice says nothing.
type notice struct {
	beat      int64
	remaining time.Duration
	// staysUntil is until when the worker surely stays: the entry was written after the
	// previous listing. leavesBy is the latest time that the entry can mean, as it was
	// written before it was listed.
	staysUntil, leavesBy time.Time
}

// given reports whether the worker has said how long it stays.
func (n *notice) given() bool { return n.remaining > 0 }

// noteNotice updates a worker's notice with its listed entry. The entry may be as old
// as a heartbeat when the term lists the registry for the first time. The caller holds
// the lock.
func (p *pool) noteNotice(w *worker, info *workflow.Worker, previousListing, now time.Time) {
	if !info.Draining || info.Remaining <= 0 {
		delete(p.leaving, w)
		w.notice = notice{}
		return
	}
	if w.notice.beat == info.Beat && w.notice.remaining == info.Remaining {
		return
	}
	if previousListing.IsZero() {
		previousListing = now.Add(-p.scheduler.Bounds.Heartbeat)
	}
	if !w.notice.given() {
		p.scheduler.Count(workerLeaving)
		p.scheduler.Log.Info().Str("event", "workerLeaving").Str("worker", string(w.id)).Dur("remaining", info.Remaining).
			Dur("notedAfter", now.Sub(previousListing)).Int("tasks", len(w.members)).Send()
	}
	p.leaving[w] = struct{}{}
	w.notice = notice{
		beat: info.Beat, remaining: info.Remaining, leavesBy: now.Add(info.Remaining),
		staysUntil: latest(w.notice.staysUntil, previousListing.Add(info.Remaining)),
	}
	wake(p.planDue)
}

// stopLeaving stops the groups that cannot finish before one of their workers leaves.
// Once the worker has gone, they would wait for its lease to run out. The caller holds
// the lock.
func (p *pool) stopLeaving(now time.Time) {
	for w := range p.leaving {
		if !w.info.registered && len(w.members) == 0 {
			delete(p.leaving, w)
			w.notice = notice{}
		}
		for _, m := range w.members {
			p.stopIfCutShort(m.group, now)
		}
	}
}

// stopIfCutShort stops a group that is to start or runs on workers that leave, unless
// it may finish in time. A worker that stays longer than it said is left alone.
func (p *pool) stopIfCutShort(g *group, now time.Time) {
	staysUntil, leavesBy := g.departure(now)
	switch {
	case g.phase == saving || g.phase == placed && !g.startsSent:
	case g.phase != placed || leavesBy.Before(now):
		return
	case g.step.LongRunning:
		if !p.mayMove(g) {
			return
		}
	default:
		least, likely := g.endTimes()
		// A checkpoint keeps the work of a group that will probably not finish.
		saves := g.step.Checkpointable && likely.After(staysUntil)
		if !least.After(leavesBy) && !saves {
			return
		}
		p.scheduler.Log.Info().Str("event", "attemptCutShort").Str("request", string(g.job.ID)).Int("step", g.id.Step).
			Int("index", g.id.Index).Int("attempt", g.attempt).Dur("leavesIn", leavesBy.Sub(now)).
			Dur("endsInAtLeast", least.Sub(now)).Dur("endsIn", likely.Sub(now)).Send()
	}
	p.stopGroup(g, reasonLeaving)
}

// departure returns until when all workers of the group surely stay, and by when the
// first of them may have left at the latest; zero if none is about to leave.
func (g *group) departure(now time.Time) (staysUntil, leavesBy time.Time) {
	for _, m := range g.members {
		n := &m.worker.notice
		if m.phase == ended || !n.given() || n.leavesBy.Before(now) {
			continue // a worker that stays longer than it said hides no other notice
		}
		if staysUntil.IsZero() || n.staysUntil.Before(staysUntil) {
			staysUntil = n.staysUntil
		}
		if leavesBy.IsZero() || n.leavesBy.Before(leavesBy) {
			leavesBy = n.leavesBy
		}
	}
	return staysUntil, leavesBy
}

// mayMove reports whether a long-running group can be stopped without a second one of
// its step being down.
func (p *pool) mayMove(g *group) bool {
	for _, id := range g.job.GroupsOf(g.id.Occurrence, g.id.Step) {
		if other := g.job.groups[id]; other != nil && other != g && !other.allRunning() {
			return false
		}
	}
	return true
}

func (g *group) allRunning() bool {
	for _, m := range g.members {
		if m.phase != running {
			return false
		}
	}
	return g.phase == placed && g.startsSent
}

// endTimes returns when the group can end at the earliest and when it will probably
// end: with its slowest member.
func (g *group) endTimes() (least, likely time.Time) {
	for _, m := range g.members {
		memberLeast, memberLikely := m.progress.endTimes(m.group.placedAt, g.step.Estimate)
		least, likely = latest(least, memberLeast), latest(likely, memberLikely)
	}
	return least, likely
}

// shortLease returns the lease of a worker that leaves: it need not outlast the stay, but
// a lost renewal.
func (p *pool) shortLease(n *notice) time.Duration {
	lease := p.scheduler.Bounds.LeaseLimit / 2
	if !n.given() {
		return lease
	}
	return min(lease, max(n.leavesBy.Sub(p.scheduler.Now()), p.maxReportAge()))
}
