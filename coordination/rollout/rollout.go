package rollout

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"comfreystream/coordination/storage"
	"comfreystream/state"
)

// Event is something that rollout counts.
type Event string

// The events that are counted.
const (
	MovedUp        Event = "movedUp"
	OlderIgnored   Event = "olderIgnored"
	GapSeen        Event = "gapSeen"
	DigestMismatch Event = "digestMismatch"
	PushFailed     Event = "pushFailed"
	PullFailed     Event = "pullFailed"
	LoadFailed     Event = "loadFailed"
	// PartsLeft counts parts that no head names and that could not be deleted.
	PartsLeft Event = "partsLeft"
)

// Events lists all events.
var Events = []Event{
	MovedUp, OlderIgnored, GapSeen, DigestMismatch, PushFailed, PullFailed, LoadFailed, PartsLeft,
}

// Rollout holds the manifest in force on one entry; it is safe for several
// goroutines once Run is called. The fields are set before.
type Rollout struct {
	Storage *storage.Storage
	Codec   Codec
	// Peers returns the other live entries of the zone.
	Peers func() []netip.AddrPort
	// Others returns the live entries of all zones but this one, for the start in
	// a zone without another entry; it may be nil.
	Others func() []netip.AddrPort
	// Push sends an update to an entry, which answers with what it has in force after it.
	Push func(ctx context.Context, peer netip.AddrPort, update Update) (Have, error)
	// Fetch asks any entry for the update from what this one has; it may
	// answer with an update to the same generation.
	Fetch func(ctx context.Context, peer netip.AddrPort, have Have) (Update, error)
	// InForce is called for each move up, one call at a time and in order; moves
	// in quick succession may share one call.
	InForce func(manifest *state.Manifest)
	// Count is told of each event; nil counts nothing.
	Count func(event Event)

	mu sync.Mutex
	// held is the highest snapshot; inForce follows it once InForce has returned.
	held       *snapshot
	announcing bool
	// behind holds the adverts that showed something newer, or other content.
	behind  map[netip.AddrPort]Have
	inForce atomic.Pointer[snapshot]
	heard   chan struct{}
	pushing chan struct{}
}

// New returns a Rollout without a manifest.
func New(store *storage.Storage, codec Codec) *Rollout {
	return &Rollout{
		Storage: store,
		Codec:   codec,
		behind:  make(map[netip.AddrPort]Have),
		heard:   make(chan struct{}, 1),
		pushing: make(chan struct{}, 1),
	}
}

// Current returns the manifest in force, or nil before there is one; it must not be changed.
func (r *Rollout) Current() *state.Manifest {
	s := r.inForce.Load()
	if s == nil {
		return nil
	}
	return s.manifest
}

// Newest returns the manifest that this entry has moved to, for whoever joins
// after InForce was called for it and before Current returns it; nil is none.
func (r *Rollout) Newest() *state.Manifest {
	s := r.newest()
	if s == nil {
		return nil
	}
	return s.manifest
}

// Advert returns what membership adverts say of this entry: the generation in
// force, 0 for none, and its digest.
func (r *Rollout) Advert() (state.Generation, uint64) {
	have := r.inForce.Load().have()
	return have.Generation, have.Digest
}

// Behind reports whether an entry that advertises this has a manifest that
// this entry should fetch, or another one of the same generation.
func (r *Rollout) Behind(generation state.Generation, digest uint64) bool {
	have := r.newest().have()
	if generation == have.Generation {
		return digest != have.Digest
	}
	return generation > have.Generation
}

// Heard takes note of a peer's advert; Run fetches from the peer if need be.
func (r *Rollout) Heard(peer netip.AddrPort, generation state.Generation, digest uint64) {
	if !r.Behind(generation, digest) {
		return
	}
	r.mu.Lock()
	r.behind[peer] = Have{Generation: generation, Digest: digest}
	r.mu.Unlock()
	signal(r.heard)
}

// Since returns the update for an entry that has this in force; it is the
// answer to Fetch. It reports false while there is no manifest.
func (r *Rollout) Since(have Have) (Update, bool) {
	s := r.newest()
	if s == nil {
		return Update{}, false
	}
	if have.Generation == s.generation && have.Digest != s.digest {
		have.Generation = 0
	}
	return s.since(have.Generation), true
}

// Receive takes an update in and returns what is in force then. An update that
// is older, leaves a gap or does not add up to its digest changes nothing and
// is an error; the newer of two manifests always wins.
func (r *Rollout) Receive(update Update) (Have, error) {
	err := r.move(update, false)
	return r.inForce.Load().have(), err
}

// move takes an update in; replace allows other content of the same generation.
func (r *Rollout) move(update Update, replace bool) error {
	for {
		from := r.newest()
		if err := r.admit(from.have(), update, replace); err != nil || from.have() == (Have{update.Generation, update.Digest}) {
			return err
		}
		next, err := from.apply(update, r.Codec.DecodePart)
		if err != nil {
			r.count(DigestMismatch)
			return r.stepError(state.BadRequest, err)
		}
		if r.exchange(from, next) {
			r.count(MovedUp)
			r.announce()
			return nil
		}
	}
}

func (r *Rollout) admit(have Have, update Update, replace bool) error {
	switch {
	case update.Generation < have.Generation:
		r.count(OlderIgnored)
		return r.stepError(state.OlderGeneration, errors.Errorf("generation %d is in force, not %d", have.Generation, update.Generation))
	case update.Generation == have.Generation && update.Digest != have.Digest && !replace:
		r.count(DigestMismatch)
		return r.stepError(state.OlderGeneration, errors.Errorf("generation %d has digest %x here, not %x", have.Generation, have.Digest, update.Digest))
	case update.Since > have.Generation:
		r.count(GapSeen)
		return r.stepError(state.NoManifest, errors.Errorf("the update starts at generation %d, after %d", update.Since, have.Generation))
	default:
		return nil
	}
}

func (r *Rollout) exchange(from, next *snapshot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held != from {
		return false
	}
	r.held = next
	return true
}

// announce calls InForce for the newest snapshot until it is in force, unless
// another goroutine is about it.
func (r *Rollout) announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announcing {
		return
	}
	r.announcing = true
	for r.inForce.Load() != r.held {
		s := r.held
		r.mu.Unlock()
		if r.InForce != nil {
			r.InForce(s.manifest)
		}
		r.inForce.Store(s)
		r.mu.Lock()
	}
	r.announcing = false
}

func (r *Rollout) newest() *snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

func (r *Rollout) askToPush() { signal(r.pushing) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *Rollout) count(event Event) {
	if r.Count != nil {
		r.Count(event)
	}
}

func (r *Rollout) stepError(reason state.Reason, cause error) error {
	return state.NewStepError("put manifest in force", netip.AddrPort{}, reason, cause)
}
