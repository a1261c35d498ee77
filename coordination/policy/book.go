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

// confirmTimeout bounds one read of the configuration.
const confirmTimeout = 800 * time.Millisecond

// Book is the configuration in force; it is safe for several goroutines.
type Book struct {
	Store  *keyvalue.Store
	Key    string
	Decode func(text []byte) (*workflow.Policy, error)
	Log    zerolog.Logger

	mu      sync.Mutex
	current atomic.Pointer[workflow.Policy]
	reads   singleflight.Group
}

// Current returns the version in force, nil before the first.
func (b *Book) Current() *workflow.Policy { return b.current.Load() }

// Run follows the configuration until the context ends.
func (b *Book) Run(ctx context.Context) {
	f := keyvalue.Follower{
		Store: b.Store, Prefix: b.Key, Reset: b.takeAll, Apply: b.takeAll,
		Failed:    func(err error) { b.Log.Warn().Str("event", "configurationUnwatched").Err(err).Send() },
		Recovered: func() { b.Log.Info().Str("event", "configurationWatched").Send() },
	}
	f.Run(ctx)
}

// Confirm reads the configuration from the store, so that what it does not
// hold can be refused; calls at the same time share one read.
func (b *Book) Confirm(ctx context.Context) (*workflow.Policy, error) {
	done := b.reads.DoChan("", func() (any, error) {
		reading, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
		defer cancel()
		item, found, _, err := b.Store.Get(reading, b.Key)
		if err == nil && found {
			b.take(item)
		}
		return nil, err
	})
	select {
	case result := <-done:
		return b.Current(), result.Err
	case <-ctx.Done():
		return nil, state.NewStepError("confirm the configuration", netip.AddrPort{}, state.StoreUnavailable, ctx.Err())
	}
}

func (b *Book) takeAll(items []keyvalue.Item, _ time.Time) {
	for _, item := range items {
		if item.Key == b.Key && !item.Deleted {
			b.take(item)
		}
	}
}

// take puts a version in force if it is newer.
func (b *Book) take(item keyvalue.Item) {
	p, err := b.Decode(item.Value)
	if err != nil {
		b.Log.Error().Str("event", "configurationUnreadable").Int64("revision", int64(item.Revision)).Err(err).Send()
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.current.Load(); current != nil && current.Version >= p.Version {
		return
	}
	b.current.Store(p)
	b.Log.Info().Str("event", "configurationInForce").Int64("version", p.Version).
		Int64("revision", int64(item.Revision)).Int("queues", len(p.Queues)).Send()
}
