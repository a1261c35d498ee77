package backlog

import "time"

// Sustained leaves out waits that have not lasted yet. The jobs of a single burst are late
// after their objective, and a new job passes them; only work that keeps coming holds it up
// for longer. The zero value is ready for use.
type Sustained struct {
	since map[sustainedClass]time.Time
}

// sustainedClass names a class, whose least objective may change.
type sustainedClass struct {
	service string
	class
}

// Filter returns the waits of classes that had one in each call for at least their
// objective.
func (s *Sustained) Filter(now time.Time, waits []Wait) (lasting []Wait) {
	since := make(map[sustainedClass]time.Time, len(waits))
	for i := range waits {
		w := &waits[i]
		key := sustainedClass{w.Service, class{w.Priority, w.Member, w.Total}}
		began, known := s.since[key]
		if !known {
			began = now
		}
		since[key] = began
		if now.Sub(began) >= w.Objective {
			lasting = append(lasting, *w)
		}
	}
	s.since = since
	return lasting
}
