package scheduling

import "comfreystream/coordination/interference"

// RestoreInterference merges a stored record of the pairs of a service into what is
// observed of them. It takes nothing over from a record with impossible content.
func (s *Scheduler) RestoreInterference(r interference.Record) error {
	p := s.pool(r.Service)
	p = p.lock()
	defer p.mu.Unlock()
	return p.models[r.Service].interference.Restore(s.Now(), r)
}

// DueInterference returns records of pairs that have changed since they were saved, at
// most limit.
func (s *Scheduler) DueInterference(limit int) (due []interference.Record) {
	s.layout.RLock()
	defer s.layout.RUnlock()
	for _, p := range s.allPools() {
		due = p.appendDueInterference(due, limit-len(due))
	}
	return due
}

func (p *pool) appendDueInterference(due []interference.Record, limit int) []interference.Record {
	p = p.lock()
	defer p.mu.Unlock()
	for service, l := range p.models {
		for _, r := range l.interference.Records(p.scheduler.Now(), limit) {
			r.Service = service
			due = append(due, r)
			limit--
		}
	}
	return due
}

// InterferenceSaved notes that a record that DueInterference returned is stored.
func (s *Scheduler) InterferenceSaved(r interference.Record) {
	p := s.pool(r.Service)
	p = p.lock()
	defer p.mu.Unlock()
	p.models[r.Service].interference.Saved(r)
}
