package scheduling

import "time"

const (
	// headroom is the part of the accelerators that work which can wait leaves
	// to urgent work, so that less of it has to be stopped soon after its start.
	headroom = 0.35
	// waitShare is the part of its time after which work waits no longer.
	waitShare = 0.75
)

// shouldWait reports whether a group had better leave what room there is to
// urgent work that may come, as it has time left.
func (p *pool) shouldWait(g *group, now time.Time) bool {
	if g.job.Priority == 0 || g.step.LongRunning {
		return false
	}
	waited := now.Sub(g.due().Add(-g.job.objective))
	slack := g.due().Sub(now) - g.step.Estimate
	if slack < 0 || waited > time.Duration(waitShare*float64(g.job.objective-g.step.Estimate)) {
		return false
	}
	free, all := 0, 0
	for _, w := range p.workers {
		if w.info.listed && !w.info.Draining {
			free += max(w.free().Accelerators, 0)
			all += w.info.Capacity.Accelerators
		}
	}
	needs := g.size() * g.step.Accelerators
	if 2*free > all && free >= 2*needs {
		return false // room in plenty
	}
	return float64(free-needs) < headroom*float64(all)
}
