package scheduling

import (
	"time"
)

const (
	// stopOverheadSeconds is how long a stopped attempt holds its capacity without
	// doing work.
	stopOverheadSeconds = 0.9
	// lostWorkFactor is the cost of a lost core-second relative to the value of a
	// core-second of priority 1 that is done in time.
	lostWorkFactor = 2.0
	// lateValueFraction is the most that late work keeps of its value.
	lateValueFraction = 0.25
	// fixedValueFraction is the fraction of an average job's value that every job
	// of the queue has, whatever its work. The rest grows with the work, up to
	// maxWorkMultiple times the mean work of the queue.
	fixedValueFraction = 0.3
	maxWorkMultiple    = 4
)

// valuePerCoreSecond is the value of a core-second that is done in time, by
// priority. Urgent jobs are short and carry much more value for their work.
var valuePerCoreSecond = []float64{10, 1, 0.5}

// valueRate returns the value of a core-second of the job that is done in time.
func (j *job) valueRate() float64 {
	return valuePerCoreSecond[min(max(j.Priority, 0), len(valuePerCoreSecond)-1)]
}

// coreSeconds returns the group's work by its declared run time, with
// accelerators counted as cores.
func (g *group) coreSeconds() float64 {
	return g.step.Estimate.Seconds() * g.step.Needs().CoreEquivalents() * float64(g.size())
}

// preemptionCost returns the cost of stopping the group's current attempt: the
// work that is lost, and most of the group's value if it then misses its deadline.
func (g *group) preemptionCost(now time.Time) float64 {
	ran := now.Sub(g.placedAt)
	lostSeconds := ran.Seconds()
	if g.step.Checkpointable {
		lostSeconds = 0 // the worker takes a checkpoint when it stops the task
	}
	cost := lostWorkFactor * (lostSeconds + stopOverheadSeconds) * g.step.Needs().CoreEquivalents() * float64(g.size())
	remaining := g.step.Estimate
	if g.step.Checkpointable {
		remaining -= min(ran, remaining)
	}
	if slack := g.deadline().Sub(now) - remaining; slack < 0 && g.deadline().After(now) {
		cost += (1 - lateValueFraction) * g.job.valueRate() * g.coreSeconds()
	}
	return cost
}

// needsLocality reports whether the group runs slower if it is not on one rack or
// not on its preferred rack.
func (g *group) needsLocality() bool {
	return g.step.SameRack && g.size() > 1 || g.step.PreferredRack != ""
}

// jobValue returns the value of a job that is done in time.
func (p *pool) jobValue(j *job) float64 {
	mean := p.meanWork[j.Queue]
	return j.valueRate() * (fixedValueFraction*mean + (1-fixedValueFraction)*min(j.coreSeconds(), maxWorkMultiple*mean))
}

// coreSeconds returns the work of one occurrence of the job.
func (j *job) coreSeconds() (total float64) {
	for i := range j.Steps {
		s := &j.Steps[i]
		total += s.Estimate.Seconds() * s.Needs().CoreEquivalents() * float64(s.Tasks)
	}
	return total
}

// meanWorkWeight is the weight of a new job in the moving average of its queue's
// work.
const meanWorkWeight = 0.1

// updateMeanWork adds the job to the moving average of its queue's work.
func (p *pool) updateMeanWork(j *job) {
	mean, known := p.meanWork[j.Queue]
	if !known {
		mean = j.coreSeconds()
	}
	p.meanWork[j.Queue] = mean + meanWorkWeight*(j.coreSeconds()-mean)
}
