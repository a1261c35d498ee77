package fleet

import (
	"comfreystream/coordination/pause"
	"comfreystream/protocol/caller"
	"context"
	"time"
)

const readyPause = 50 * time.Millisecond

// Ready applies the manifest through the first entry and waits until every
// entry serves callers; it returns the last error once ctx ends.
func (f *Fleet) Ready(ctx context.Context, client *caller.Client, manifest []byte) error {
	entries := f.Entries()
	err := f.until(ctx, func() error {
		_, err := client.Apply(ctx, entries[0].Address(), manifest, 0)
		return err
	})
	for _, e := range entries {
		if err != nil {
			return err
		}
		err = f.until(ctx, func() error { return client.Ready(ctx, e.Address()) })
	}
	return err
}

func (f *Fleet) until(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil || !pause.For(ctx, readyPause) {
			return err
		}
	}
}
