package store

import (
	"context"
	"net/netip"
	"time"

	"comfreystream/coordination/storage"
	"comfreystream/protocol/message"
	"comfreystream/state"
	"comfreystream/transport"
)

// Client calls the store at Peer; it is safe for concurrent use. Its calls fail
// with a *state.StepError that is ambiguous if the store may have executed the
// call, or with a *state.WriteConflict if the key has another version.
type Client struct {
	Connections *transport.Client
	Peer        netip.AddrPort
}

// Calls returns the calls to the store; they wrap values in envelopes.
func (c *Client) Calls() storage.Calls {
	return WithWriteIDs(storage.Calls{
		Get:            c.get,
		CompareAndSwap: c.compareAndSwap,
		Watch:          c.watch,
		Grant:          c.grant,
		KeepAlive:      c.keepAlive,
	})
}

func (c *Client) get(ctx context.Context, key string) (state.Entry, error) {
	response, err := message.Call[getRequest, wireEntry](ctx, c.Connections, c.Peer, getPath, getRequest{Key: key})
	return response.entry(), err
}

func (c *Client) compareAndSwap(ctx context.Context, write state.Write) (state.Version, error) {
	response, err := message.Call[compareAndSwapRequest, compareAndSwapResponse](ctx, c.Connections, c.Peer, compareAndSwapPath, compareAndSwapRequest{
		Key: write.Key, Old: write.Old, Value: write.Value, Delete: write.Value == nil, Lease: write.Lease,
	})
	if err == nil && response.Conflict {
		return 0, &state.WriteConflict{Key: write.Key, Current: response.Version}
	}
	return response.Version, err
}

func (c *Client) watch(ctx context.Context, prefix string, after state.Version, wait time.Duration) ([]state.Entry, state.Version, error) {
	response, err := message.Call[watchRequest, watchResponse](ctx, c.Connections, c.Peer, watchPath, watchRequest{Prefix: prefix, After: after, Wait: wait})
	if err != nil {
		return nil, 0, err
	}
	entries := make([]state.Entry, len(response.Entries))
	for i, e := range response.Entries {
		entries[i] = e.entry()
	}
	return entries, response.Latest, nil
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (state.StoreLease, error) {
	response, err := message.Call[grantRequest, grantResponse](ctx, c.Connections, c.Peer, grantPath, grantRequest{TTL: ttl})
	return response.Lease, err
}

func (c *Client) keepAlive(ctx context.Context, lease state.StoreLease) error {
	_, err := message.Call[keepAliveRequest, emptyMessage](ctx, c.Connections, c.Peer, keepAlivePath, keepAliveRequest{Lease: lease})
	return err
}
