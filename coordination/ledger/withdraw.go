package ledger

import (
	"time"

	"comfreystream/state"
)

// withdraw marks the jobs as refused, since their callers were not told that they
// are saved, and retries until that succeeds. If the write of the segment was
// ambiguous, it empties the segment, even if that is missing in the store, so that
// a write that arrives later conflicts.
func (l *Ledger) withdraw(key string, jobs []state.JobID, ambiguous bool) {
	refused := make(map[state.JobID]Item, len(jobs))
	for _, job := range jobs {
		refused[job] = Item{ID: job, Ended: time.Unix(0, 0), Outcome: state.Refusal(job, state.NotDurable)}
	}
	for attempt := 0; ; attempt++ {
		lease, err := l.lease.Current(l.ctx, l.Now())
		if err == nil {
			err = l.editSegment(l.ctx, key, lease, func(s *Segment) bool {
				if ambiguous {
					s.Items = nil
				}
				return s.applyOutcomes(refused)
			})
			l.lease.DropIfLapsed(err, lease)
		}
		if err == nil || !l.Storage.Backoff(l.ctx, attempt) {
			return
		}
	}
}
