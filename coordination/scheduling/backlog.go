package scheduling

import (
	"time"

	"comfreystream/coordination/backlog"
	"comfreystream/state/workflow"
)

const (
	// leastRunTime is the part of its declared run time that a task of an unobserved queue
	// runs at least: declared run times are wrong by up to e^0.9, the same way for a queue.
	leastRunTime = 0.4
	// minObserved is the least number of running tasks by which the run times of a queue
	// are estimated, and observedRunTime the part of that estimate that is certain: single
	// run times spread by 0.3, the mean of eight by a third of it.
	minObserved     = 8
	observedRunTime = 0.8
	// maxRunTimeRatio bounds what a few slow tasks add to the run times of their queue.
	maxRunTimeRatio = 2
)

// expired reports whether the group's job counts for nothing any more: it is past
// backlog.ExpiryFactor times its objective. A task that runs until it is cancelled does not
// expire.
func (g *group) expired(now time.Time) bool {
	expiry := g.deadline().Add((backlog.ExpiryFactor - 1) * g.job.objective)
	return g.job.objective > 0 && !g.step.LongRunning && now.After(expiry)
}

// Waits returns the classes of which a new job may start too late to count for anything.
func (s *Scheduler) Waits() (waits []backlog.Wait) {
	s.layout.RLock()
	defer s.layout.RUnlock()
	for _, p := range s.allPools() {
		for _, load := range p.backlogs() {
			waits = append(waits, backlog.Estimate(load)...)
		}
	}
	return waits
}

// backlogs returns the loads of the pool's services for an estimate of waits, of those for
// which it is known.
func (p *pool) backlogs() (loads []*backlog.Service) {
	p = p.lock()
	defer p.mu.Unlock()
	for service := range p.models {
		if load, known := p.backlog(service); known {
			loads = append(loads, load)
		}
	}
	return loads
}

// backlog returns the load of a service for an estimate of waits. It is not known if
// nothing waits, or while most of the capacity does not report. The caller holds the lock.
func (p *pool) backlog(service string) (load *backlog.Service, known bool) {
	now := p.scheduler.Now()
	load = &backlog.Service{Name: service, Free: make(map[int]int)}
	limits, reporting := p.addCapacity(load, now)
	if 2*reporting <= load.Accelerators {
		return nil, false
	}
	var ratios map[string]float64
	for g := range p.work.unstarted {
		if g.phase != waiting || g.job.routing.Service != service || g.job.status.Final() || g.record.held(now) || g.expired(now) || !g.usesAnyRoom(limits) || p.runsUnknown(g) {
			continue
		}
		if ratios == nil {
			ratios = p.runTimeRatios()
		}
		load.Waiting = append(load.Waiting, backlog.Group{
			Priority: g.job.Priority, Member: g.step.Accelerators, Total: g.size() * g.step.Accelerators,
			SameRack: g.step.SameRack && g.size() > 1, RunTime: g.leastRunTime(ratios), Estimate: g.step.Estimate,
			Objective: g.job.objective, Deadline: g.deadline().Sub(now), Late: g.slack(now) < 0,
		})
	}
	if len(load.Waiting) == 0 {
		return nil, false
	}
	for _, groups := range []map[*group]struct{}{p.work.started, p.work.unstarted} {
		for g := range groups {
			if g.runsOn() != service {
				continue
			}
			if run := g.run(now, ratios); run.Accelerators > 0 {
				load.Running = append(load.Running, run)
			}
		}
	}
	return load, true
}

// addCapacity adds the workers to the load. It returns the least cores and memory that a
// worker has for each accelerator, and the accelerators of the workers that report.
func (p *pool) addCapacity(load *backlog.Service, now time.Time) (limits workflow.Capacity, reporting int) {
	maxReportAge, evacuated := p.maxReportAge(), p.scheduler.evacuated.Load()
	for _, w := range p.ordered {
		capacity := w.info.Capacity
		if w.info.Service != load.Name || !p.schedulable(w) || capacity.Accelerators == 0 {
			continue
		}
		each := workflow.Capacity{Cores: capacity.Cores / capacity.Accelerators, MemoryMiB: capacity.MemoryMiB / capacity.Accelerators, Accelerators: 1}
		if load.Accelerators == 0 {
			limits = each
		}
		limits.Cores, limits.MemoryMiB = min(limits.Cores, each.Cores), min(limits.MemoryMiB, each.MemoryMiB)
		load.Accelerators += capacity.Accelerators
		if w.acceptsTasks(now, maxReportAge, evacuated) {
			reporting += capacity.Accelerators
			load.Free[max(w.free().Accelerators, 0)]++
		}
	}
	return limits, reporting
}

// usesAnyRoom reports whether the group can use any free accelerators that are enough for
// it. Other work may overtake a group that waits for certain workers, or for more cores or
// memory than belong to its accelerators.
func (g *group) usesAnyRoom(limits workflow.Capacity) bool {
	return g.step.Accelerators > 0 && g.step.Label == "" && g.step.PreferredRack == "" && g.step.SpreadLimit == 0 && !g.step.LongRunning &&
		len(g.failedWorkers) == 0 && g.step.Needs().FitsIn(limits.Times(g.step.Accelerators))
}

// runTimeRatios returns how many times their declared run time the tasks of a queue take,
// by the progress of those that run now. As long tasks are found running more often than
// short ones, the harmonic mean is the mean of all.
func (p *pool) runTimeRatios() map[string]float64 {
	counts, inverse := make(map[string]float64), make(map[string]float64)
	for g := range p.work.started {
		for _, m := range g.members {
			if m.phase == running && m.runTime > 0 && g.step.Estimate > 0 {
				counts[g.job.Queue]++
				inverse[g.job.Queue] += g.step.Estimate.Seconds() / m.runTime.Seconds()
			}
		}
	}
	ratios := make(map[string]float64)
	for queue, count := range counts {
		if count >= minObserved {
			ratios[queue] = min(count/inverse[queue], maxRunTimeRatio)
		}
	}
	return ratios
}

// leastRunTime returns how long the group's tasks run at least, by the ratios of the queues.
func (g *group) leastRunTime(ratios map[string]float64) time.Duration {
	certain := leastRunTime
	if ratio, known := ratios[g.job.Queue]; known {
		certain = observedRunTime * ratio
	}
	return time.Duration(certain * float64(g.step.Estimate))
}

// runsOn returns the service on whose workers the group's attempt is: that of its queue
// when it was placed.
func (g *group) runsOn() string {
	for _, m := range g.members {
		if m.worker.info.Service != "" {
			return m.worker.info.Service
		}
	}
	return g.job.routing.Service
}

// run returns the accelerators that the group holds, and for how long at least.
func (g *group) run(now time.Time, ratios map[string]float64) (r backlog.Run) {
	runTime := g.leastRunTime(ratios)
	for _, m := range g.members {
		if m.phase == ended {
			continue
		}
		r.Accelerators += g.step.Accelerators
		runTime = max(runTime, m.runTime)
	}
	r.Priority, r.Lasting = g.job.Priority, g.step.LongRunning
	if g.phase != stopping {
		r.Left = max(runTime-now.Sub(g.placedAt), 0)
	}
	return r
}
