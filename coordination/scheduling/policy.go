package scheduling

import "comfreystream/state/workflow"

// assignment is a known job and the service on whose workers its groups are placed.
type assignment struct {
	job     *workflow.Job
	service string
}

// SetPolicy notes the newest known configuration; one that is older than the last is ignored.
func (s *Scheduler) SetPolicy(policy *workflow.Policy) {
	for _, p := range s.allPools() {
		p.logMovedQueues(policy)
	}
}

// logMovedQueues logs the queues whose jobs wait in this pool while the configuration sends
// the queue to another service.
func (p *pool) logMovedQueues(policy *workflow.Policy) {
	p = p.lock()
	defer p.mu.Unlock()
	waiting := make(map[string]int)
	for _, j := range p.jobs {
		if !j.begun && !j.status.Final() {
			waiting[j.Queue]++
		}
	}
	for name, jobs := range waiting {
		if queue, found := policy.Queue(name); found && queue.Service != p.service {
			p.scheduler.Log.Info().Str("event", "queueMoved").Str("queue", name).Int64("version", policy.Version).
				Str("from", p.service).Str("to", queue.Service).Int("waiting", jobs).Send()
		}
	}
}
