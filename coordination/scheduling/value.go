package scheduling

import (
	"time"
)

const (
	// stopSeconds is the time in which a stopped attempt holds its room and
	// does nothing.
	stopSeconds = 0.9
	// wastePrice is what a lost core-second costs, in units of the value of a
	// core-second of ordinary work that is done in time.
	wastePrice = 2.0
	// lateValue is the part of its value that late work still has at best.
	lateValue = 0.25
	// baseValue is the part of a job's value that does not grow with its work,
	// and largestValue bounds the rest in units of the mean of its queue.
	baseValue    = 0.3
	largestValue = 4
)

// urgencyValue is the value of a core-second of work that is done in time, by
// priority; short urgent work carries much more of it than long work.
var urgencyValue = []float64{10, 1, 0.5}

func (j *job) valueRate() float64 {
	return urgencyValue[min(max(j.Priority, 0), len(urgencyValue)-1)]
}

// coreSeconds is the work of the group by its declared run time.
func (g *group) coreSeconds() float64 {
	return g.step.Estimate.Seconds() * g.step.Needs().CoreEquivalents() * float64(g.size())
}

// loss is what stopping the present attempt costs: the work since its last
// checkpoint, and its value if it will be late because of that.
func (g *group) loss(now time.Time) float64 {
	ran := now.Sub(g.placedAt)
	lost := ran.Seconds()
	if g.step.Checkpointable {
		lost = 0 // a stop makes a checkpoint
	}
	cost := wastePrice * (lost + stopSeconds) * g.step.Needs().CoreEquivalents() * float64(g.size())
	left := g.step.Estimate
	if g.step.Checkpointable {
		left -= min(ran, left)
	}
	if slack := g.due().Sub(now) - left; slack < 0 && g.due().After(now) {
		cost += (1 - lateValue) * g.job.valueRate() * g.coreSeconds()
	}
	return cost
}

// slowsAway reports whether the group is slower away from one rack.
func (g *group) slowsAway() bool {
	return g.step.SameRack && g.size() > 1 || g.step.PreferredRack != ""
}

// value is what the job is worth if it is done in time.
func (p *pool) value(j *job) float64 {
	mean := p.meanWork[j.Queue]
	return j.valueRate() * (baseValue*mean + (1-baseValue)*min(j.work(), largestValue*mean))
}

// work is the core-seconds of one occurrence of the job.
func (j *job) work() (total float64) {
	for i := range j.Steps {
		s := &j.Steps[i]
		total += s.Estimate.Seconds() * s.Needs().CoreEquivalents() * float64(s.Tasks)
	}
	return total
}

// meanRate is the weight of one more job in the mean work of its queue.
const meanRate = 0.1

// noteWork keeps the mean work of each queue.
func (p *pool) noteWork(j *job) {
	mean, known := p.meanWork[j.Queue]
	if !known {
		mean = j.work()
	}
	p.meanWork[j.Queue] = mean + meanRate*(j.work()-mean)
}
