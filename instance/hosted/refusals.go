package hosted

import (
	"sync"
	"time"
)

// refusalLogInterval is the time between two log lines on refusals for one reason.
const refusalLogInterval = 5 * time.Second

// refusalLog bounds the log lines on refused clients; its zero value is ready for use.
type refusalLog struct {
	mu      sync.Mutex
	reasons map[string]*loggedRefusals
}

type loggedRefusals struct {
	at    time.Time
	since int
}

// add counts a refusal; it returns how many there were since the last line if a line
// is due, and otherwise 0.
func (l *refusalLog) add(reason string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reasons == nil {
		l.reasons = make(map[string]*loggedRefusals)
	}
	logged, found := l.reasons[reason]
	if !found {
		logged = &loggedRefusals{}
		l.reasons[reason] = logged
	}
	logged.since++
	if now.Sub(logged.at) < refusalLogInterval {
		return 0
	}
	count := logged.since
	logged.at, logged.since = now, 0
	return count
}

// countRefusal counts a refusal by the transport and logs it, at most one line for each
// reason in refusalLogInterval.
func (i *Instance) countRefusal(reason string) {
	i.metrics.CountTransportRefusal(reason)
	if count := i.refusals.add(reason, time.Now()); count > 0 {
		i.log.Info().Str("event", "clientRefused").Str("reason", reason).Int("count", count).Int64("heldBytes", i.budget.Held()).Send()
	}
}
