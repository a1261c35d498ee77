package keyvalue

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
)

const (
	// watchWait is how long one watch call waits for changes; it also bounds how
	// long a dead connection goes unnoticed.
	watchWait = 1500 * time.Millisecond
	// watchTimeout adds an allowance for a slow answer.
	watchTimeout = watchWait + 700*time.Millisecond
	// listTimeout bounds one list call.
	listTimeout = 1500 * time.Millisecond
	// retryPause is the wait after a failed call.
	retryPause = 150 * time.Millisecond
)

// Follower reports the items with a prefix and all their changes.
type Follower struct {
	Store  *Store
	Prefix string
	// Starts holds the texts that may follow the prefix, for ListParts; nil never splits
	// a listing.
	Starts []string
	// Reset is called with all items, Apply with the changes after that; asOf is
	// when the call that returned them was sent.
	Reset func(items []Item, asOf time.Time)
	Apply func(items []Item, asOf time.Time)
	// Failed is called after each failed call, Recovered after the next success.
	Failed    func(err error)
	Recovered func()
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		err := f.listAndWatch(ctx, func() {
			if failing {
				f.Recovered()
			}
			failing = false
		})
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, ErrHistoryLost) {
			failing = true
			f.Failed(err)
		}
		pause.For(ctx, retryPause)
	}
}

// listAndWatch lists once and then watches until a call fails.
func (f *Follower) listAndWatch(ctx context.Context, succeeded func()) error {
	sent := time.Now()
	listing, cancel := context.WithTimeout(ctx, listTimeout)
	items, after, err := f.Store.ListParts(listing, f.Prefix, f.Starts)
	cancel()
	if err != nil {
		return err
	}
	succeeded()
	f.Reset(items, sent)
	for {
		sent := time.Now()
		watching, cancel := context.WithTimeout(ctx, watchTimeout)
		items, next, err := f.Store.Watch(watching, f.Prefix, after, watchWait)
		cancel()
		if err != nil {
			return err
		}
		after = next
		f.Apply(items, sent)
	}
}
