package runner

import (
	"time"

	"comfreystream/state/workflow"
)

// accountSlowdowns adds to each attempt the time that it has lost to its neighbours since
// the last call. Calls poll the fleet, so that neighbours change soon after a call.
func (f *Fleet) accountSlowdowns(now time.Time) {
	if f.Slowdown == nil {
		return
	}
	for _, w := range f.workers {
		for _, r := range w.running {
			since := now.Sub(r.accountedAt)
			r.accountedAt = now
			if r.workStarted.IsZero() || since > now.Sub(r.workStarted) {
				continue
			}
			var beside []workflow.Task
			for _, other := range w.running {
				if other != r {
					beside = append(beside, other.Task)
				}
			}
			r.lost += time.Duration(float64(since) * (1 - 1/f.Slowdown(r.Task, beside)))
		}
	}
}
