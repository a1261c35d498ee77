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

const retryInterval = 50 * time.Millisecond

// Ready applies the manifest through the first entry and waits until every entry
// is ready and knows all others. If ctx ends first, it returns the last error.
func (f *Fleet) Ready(ctx context.Context, client *caller.Client, manifest []byte) error {
	entries := f.Entries()
	err := f.retry(ctx, func() error {
		_, err := client.Apply(ctx, entries[0].Address(), manifest, 0)
		return err
	})
	for _, e := range entries {
		if err != nil {
			return err
		}
		err = f.retry(ctx, func() error {
			if err := client.Ready(ctx, e.Address()); err != nil {
				return err
			}
			return checkEntryCount(ctx, client, e.Address(), len(entries))
		})
	}
	return err
}

// retry retries try until it succeeds or ctx ends, and returns its last error.
func (f *Fleet) retry(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil || !pause.For(ctx, retryInterval) {
			return err
		}
	}
}

// checkEntryCount returns an error if the entry knows fewer entries than wanted.
func checkEntryCount(ctx context.Context, client *caller.Client, entry netip.AddrPort, want int) error {
	data, err := client.Overview(ctx, entry)
	if err != nil {
		return err
	}
	overview, err := instance.DecodeOverview(data)
	if err == nil && len(overview.Entries) < want {
		err = errors.Errorf("%s knows %d of %d entries", entry, len(overview.Entries), want)
	}
	return err
}
