package scheduling

import (
	"time"

	"comfreystream/state/workflow"
)

// learningRate is the weight of one more observation in a moving average.
const learningRate = 0.2

// estimates corrects declared run times by what was seen in each queue.
type estimates struct {
	ratios map[string]float64
}

func newEstimates() estimates { return estimates{ratios: make(map[string]float64)} }

// expected returns how long the group's work takes where it is not slowed.
func (p *pool) expected(g *group) time.Duration {
	ratio, known := p.history.ratios[g.job.Queue]
	if !known {
		ratio = 1
	}
	return time.Duration(ratio * float64(g.step.Estimate))
}

// learn takes the run time of a member that was done in one piece.
func (p *pool) learn(m *member) {
	g := m.group
	if m.outcome != workflow.Done || m.confirmed.IsZero() || g.checkpoint != "" || g.step.Estimate <= 0 || g.recovered {
		return
	}
	seen := float64(p.scheduler.Now().Sub(m.confirmed)) / float64(g.step.Estimate)
	old, known := p.history.ratios[g.job.Queue]
	if !known {
		old = 1
	}
	p.history.ratios[g.job.Queue] = old + learningRate*(seen-old)
}
