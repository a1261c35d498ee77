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
	// watchWait bounds for how long a silent connection to the store can hide a manifest.
	watchWait   = 2 * time.Second
	roleCheck   = 500 * time.Millisecond
	peerTimeout = time.Second
	// pullDelay leaves the zone's relay the time to push first.
	pullDelay = 500 * time.Millisecond
)

// Run keeps the entry's manifest up to date until ctx is done; isRelay says
// whether this entry watches the store for its zone at the moment. It first
// asks the zone's entries, so that an entry that restarts in a cut-off zone, or
// while the store answers old data, does not fall back.
func (r *Rollout) Run(ctx context.Context, isRelay func() bool) {
	r.start(ctx, isRelay)
	var loops sync.WaitGroup
	loops.Go(func() { r.watch(ctx, isRelay) })
	loops.Go(func() { r.push(ctx) })
	loops.Go(func() { r.catchUp(ctx, isRelay) })
	loops.Wait()
}

// start asks until there is a manifest: the zone's entries, or all others if the
// zone has none, and only if none of them has one the store, which all ask once
// and the relay goes on asking.
func (r *Rollout) start(ctx context.Context, isRelay func() bool) {
	for attempt := 0; ; attempt++ {
		r.askPeers(ctx)
		if r.newest() == nil && (attempt == 0 || isRelay()) {
			_ = r.askStore(ctx)
		}
		if r.newest() != nil || !r.Storage.Pause(ctx, attempt) {
			return
		}
	}
}

// askPeers fetches the whole manifest from the first entry that has one, and
// from the others what they have beyond it.
func (r *Rollout) askPeers(ctx context.Context) {
	peers := r.Peers()
	if len(peers) == 0 && r.Others != nil {
		peers = r.Others()
	}
	for len(peers) > 0 && r.newest() == nil && ctx.Err() == nil {
		r.pull(ctx, peers[0])
		peers = peers[1:]
	}
	var all sync.WaitGroup
	for _, peer := range peers {
		all.Go(func() { r.pull(ctx, peer) })
	}
	all.Wait()
}

// askStore takes in the head that the store has now; old data is not believed.
func (r *Rollout) askStore(ctx context.Context) error {
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

// watch takes in every head that the store reports while this entry is the relay.
func (r *Rollout) watch(ctx context.Context, isRelay func() bool) {
	var after state.Version
	for attempt := 0; ctx.Err() == nil; {
		if !isRelay() {
			after = 0
			pause.For(ctx, roleCheck)
			continue
		}
		latest, err := r.watchOnce(ctx, after)
		if err != nil {
			r.Storage.Pause(ctx, attempt)
			attempt++
			continue
		}
		after, attempt = max(after, latest), 0
	}
}

func (r *Rollout) watchOnce(ctx context.Context, after state.Version) (state.Version, error) {
	entries, latest, err := r.Storage.Watch(ctx, headKey, after, watchWait)
	if err != nil || len(entries) == 0 {
		return latest, err
	}
	head, err := r.Codec.DecodeHead(entries[len(entries)-1].Value)
	if err != nil {
		r.count(LoadFailed)
		return 0, err
	}
	if err := r.load(ctx, head, true); err != nil {
		return 0, err
	}
	r.askToPush()
	return latest, nil
}

// push sends each move up to the zone's entries when asked to.
func (r *Rollout) push(ctx context.Context) {
	var last *snapshot
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pushing:
		}
		newest := r.newest()
		if newest == last {
			continue
		}
		r.pushAll(ctx, newest, last.have().Generation)
		last = newest
	}
}

func (r *Rollout) pushAll(ctx context.Context, newest *snapshot, since state.Generation) {
	if since == 0 {
		// The others have most of it already; what they lack they say in their answers.
		since = newest.generation - 1
	}
	update := newest.since(since)
	var all sync.WaitGroup
	for _, peer := range r.Peers() {
		all.Go(func() { r.pushTo(ctx, peer, newest, update) })
	}
	all.Wait()
}

func (r *Rollout) pushTo(ctx context.Context, peer netip.AddrPort, newest *snapshot, update Update) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	have, err := r.Push(ctx, peer, update)
	if err == nil && have.Generation < update.Since {
		_, err = r.Push(ctx, peer, newest.since(have.Generation))
	}
	if err != nil {
		r.count(PushFailed)
	}
}

// catchUp fetches from entries that advertise more than this one has, unless
// the relay's push comes first.
func (r *Rollout) catchUp(ctx context.Context, isRelay func() bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.heard:
		}
		pause.For(ctx, pullDelay+time.Duration(r.Storage.Random()*float64(pullDelay)))
		for peer, have := range r.takeBehind() {
			if !r.Behind(have.Generation, have.Digest) {
				continue
			}
			if r.catchUpFrom(ctx, peer, have) && isRelay() {
				r.askToPush()
			}
		}
	}
}

func (r *Rollout) catchUpFrom(ctx context.Context, peer netip.AddrPort, have Have) bool {
	if have.Generation > r.newest().have().Generation {
		return r.pull(ctx, peer)
	}
	// Two contents of one generation: the store decides.
	r.count(DigestMismatch)
	return r.askStore(ctx) == nil
}

func (r *Rollout) pull(ctx context.Context, peer netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	update, err := r.Fetch(ctx, peer, r.newest().have())
	if err == nil && update.Generation == 0 {
		return false
	}
	if err == nil {
		err = r.move(update, false)
	}
	if err != nil {
		r.count(PullFailed)
	}
	return err == nil
}

func (r *Rollout) takeBehind() map[netip.AddrPort]Have {
	r.mu.Lock()
	defer r.mu.Unlock()
	behind := r.behind
	r.behind = make(map[netip.AddrPort]Have)
	return behind
}
