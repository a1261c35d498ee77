package fleet

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"comfreystream/coordination/pause"
	"comfreystream/instance"
	"comfreystream/protocol/caller"
)

const readyPause = 50 * time.Millisecond

// Ready applies the manifest through the first entry and waits until every
// entry serves callers and knows all the others; it returns the last error
// once ctx ends.
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
		err = f.until(ctx, func() error {
			if err := client.Ready(ctx, e.Address()); err != nil {
				return err
			}
			return knows(ctx, client, e.Address(), len(entries))
		})
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

// knows returns an error while the entry knows of fewer entries than there are.
func knows(ctx context.Context, client *caller.Client, entry netip.AddrPort, wanted int) error {
	data, err := client.Overview(ctx, entry)
	if err != nil {
		return err
	}
	overview, err := instance.DecodeOverview(data)
	if err == nil && len(overview.Entries) < wanted {
		err = errors.Errorf("%s knows %d of %d entries", entry, len(overview.Entries), wanted)
	}
	return err
}
