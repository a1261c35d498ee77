package scheduling

import "comfreystream/state/workflow"

// assignment is a known job and where its groups are placed.
type assignment struct {
	job       *workflow.Job
	placement workflow.Placement
}

// SetPolicy applies the services of the queues by the newest known configuration; one that
// is not newer than the last is ignored. What a job has not started yet is placed on the
// workers of its queue's service from then on; what runs stays where it is.
func (s *Scheduler) SetPolicy(policy *workflow.Policy) {
	s.layout.Lock()
	defer s.layout.Unlock()
	if s.policy != nil && policy.Version <= s.policy.Version {
		return
	}
	s.policy = policy
	for _, a := range s.jobs {
		if next := a.placementBy(policy); next != a.placement {
			s.moveJob(a, next)
		}
	}
}

// storedPlacement returns where the groups of a job that is loaded were placed last.
func storedPlacement(job *workflow.Job, progress workflow.Progress) workflow.Placement {
	if progress.Placement.Service != "" {
		return progress.Placement
	}
	return workflow.Placement{Service: job.Service, PolicyVersion: job.PolicyVersion}
}

// placementBy returns the placement by the newest known configuration. It is the present one
// if the service is the same, if it was decided by a newer configuration, or if the queue is
// gone.
func (a *assignment) placementBy(policy *workflow.Policy) workflow.Placement {
	if policy == nil || policy.Version < a.placement.PolicyVersion {
		return a.placement
	}
	if queue, found := policy.Queue(a.job.Queue); found && queue.Service != "" && queue.Service != a.placement.Service {
		return workflow.Placement{Service: queue.Service, PolicyVersion: policy.Version}
	}
	return a.placement
}

// moveJob assigns a job to another service. A job of which nothing was ever placed goes to
// the pool of that service; one that may run on workers of its former pool shares it.
func (s *Scheduler) moveJob(a *assignment, next workflow.Placement) {
	from, to := s.pool(a.placement.Service), s.pool(next.Service)
	if from != to {
		j, ended := from.removeUnplaced(a.job.ID)
		switch {
		case ended:
			return
		case j != nil:
			to.insertUnplaced(j, next)
		default:
			s.mergePools(to, from)
		}
	}
	s.completeMove(a, next)
}

// completeMove notes the placement of a job that the pool of its new service has.
func (s *Scheduler) completeMove(a *assignment, next workflow.Placement) {
	if !s.pool(next.Service).setPlacement(a.job.ID, next) {
		return
	}
	s.Count(jobMoved)
	s.Log.Info().Str("event", "jobMoved").Str("request", string(a.job.ID)).Str("queue", a.job.Queue).
		Int64("version", next.PolicyVersion).Str("from", a.placement.Service).Str("to", next.Service).Send()
	a.placement = next
}

// removeUnplaced removes a job and returns it, unless a group of it was ever placed: a worker
// that never heard of the job reports nothing that the pool needs it for. ended is true for
// a job that has ended.
func (p *pool) removeUnplaced(id workflow.ID) (j *job, ended bool) {
	p = p.lock()
	defer p.mu.Unlock()
	j = p.jobs[id]
	if j.status.Final() {
		return nil, true
	}
	for _, g := range j.groups {
		if g.attempt > 0 {
			return nil, false
		}
	}
	if j.saving {
		return nil, false
	}
	delete(p.jobs, id)
	p.work.removeJob(j)
	for _, g := range j.groups {
		p.work.remove(g)
	}
	for _, r := range j.records {
		delete(p.dirty, r)
	}
	return j, false
}

// insertUnplaced adds a job that removeUnplaced has returned for a service of the pool.
func (p *pool) insertUnplaced(j *job, placement workflow.Placement) {
	p = p.lock()
	defer p.mu.Unlock()
	j.placement = placement
	p.jobs[j.ID] = j
	p.work.addJob(j)
	for _, g := range j.groups {
		p.work.addUnstarted(g)
	}
	p.updateMeanWork(j)
}

// setPlacement has the job's groups placed at a service of the pool, and that saved; it
// returns false for a job that has ended.
func (p *pool) setPlacement(id workflow.ID, placement workflow.Placement) bool {
	p = p.lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	if j.status.Final() {
		return false
	}
	j.placement = placement
	p.markDirty(j.recordAt(0))
	wake(p.planDue)
	return true
}
