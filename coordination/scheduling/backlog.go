package scheduling

import (
	"time"

	"comfreystream/coordination/backlog"
)

// expired reports whether the group's job counts for nothing any more: it is past
// backlog.ExpiryFactor times its objective. A task that runs until it is cancelled does not
// expire.
func (g *group) expired(now time.Time) bool {
	expiry := g.deadline().Add((backlog.ExpiryFactor - 1) * g.job.objective)
	return g.job.objective > 0 && !g.step.LongRunning && now.After(expiry)
}
