package policy

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"comfreystream/coordination/keyvalue"
	"comfreystream/state"
	"comfreystream/state/workflow"
)

const (
	// refreshTimeout bounds one read of the configuration.
	refreshTimeout = 800 * time.Millisecond
	// slowRead is after how long a read is taken for one that the store does not answer
	// directly. It leaves most of the 250 ms within which requests may be answered
	// by different versions in any order.
	slowRead = 100 * time.Millisecond
)

// Watcher keeps the latest configuration in the store; it is safe for concurrent
// use.
type Watcher struct {
	Store  *keyvalue.Store
	Key    string
	Decode func(text []byte) (*workflow.Policy, error)
	// Changed is called after each change of the current configuration; it must not block.
	Changed func()
	Log     zerolog.Logger

	mu      sync.Mutex
	current atomic.Pointer[workflow.Policy]
	reads   singleflight.Group
	// reading is the read under way, or nil.
	reading atomic.Pointer[read]
}

// read is one read of the configuration; done is closed at its end.
type read struct {
	began time.Time
	done  chan struct{}
}

// Current returns the latest known configuration, or nil before the first.
func (w *Watcher) Current() *workflow.Policy { return w.current.Load() }

// Latest returns the latest known configuration like Current. While a read takes long it
// waits for its end, at most for refreshTimeout: the request that waits for the read
// may be answered by a newer version, and a later one must not be by an older one.
func (w *Watcher) Latest(ctx context.Context) *workflow.Policy {
	if r := w.reading.Load(); r != nil && time.Since(r.began) >= slowRead {
		select {
		case <-r.done:
		case <-ctx.Done():
		}
	}
	return w.Current()
}

// Run watches the configuration until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	f := keyvalue.Follower{
		Store: w.Store, Prefix: w.Key, Reset: w.applyAll, Apply: w.applyAll,
		Failed:    func(err error) { w.Log.Warn().Str("event", "configurationUnwatched").Err(err).Send() },
		Recovered: func() { w.Log.Info().Str("event", "configurationWatched").Send() },
	}
	f.Run(ctx)
}

// Refresh reads the configuration from the store and returns the latest known one,
// so that a request is not refused because of an old one. Concurrent calls share
// one read.
func (w *Watcher) Refresh(ctx context.Context) (*workflow.Policy, error) {
	done := w.reads.DoChan("", func() (any, error) {
		r := &read{began: time.Now(), done: make(chan struct{})}
		w.reading.Store(r)
		defer func() {
			w.reading.Store(nil)
			close(r.done)
		}()
		reading, cancel := context.WithTimeout(context.WithoutCancel(ctx), refreshTimeout)
		defer cancel()
		item, found, _, err := w.Store.Get(reading, w.Key)
		if err == nil && found {
			w.apply(item)
		}
		return nil, err
	})
	select {
	case result := <-done:
		return w.Current(), result.Err
	case <-ctx.Done():
		return nil, state.NewStepError("read the configuration", netip.AddrPort{}, state.StoreUnavailable, ctx.Err())
	}
}

func (w *Watcher) applyAll(items []keyvalue.Item, _ time.Time) {
	for _, item := range items {
		if item.Key == w.Key && !item.Deleted {
			w.apply(item)
		}
	}
}

// apply decodes a configuration and makes it the current one if it is newer.
func (w *Watcher) apply(item keyvalue.Item) {
	p, err := w.Decode(item.Value)
	if err != nil {
		w.Log.Error().Str("event", "configurationUnreadable").Int64("revision", int64(item.Revision)).Err(err).Send()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if current := w.current.Load(); current != nil && current.Version >= p.Version {
		return
	}
	w.current.Store(p)
	w.Changed()
	w.Log.Info().Str("event", "configurationInForce").Int64("version", p.Version).
		Int64("revision", int64(item.Revision)).Int("queues", len(p.Queues)).Send()
}
