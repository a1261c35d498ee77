package scheduling

import "comfreystream/state/workflow"

// assignment is a known job and where its groups are placed.
type assignment struct {
	job     *workflow.Job
	routing workflow.Routing
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
		if next := a.routingBy(policy); next != a.routing {
			s.moveJob(a, next)
		}
	}
}

// storedRouting returns where the groups of a job that is loaded were placed last.
func storedRouting(job *workflow.Job, progress workflow.Progress) workflow.Routing {
	if progress.Routing.Service != "" {
		return progress.Routing
	}
	return workflow.Routing{Service: job.Service, PolicyVersion: job.PolicyVersion}
}

// routingBy returns the routing by the newest known configuration. It is the present one
// if the service is the same, if it was decided by a newer configuration, or if the queue is
// gone.
func (a *assignment) routingBy(policy *workflow.Policy) workflow.Routing {
	if policy == nil || policy.Version < a.routing.PolicyVersion {
		return a.routing
	}
	if queue, found := policy.Queue(a.job.Queue); found && queue.Service != "" && queue.Service != a.routing.Service {
		return workflow.Routing{Service: queue.Service, PolicyVersion: policy.Version}
	}
	return a.routing
}

// moveJob assigns a job to another service. A job of which nothing was ever placed goes to
// the pool of that service; one that may run on workers of its former pool shares it.
func (s *Scheduler) moveJob(a *assignment, next workflow.Routing) {
	from, to := s.pool(a.routing.Service), s.pool(next.Service)
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

// completeMove notes the routing of a job that the pool of its new service has.
func (s *Scheduler) completeMove(a *assignment, next workflow.Routing) {
	if !s.pool(next.Service).setRouting(a.job.ID, next) {
		return
	}
	s.Count(jobMoved)
	s.Log.Info().Str("event", "jobMoved").Str("request", string(a.job.ID)).Str("queue", a.job.Queue).
		Int64("version", next.PolicyVersion).Str("from", a.routing.Service).Str("to", next.Service).Send()
	a.routing = next
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
func (p *pool) insertUnplaced(j *job, routing workflow.Routing) {
	p = p.lock()
	defer p.mu.Unlock()
	j.routing = routing
	p.jobs[j.ID] = j
	p.work.addJob(j)
	for _, g := range j.groups {
		p.work.addUnstarted(g)
	}
	p.updateMeanWork(j)
}

// setRouting has the job's groups placed at a service of the pool, and that saved; it
// returns false for a job that has ended.
func (p *pool) setRouting(id workflow.ID, routing workflow.Routing) bool {
	p = p.lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	if j.status.Final() {
		return false
	}
	j.routing = routing
	p.markDirty(j.recordAt(0))
	wake(p.planDue)
	return true
}
