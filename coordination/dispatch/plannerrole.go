package dispatch

import (
	"sync"

	"comfreystream/state"
)

// PlannerRole holds this entry's dispatcher while it is its zone's planner, and
// nil otherwise.
type PlannerRole struct {
	// New returns a dispatcher without state.
	New func() *Dispatcher

	mu       sync.Mutex
	current  *Dispatcher
	changeMu sync.Mutex
}

// SetActive takes over or gives up the planner role; it returns once that is
// done.
func (p *PlannerRole) SetActive(active bool) {
	p.changeMu.Lock()
	defer p.changeMu.Unlock()
	d := p.load()
	if active == (d != nil) {
		return
	}
	if !active {
		p.store(nil)
		_ = d.Close()
		return
	}
	d = p.New()
	d.Run()
	p.store(d)
}

// Current returns the dispatcher, or an error with homeMoved while this entry is
// not the zone's planner.
func (p *PlannerRole) Current() (*Dispatcher, error) {
	d := p.load()
	if d == nil {
		return nil, stepError("find planner", state.HomeMoved)
	}
	return d, nil
}

// Active reports whether this entry is its zone's planner.
func (p *PlannerRole) Active() bool { return p.load() != nil }

func (p *PlannerRole) load() *Dispatcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

func (p *PlannerRole) store(d *Dispatcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = d
}
