package keyvalue

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
)

const (
	// followWait is how long one watch call waits; a silent connection is
	// found at the latest then.
	followWait = 1500 * time.Millisecond
	// followTimeout adds what a slow answer may take.
	followTimeout = followWait + 700*time.Millisecond
	// listTimeout bounds one listing.
	listTimeout = 1500 * time.Millisecond
	// followPause is the time between failed calls.
	followPause = 150 * time.Millisecond
)

// Follower keeps a reader up to date with all items below a prefix.
type Follower struct {
	Store  *Store
	Prefix string
	// Reset takes the whole state at a time; Apply takes changes after it.
	// Both hear when the call that brought the news was sent.
	Reset func(items []Item, asOf time.Time)
	Apply func(items []Item, asOf time.Time)
	// Lost hears why a call failed, Regained that calls succeed again.
	Lost     func(err error)
	Regained func()
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := f.follow(ctx, func() {
			if lost {
				f.Regained()
			}
			lost = false
		})
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, ErrHistoryLost) {
			lost = true
			f.Lost(err)
		}
		pause.For(ctx, followPause)
	}
}

// follow lists once and watches until a call fails.
func (f *Follower) follow(ctx context.Context, succeeded func()) error {
	sent := time.Now()
	listing, cancel := context.WithTimeout(ctx, listTimeout)
	items, after, err := f.Store.List(listing, f.Prefix)
	cancel()
	if err != nil {
		return err
	}
	succeeded()
	f.Reset(items, sent)
	for {
		sent := time.Now()
		watching, cancel := context.WithTimeout(ctx, followTimeout)
		items, next, err := f.Store.Watch(watching, f.Prefix, after, followWait)
		cancel()
		if err != nil {
			return err
		}
		after = next
		f.Apply(items, sent)
	}
}
