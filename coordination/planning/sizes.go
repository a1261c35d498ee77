package planning

import (
	"net/netip"
	"sync"
	"time"

	"comfreystream/state"
)

// lostRemembered is how long a lost worker still counts for what could ever fit.
const lostRemembered = time.Hour

// sizes knows the zone as it would be empty, workers lost of late included, to
// tell what can never fit; it has its own lock, so that a submission does not
// wait for a round.
type sizes struct {
	mu       sync.Mutex
	empty    zone
	lost     map[netip.AddrPort]time.Time
	spans    map[spanKey]int
	manifest *state.Manifest
	// model is a planner of the empty zone with all guarantees; nil if out of date.
	model  *Planner
	beside map[spanKey]bool
}

type spanKey struct {
	shape     state.Resources
	members   int
	adjacency state.Adjacency
}

// maxSpans bounds the remembered spans.
const maxSpans = 4096

func newSizes() sizes {
	return sizes{
		empty:  newZone(),
		lost:   make(map[netip.AddrPort]time.Time),
		spans:  make(map[spanKey]int),
		beside: make(map[spanKey]bool),
	}
}

// put takes over a worker and reports whether one with other sizes went.
func (s *sizes) put(w state.Worker) (shrunk bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lost, w.Address)
	w.Leaving = false
	if known := s.empty.workers[w.Address]; known != nil {
		if known.Capacity == w.Capacity && known.Rack == w.Rack {
			return false
		}
		s.empty.remove(known)
		shrunk = true
	}
	s.empty.add(w)
	s.forget()
	return shrunk
}

// lose marks the worker as lost and reports whether others were lost for so
// long that they count no more.
func (s *sizes) lose(address netip.AddrPort, now time.Time) (shrunk bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[address] = now
	for other, since := range s.lost {
		if now.Sub(since) < lostRemembered {
			continue
		}
		delete(s.lost, other)
		if known := s.empty.workers[other]; known != nil {
			s.empty.remove(known)
			s.forget()
			shrunk = true
		}
	}
	return shrunk
}

func (s *sizes) setManifest(manifest *state.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifest = manifest
	s.forget()
}

func (s *sizes) forget() {
	clear(s.spans)
	clear(s.beside)
	s.model = nil
}

// span returns how many racks an adjacent gang may spread over: one more than
// it needs in an empty zone. It is 0 if the gang can never fit.
func (s *sizes) span(shape state.Resources, members int, adjacency state.Adjacency) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spanLocked(shape, members, adjacency)
}

func (s *sizes) spanLocked(shape state.Resources, members int, adjacency state.Adjacency) int {
	key := spanKey{shape, members, adjacency}
	if span, found := s.spans[key]; found {
		return span
	}
	g := gang{members: members, adjacency: adjacency, span: len(s.empty.racks)}
	shares := findLayout(s.empty.racks, g, func(w *worker) int { return shape.CountIn(w.Capacity) })
	racks := make(map[*rack]bool)
	for _, part := range shares {
		racks[part.worker.rack] = true
	}
	span := 0
	if len(racks) > 0 {
		span = len(racks) + 1
	}
	if len(s.spans) >= maxSpans {
		clear(s.spans)
	}
	s.spans[key] = span
	return span
}

// neverFits reports whether the job could not run even in an otherwise empty
// zone that keeps the guarantees. Nothing is said while no worker is known.
func (s *sizes) neverFits(job *state.Job, availabilityZone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.empty.workers) == 0 {
		return false
	}
	if s.spanLocked(job.Shape, job.Members, job.Adjacency) == 0 {
		return true
	}
	if job.Borrows() || s.manifest == nil || covers(s.manifest, job, availabilityZone) {
		return false
	}
	return !s.fitsBeside(job, availabilityZone)
}

// fitsBeside reports whether the job fits into the empty zone beside all guarantees.
func (s *sizes) fitsBeside(job *state.Job, availabilityZone string) bool {
	key := spanKey{job.Shape, job.Members, job.Adjacency}
	if fits, found := s.beside[key]; found {
		return fits
	}
	if s.model == nil {
		s.model = New(availabilityZone)
		for _, w := range s.empty.workers {
			s.model.PutWorker(w.Worker)
		}
		s.model.ApplyManifest(s.manifest)
		s.model.settle()
	}
	if len(s.beside) >= maxSpans {
		clear(s.beside)
	}
	fits := s.model.shiftGuarantees(&entry{job: *job})
	s.beside[key] = fits
	return fits
}

// remembersLost reports whether a worker was lost of late.
func (s *sizes) remembersLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lost) > 0
}

// covers reports whether the job fits into one of its organisation's guarantees
// by shape and number.
func covers(manifest *state.Manifest, job *state.Job, availabilityZone string) bool {
	for _, organisation := range manifest.Organisations {
		if organisation.Name != job.Organisation {
			continue
		}
		for _, g := range organisation.Guarantees {
			perUnit := job.Shape.CountIn(g.Shape)
			if g.AvailabilityZone == availabilityZone && g.Members*perUnit >= job.Members && g.Adjacency >= job.Adjacency {
				return true
			}
		}
	}
	return false
}
