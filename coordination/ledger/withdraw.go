package ledger

import (
	"time"

	"comfreystream/state"
)

// withdraw undoes a save whose caller was not told that the job is kept. A
// segment whose write is in doubt is emptied, also if it is not there: then it
// conflicts if it still arrives.
func (l *Ledger) withdraw(key string, jobs []state.JobID, whole bool) {
	gone := make(map[state.JobID]Item, len(jobs))
	for _, job := range jobs {
		gone[job] = Item{ID: job, Ended: time.Unix(0, 0), Outcome: state.Refusal(job, state.NotDurable)}
	}
	for attempt := 0; ; attempt++ {
		lease, err := l.lease.Current(l.ctx, l.Now())
		if err == nil {
			err = l.edit(l.ctx, key, lease, func(s *Segment) bool {
				if whole {
					s.Items = nil
				}
				return s.finish(gone)
			})
			l.lease.Check(err, lease)
		}
		if err == nil || !l.Storage.Pause(l.ctx, attempt) {
			return
		}
	}
}
