package scheduling

import (
	"math"
	"slices"
	"time"

	"comfreystream/coordination/interference"
	"comfreystream/state/workflow"
)

// minIdleToSeparate is the fraction of the accelerators that must be idle after all
// waiting groups were placed for kinds of work to be kept apart. On a fuller deployment,
// tasks that are spread for it would break up the whole workers that gangs wait for.
const minIdleToSeparate = 0.25

// observeNeighbours passes the progress of the worker's tasks beside each other to the
// model of interference. The caller has applied the report.
func (p *pool) observeNeighbours(w *worker, report workflow.Report, now time.Time) {
	if len(w.unknownTasks) > 0 || now.Before(w.warmUntil) {
		w.forgetNeighbours()
		return
	}
	kinds := p.kindsScratch[:0]
	for _, m := range w.members {
		if m.phase == running {
			kinds = append(kinds, m.group.kind)
		}
	}
	p.kindsScratch = kinds
	slices.SortFunc(kinds, interference.Kind.Compare)
	changed := !slices.Equal(kinds, w.kinds)
	if changed {
		w.kinds = slices.Clone(kinds)
	}
	model := p.modelsOf(w).interference
	for _, task := range report.Running {
		m := w.members[attemptKey{task.Task, task.Attempt}]
		if m == nil || m.group.step.LongRunning || task.Percent == 0 || task.Percent >= 100 {
			continue // one at 0 may wait for its gang or restore a checkpoint
		}
		if changed || !m.besideKnown {
			m.beside, m.besideKnown = m.group.kind.Beside(kinds), true
		}
		model.Observe(now, &m.track, interference.Report{
			Worker: w.id, Kind: m.group.kind, Beside: m.beside, Fraction: float64(task.Percent) / 100, Clock: report.Clock,
		})
		if len(m.group.members) > 1 && m.track.Comparable() {
			p.compareInGang(m, now)
		}
	}
}

// forgetNeighbours begins the tracks of the worker's members anew, after a time in which
// it was not known what ran there or how fast the worker was.
func (w *worker) forgetNeighbours() {
	w.kinds = nil
	for _, m := range w.members {
		m.track, m.beside, m.besideKnown = interference.Track{}, nil, false
	}
}

// compareInGang compares the member with the first other one whose neighbours differ by
// one kind.
func (p *pool) compareInGang(m *member, now time.Time) {
	own, model := p.estimateSpeed(m.worker), p.modelsOf(m.worker).interference
	for _, other := range m.group.members {
		if other != m && other.track.Comparable() && model.Compare(now, &m.track, &other.track, own, p.estimateSpeed(other.worker)) {
			return
		}
	}
}

// addExcess adds to the member the part of the time since its last report that its
// neighbours took by the significant pairs, which must not count against the worker.
func (p *pool) addExcess(m *member, clock time.Duration) {
	if model := p.modelsOf(m.worker).interference; model.Significant() > 0 {
		slowdown := model.Slowdown(m.group.kind, m.beside)
		m.excess += time.Duration(float64(clock-m.excessClock) * (1 - math.Exp(-slowdown)))
	}
	m.excessClock = clock
}

// separate sets how much slower the group, and what runs there by it, would be on each
// worker. It does nothing while no significant pair has the group's kind.
func (p *pool) separate(g *group) {
	effects := p.models[p.round.service].interference.Effects(g.kind)
	if effects == nil || !p.round.room {
		if p.separated {
			p.separated = false
			for _, w := range p.ordered {
				w.slowdown, w.extraTiers = 0, 0
			}
		}
		return
	}
	p.separated = true
	for _, w := range p.ordered {
		w.setSlowdown(effects)
	}
}

// hasRoom reports whether there is room to keep kinds of work apart.
func (p *pool) hasRoom(r *round) bool {
	if p.models[r.service].interference.Significant() == 0 {
		return false
	}
	accelerators, cores := 0, 0
	for g := range p.work.unstarted {
		if g.phase == waiting && g.job.routing.Service == r.service && !g.job.status.Final() {
			accelerators += g.size() * g.step.Accelerators
			cores += g.size() * g.step.Cores
		}
	}
	if r.all == 0 {
		return float64(r.freeCores-cores) >= minIdleToSeparate*float64(r.allCores)
	}
	return float64(r.free-accelerators) >= minIdleToSeparate*float64(r.all)
}

func (w *worker) setSlowdown(e *interference.Effects) {
	suffered, caused := 0.0, 0.0
	var counted []interference.Kind
	for _, m := range w.members {
		k := m.group.kind
		caused += e.Caused[k]
		if s := e.Suffered[k]; s > 0 && !slices.Contains(counted, k) {
			suffered += s
			counted = append(counted, k)
		}
	}
	w.slowdown = suffered
	w.extraTiers = int(math.Floor((suffered+caused)/tierWidth + 0.5))
}

// maxInterferenceChanges bounds the log lines on pairs after one fit.
const maxInterferenceChanges = 4

// doubtSpeeds has the speeds of a service's workers learnt anew: until the pair was found,
// it counted against the workers where it ran, and remained in their factors for over 30 s.
func (p *pool) doubtSpeeds(l *models, now time.Time) {
	l.speeds.Doubt(now)
	for g := range p.work.started {
		for _, m := range g.members {
			if p.modelsOf(m.worker) == l {
				m.mark = progressMark{}
			}
		}
	}
}

// logInterference logs the pairs of a service that have begun or ceased to be significant.
// The caller holds the pool's lock.
func (p *pool) logInterference(l *models, now time.Time) {
	found := false
	for _, c := range l.interference.Changes(maxInterferenceChanges) {
		found = found || c.Significant
		event := interference.PairFound
		if !c.Significant {
			event = interference.PairLost
		}
		p.scheduler.Count(event)
		p.scheduler.Log.Info().Str("event", event).Stringer("kind", c.Kind).Stringer("beside", c.Beside).
			Float64("slowdown", rounded(c.Slowdown)).Float64("deviation", rounded(c.Deviation)).Send()
	}
	if found {
		p.doubtSpeeds(l, now)
	}
}
