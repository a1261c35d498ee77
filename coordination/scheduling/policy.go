package scheduling

import "comfreystream/state/workflow"

// assignment is a known job and the service on whose workers its groups are placed.
type assignment struct {
	job     *workflow.Job
	service string
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
		if service := serviceOf(a.job, policy, a.service); service != a.service {
			s.moveJob(a, service)
		}
	}
}

// serviceOf returns the service of the job's queue by the newest known configuration. It
// returns current if that is older than the one the job was accepted under, or does not have
// the queue any more.
func serviceOf(job *workflow.Job, policy *workflow.Policy, current string) string {
	if policy == nil || policy.Version < job.PolicyVersion {
		return current
	}
	if queue, found := policy.Queue(job.Queue); found && queue.Service != "" {
		return queue.Service
	}
	return current
}

// moveJob assigns a job to another service. A job of which nothing was ever placed goes to
// the pool of that service; one that may run on workers of its former pool shares it.
func (s *Scheduler) moveJob(a *assignment, service string) {
	from, to := s.pool(a.service), s.pool(service)
	if from != to {
		j, ended := from.removeUnplaced(a.job.ID)
		switch {
		case ended:
			return
		case j != nil:
			to.insertUnplaced(j, service)
		default:
			s.mergePools(to, from)
		}
	}
	if to.setQueueService(a.job.ID, service) {
		before := a.service
		a.service = service
		s.logMove(a, before)
	}
}

func (s *Scheduler) logMove(a *assignment, before string) {
	s.Count(jobMoved)
	s.Log.Info().Str("event", "jobMoved").Str("request", string(a.job.ID)).Str("queue", a.job.Queue).
		Int64("version", s.policy.Version).Str("from", before).Str("to", a.service).Send()
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
	if j.saving || p.unsaved(j) {
		return nil, false
	}
	delete(p.jobs, id)
	p.work.removeJob(j)
	for _, g := range j.groups {
		p.work.remove(g)
	}
	return j, false
}

// insertUnplaced adds a job that removeUnplaced has returned for a service of the pool.
func (p *pool) insertUnplaced(j *job, service string) {
	p = p.lock()
	defer p.mu.Unlock()
	j.queueService = service
	p.jobs[j.ID] = j
	p.work.addJob(j)
	for _, g := range j.groups {
		p.work.addUnstarted(g)
	}
	p.updateMeanWork(j)
}

// setQueueService has the job's groups placed on the workers of a service of the pool; it
// returns false for a job that has ended.
func (p *pool) setQueueService(id workflow.ID, service string) bool {
	p = p.lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	if j.status.Final() {
		return false
	}
	j.queueService = service
	wake(p.planDue)
	return true
}
