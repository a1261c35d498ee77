package dispatch

import (
	"sync"

	"comfreystream/state"
)

// Seat holds this entry's dispatcher while it is its zone's planner, and nil
// otherwise.
type Seat struct {
	// New returns a dispatcher without state.
	New func() *Dispatcher

	mu       sync.Mutex
	current  *Dispatcher
	changeMu sync.Mutex
}

// SetActive takes over or gives up the planner role; it returns once that is
// done.
func (s *Seat) SetActive(active bool) {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	d := s.load()
	if active == (d != nil) {
		return
	}
	if !active {
		s.store(nil)
		_ = d.Close()
		return
	}
	d = s.New()
	d.Run()
	s.store(d)
}

// Current returns the dispatcher, or an error with homeMoved while this entry is
// not the zone's planner.
func (s *Seat) Current() (*Dispatcher, error) {
	d := s.load()
	if d == nil {
		return nil, stepError("find planner", state.HomeMoved)
	}
	return d, nil
}

// Active reports whether this entry is its zone's planner.
func (s *Seat) Active() bool { return s.load() != nil }

func (s *Seat) load() *Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *Seat) store(d *Dispatcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = d
}
