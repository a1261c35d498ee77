package dispatch

import (
	"sync"

	"comfreystream/state"
)

// Seat holds this entry's dispatcher while it is its zone's planner, and none
// while another entry is.
type Seat struct {
	// New makes a dispatcher that knows nothing yet.
	New func() *Dispatcher

	mu      sync.Mutex
	current *Dispatcher
	changes sync.Mutex
}

// SetActive takes the zone over or gives it up; it returns once that is done.
func (s *Seat) SetActive(active bool) {
	s.changes.Lock()
	defer s.changes.Unlock()
	d := s.peek()
	if active == (d != nil) {
		return
	}
	if !active {
		s.replace(nil)
		_ = d.Close()
		return
	}
	d = s.New()
	d.Run()
	s.replace(d)
}

// Current returns the dispatcher, or an error with homeMoved while this entry
// is not the zone's planner.
func (s *Seat) Current() (*Dispatcher, error) {
	d := s.peek()
	if d == nil {
		return nil, stepError("find planner", state.HomeMoved)
	}
	return d, nil
}

// Active reports whether this entry is its zone's planner.
func (s *Seat) Active() bool { return s.peek() != nil }

func (s *Seat) peek() *Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *Seat) replace(d *Dispatcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = d
}
