package scheduling

import (
	"math"

	"comfreystream/coordination/speed"
)

// RestoreSpeeds merges a stored record of the workers of a service into what is observed
// of them. It may be called before or after the first placement; it takes nothing over
// from a record with impossible content.
func (s *Scheduler) RestoreSpeeds(r speed.StoredRecord) error {
	p := s.pool(r.Service)
	p = p.lock()
	defer p.mu.Unlock()
	return p.models[r.Service].speeds.Restore(s.Now(), r.Record)
}

// DueSpeeds returns records of workers' speeds that have changed since they were saved,
// at most limit.
func (s *Scheduler) DueSpeeds(limit int) (due []speed.StoredRecord) {
	s.layout.RLock()
	defer s.layout.RUnlock()
	for _, p := range s.allPools() {
		due = p.appendDueSpeeds(due, limit-len(due))
	}
	return due
}

func (p *pool) appendDueSpeeds(due []speed.StoredRecord, limit int) []speed.StoredRecord {
	p = p.lock()
	defer p.mu.Unlock()
	for service, l := range p.models {
		if limit <= 0 {
			return due
		}
		for _, r := range l.speeds.Records(limit) {
			due = append(due, speed.StoredRecord{Service: service, Record: r})
			limit--
		}
	}
	return due
}

// SpeedsSaved notes that a record that DueSpeeds returned is stored.
func (s *Scheduler) SpeedsSaved(r speed.StoredRecord) {
	p := s.pool(r.Service)
	p = p.lock()
	defer p.mu.Unlock()
	p.models[r.Service].speeds.Saved(r.Record)
}

// maxSpeedChanges bounds the log lines on workers' speeds after one fit.
const maxSpeedChanges = 8

// logSpeedChanges logs the workers of a service whose factor has changed by more than a quarter since
// it was logged. The caller holds the pool's lock.
func (p *pool) logSpeedChanges(l *models) {
	for _, c := range l.speeds.Changes(maxSpeedChanges) {
		p.scheduler.Count(speed.WorkerChanged)
		p.scheduler.Log.Info().Str("event", speed.WorkerChanged).Str("worker", string(c.Worker)).
			Float64("before", rounded(c.Before)).Float64("factor", rounded(c.Now.Factor)).
			Float64("deviation", rounded(c.Now.Deviation)).Send()
	}
}

func rounded(x float64) float64 { return math.Round(100*x) / 100 }
