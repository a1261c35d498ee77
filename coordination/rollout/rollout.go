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

// Event is a rollout event that is counted.
type Event string

// The counted events.
const (
	EventMovedUp        Event = "movedUp"
	EventOlderIgnored   Event = "olderIgnored"
	EventGapSeen        Event = "gapSeen"
	EventDigestMismatch Event = "digestMismatch"
	EventPushFailed     Event = "pushFailed"
	EventPullFailed     Event = "pullFailed"
	EventLoadFailed     Event = "loadFailed"
	// EventPartsLeft counts failed deletions of parts that no head lists any more.
	EventPartsLeft Event = "partsLeft"
)

// Events lists every Event.
var Events = []Event{
	EventMovedUp, EventOlderIgnored, EventGapSeen, EventDigestMismatch, EventPushFailed, EventPullFailed, EventLoadFailed, EventPartsLeft,
}

// Rollout holds the manifest in force on one entry. Its methods are safe for
// concurrent use; the exported fields must be set before Run is called.
type Rollout struct {
	Storage *storage.Storage
	Codec   Codec
	// Peers returns the other live entries of the zone.
	Peers func() []netip.AddrPort
	// OtherZoneEntries returns the live entries of the other zones. They are asked at the
	// start if the zone has no other entry. It may be nil.
	OtherZoneEntries func() []netip.AddrPort
	// Push sends an update to an entry and returns what that has in force afterwards.
	Push func(ctx context.Context, peer netip.AddrPort, update Update) (ManifestID, error)
	// Fetch asks an entry for the update from what this one has in force; the
	// answer may be an update to the same generation.
	Fetch func(ctx context.Context, peer netip.AddrPort, current ManifestID) (Update, error)
	// Activate is called before a newer manifest comes into force, one call at a
	// time and in order; manifests in quick succession may share one call.
	Activate func(manifest *state.Manifest)
	// Count adds one to the counter of an event. It may be nil.
	Count func(event Event)

	mu sync.Mutex
	// latest is the newest snapshot; inForce becomes equal to it once Activate has returned.
	latest     *snapshot
	activating bool
	// newerAdverts holds the adverts of a newer manifest, or of another content
	// of the same generation, that catchUpLoop has to process.
	newerAdverts  map[netip.AddrPort]ManifestID
	inForce       atomic.Pointer[snapshot]
	advertSeen    chan struct{}
	pushRequested chan struct{}
}

// New returns a Rollout that has no manifest yet.
func New(store *storage.Storage, codec Codec) *Rollout {
	return &Rollout{
		Storage:       store,
		Codec:         codec,
		newerAdverts:  make(map[netip.AddrPort]ManifestID),
		advertSeen:    make(chan struct{}, 1),
		pushRequested: make(chan struct{}, 1),
	}
}

// Current returns the manifest in force, or nil if there is none yet; it must not be modified.
func (r *Rollout) Current() *state.Manifest {
	s := r.inForce.Load()
	if s == nil {
		return nil
	}
	return s.manifest
}

// Newest returns the newest manifest of this entry, or nil if there is none yet.
// It is ahead of Current while Activate is being called, for code that starts
// meanwhile and has missed the call.
func (r *Rollout) Newest() *state.Manifest {
	s := r.newest()
	if s == nil {
		return nil
	}
	return s.manifest
}

// Advert returns what this entry advertises to the other members: the generation
// in force, 0 for none, and its digest.
func (r *Rollout) Advert() (state.Generation, uint64) {
	current := r.inForce.Load().manifestID()
	return current.Generation, current.Digest
}

// Behind reports whether the advertised manifest is newer than the one of this
// entry, or has another content in the same generation.
func (r *Rollout) Behind(generation state.Generation, digest uint64) bool {
	current := r.newest().manifestID()
	if generation == current.Generation {
		return digest != current.Digest
	}
	return generation > current.Generation
}

// HandleAdvert handles a peer's advert: Run fetches the manifest if this entry is behind.
func (r *Rollout) HandleAdvert(peer netip.AddrPort, generation state.Generation, digest uint64) {
	if !r.Behind(generation, digest) {
		return
	}
	r.mu.Lock()
	r.newerAdverts[peer] = ManifestID{Generation: generation, Digest: digest}
	r.mu.Unlock()
	signal(r.advertSeen)
}

// Since returns the update for an entry that has the given manifest in force; it
// is the answer to Fetch. It returns false if there is no manifest yet.
func (r *Rollout) Since(current ManifestID) (Update, bool) {
	s := r.newest()
	if s == nil {
		return Update{}, false
	}
	if current.Generation == s.generation && current.Digest != s.digest {
		current.Generation = 0
	}
	return s.since(current.Generation), true
}

// Receive applies an update and returns what is in force afterwards. An update
// that is older, leaves a gap or does not match its digest is refused with an
// error.
func (r *Rollout) Receive(update Update) (ManifestID, error) {
	err := r.advance(update, false)
	return r.inForce.Load().manifestID(), err
}

// advance applies an update and brings it into force; allowReplace permits
// another content of the same generation.
func (r *Rollout) advance(update Update, allowReplace bool) error {
	for {
		from := r.newest()
		if err := r.checkUpdate(from.manifestID(), update, allowReplace); err != nil || from.manifestID() == (ManifestID{update.Generation, update.Digest}) {
			return err
		}
		next, err := from.apply(update, r.Codec.DecodePart)
		if err != nil {
			r.count(EventDigestMismatch)
			return r.stepError(state.BadRequest, err)
		}
		if r.swapLatest(from, next) {
			r.count(EventMovedUp)
			r.activateLatest()
			return nil
		}
	}
}

// checkUpdate returns an error if the update does not apply to what this entry has.
func (r *Rollout) checkUpdate(current ManifestID, update Update, allowReplace bool) error {
	switch {
	case update.Generation < current.Generation:
		r.count(EventOlderIgnored)
		return r.stepError(state.OlderGeneration, errors.Errorf("generation %d is in force, which is newer than %d", current.Generation, update.Generation))
	case update.Generation == current.Generation && update.Digest != current.Digest && !allowReplace:
		r.count(EventDigestMismatch)
		return r.stepError(state.OlderGeneration, errors.Errorf("generation %d is in force with digest %x, the update has %x", current.Generation, current.Digest, update.Digest))
	case update.Since > current.Generation:
		r.count(EventGapSeen)
		return r.stepError(state.NoManifest, errors.Errorf("the update starts at generation %d, but generation %d is in force", update.Since, current.Generation))
	default:
		return nil
	}
}

// swapLatest replaces the latest snapshot, and reports whether it was still from.
func (r *Rollout) swapLatest(from, next *snapshot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest != from {
		return false
	}
	r.latest = next
	return true
}

// activateLatest calls Activate until the latest snapshot is in force, unless
// another goroutine is already doing so.
func (r *Rollout) activateLatest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activating {
		return
	}
	r.activating = true
	for r.inForce.Load() != r.latest {
		s := r.latest
		r.mu.Unlock()
		if r.Activate != nil {
			r.Activate(s.manifest)
		}
		r.inForce.Store(s)
		r.mu.Lock()
	}
	r.activating = false
}

func (r *Rollout) newest() *snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

func (r *Rollout) requestPush() { signal(r.pushRequested) }

// signal wakes the receiver of a channel of capacity 1 without blocking.
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
