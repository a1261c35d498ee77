package rollout

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
	"comfreystream/coordination/storage"
	"comfreystream/state"
)

const (
	// watchTimeout bounds how long a new manifest can be missed on a dead connection to the store.
	watchTimeout       = 2 * time.Second
	relayCheckInterval = 500 * time.Millisecond
	peerTimeout        = time.Second
	// pullDelay gives the zone's relay time to push before this entry fetches.
	pullDelay = 500 * time.Millisecond
)

// Run keeps the entry's manifest up to date until ctx is done; isRelay reports
// whether this entry currently watches the store for its zone. Run asks the
// zone's entries first, so that an entry that restarts in a partitioned zone, or
// while the store returns stale data, does not start with an older generation.
func (r *Rollout) Run(ctx context.Context, isRelay func() bool) {
	r.loadInitial(ctx, isRelay)
	var loops sync.WaitGroup
	loops.Go(func() { r.watchStore(ctx, isRelay) })
	loops.Go(func() { r.pushLoop(ctx) })
	loops.Go(func() { r.catchUpLoop(ctx, isRelay) })
	loops.Wait()
}

// loadInitial repeats until there is a manifest. It asks the zone's entries, or
// those of other zones if the zone has no other entry. If none of them has a
// manifest it asks the store: every entry once, the relay each time.
func (r *Rollout) loadInitial(ctx context.Context, isRelay func() bool) {
	for attempt := 0; ; attempt++ {
		r.pullFromPeers(ctx)
		if r.newest() == nil && (attempt == 0 || isRelay()) {
			_ = r.loadFromStore(ctx)
		}
		if r.newest() != nil || !r.Storage.Backoff(ctx, attempt) {
			return
		}
	}
}

// pullFromPeers fetches the whole manifest from the first entry that has one, and
// newer changes from the others.
func (r *Rollout) pullFromPeers(ctx context.Context) {
	peers := r.Peers()
	if len(peers) == 0 && r.OtherZoneEntries != nil {
		peers = r.OtherZoneEntries()
	}
	for len(peers) > 0 && r.newest() == nil && ctx.Err() == nil {
		r.pullFrom(ctx, peers[0])
		peers = peers[1:]
	}
	var group sync.WaitGroup
	for _, peer := range peers {
		group.Go(func() { r.pullFrom(ctx, peer) })
	}
	group.Wait()
}

// loadFromStore loads the manifest that the store has accepted, with a read that
// detects stale data.
func (r *Rollout) loadFromStore(ctx context.Context) error {
	entry, err := r.Storage.Latest(ctx, storage.ForManifest, headKey)
	if err != nil || entry.Version == 0 {
		return err
	}
	head, err := r.Codec.DecodeHead(entry.Value)
	if err != nil {
		return errors.Wrap(err, "decode "+headKey)
	}
	return r.load(ctx, head, true)
}

// watchStore loads every new manifest that the store reports while this entry is
// the relay.
func (r *Rollout) watchStore(ctx context.Context, isRelay func() bool) {
	var after state.Version
	for attempt := 0; ctx.Err() == nil; {
		if !isRelay() {
			after = 0
			pause.For(ctx, relayCheckInterval)
			continue
		}
		latest, err := r.watchOnce(ctx, after)
		if err != nil {
			r.Storage.Backoff(ctx, attempt)
			attempt++
			continue
		}
		after, attempt = max(after, latest), 0
	}
}

// watchOnce waits for one change of the head after that version, and returns the
// version up to which the store was watched.
func (r *Rollout) watchOnce(ctx context.Context, after state.Version) (state.Version, error) {
	entries, latest, err := r.Storage.Watch(ctx, headKey, after, watchTimeout)
	if err != nil || len(entries) == 0 {
		return latest, err
	}
	head, err := r.Codec.DecodeHead(entries[len(entries)-1].Value)
	if err != nil {
		r.count(EventLoadFailed)
		return 0, err
	}
	if err := r.load(ctx, head, true); err != nil {
		return 0, err
	}
	r.requestPush()
	return latest, nil
}

// pushLoop sends the newest manifest to the zone's entries on each request.
func (r *Rollout) pushLoop(ctx context.Context) {
	var last *snapshot
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pushRequested:
		}
		newest := r.newest()
		if newest == last {
			continue
		}
		r.pushToPeers(ctx, newest, last.manifestID().Generation)
		last = newest
	}
}

func (r *Rollout) pushToPeers(ctx context.Context, newest *snapshot, since state.Generation) {
	if since == 0 {
		// After a start the others usually lack at most the last change; an entry that
		// lacks more says so in its answer.
		since = newest.generation - 1
	}
	update := newest.since(since)
	var group sync.WaitGroup
	for _, peer := range r.Peers() {
		group.Go(func() { r.pushToPeer(ctx, peer, newest, update) })
	}
	group.Wait()
}

// pushToPeer sends the update, and a second one if the peer is further behind.
func (r *Rollout) pushToPeer(ctx context.Context, peer netip.AddrPort, newest *snapshot, update Update) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	current, err := r.Push(ctx, peer, update)
	if err == nil && current.Generation < update.Since {
		_, err = r.Push(ctx, peer, newest.since(current.Generation))
	}
	if err != nil {
		r.count(EventPushFailed)
	}
}

// catchUpLoop fetches from entries that advertise a newer manifest, unless the
// relay pushes it first. A random part of the delay spreads the fetches.
func (r *Rollout) catchUpLoop(ctx context.Context, isRelay func() bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.advertSeen:
		}
		pause.For(ctx, pullDelay+time.Duration(r.Storage.Random()*float64(pullDelay)))
		for peer, advert := range r.takeNewerAdverts() {
			if !r.Behind(advert.Generation, advert.Digest) {
				continue
			}
			if r.catchUpFrom(ctx, peer, advert) && isRelay() {
				r.requestPush()
			}
		}
	}
}

// catchUpFrom reports whether it brought this entry up to date with the peer's advert.
func (r *Rollout) catchUpFrom(ctx context.Context, peer netip.AddrPort, advert ManifestID) bool {
	if advert.Generation > r.newest().manifestID().Generation {
		return r.pullFrom(ctx, peer)
	}
	// Two contents of the same generation: the one in the store is valid.
	r.count(EventDigestMismatch)
	return r.loadFromStore(ctx) == nil
}

// pullFrom fetches and applies the update from a peer, and reports whether it had
// a manifest and that could be applied.
func (r *Rollout) pullFrom(ctx context.Context, peer netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	update, err := r.Fetch(ctx, peer, r.newest().manifestID())
	if err == nil && update.Generation == 0 {
		return false
	}
	if err == nil {
		err = r.advance(update, false)
	}
	if err != nil {
		r.count(EventPullFailed)
	}
	return err == nil
}

func (r *Rollout) takeNewerAdverts() map[netip.AddrPort]ManifestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	adverts := r.newerAdverts
	r.newerAdverts = make(map[netip.AddrPort]ManifestID)
	return adverts
}
