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

// Client asks the store at Peer; a failure is a *state.StepError that is
// ambiguous if the store may have acted, a lost race a *state.WriteConflict.
// It is safe for several goroutines.
type Client struct {
	Connections *transport.Client
	Peer        netip.AddrPort
}

// Calls returns the client's calls, with values in envelopes.
func (c *Client) Calls() storage.Calls {
	return Sealed(storage.Calls{
		Get:            c.get,
		CompareAndSwap: c.compareAndSwap,
		Watch:          c.watch,
		Grant:          c.grant,
		KeepAlive:      c.keepAlive,
	})
}

func (c *Client) get(ctx context.Context, key string) (state.Entry, error) {
	reply, err := message.Call[getRequest, wireEntry](ctx, c.Connections, c.Peer, getPath, getRequest{Key: key})
	return reply.entry(), err
}

func (c *Client) compareAndSwap(ctx context.Context, write state.Write) (state.Version, error) {
	reply, err := message.Call[compareAndSwapRequest, compareAndSwapReply](ctx, c.Connections, c.Peer, compareAndSwapPath, compareAndSwapRequest{
		Key: write.Key, Old: write.Old, Value: write.Value, Delete: write.Value == nil, Lease: write.Lease,
	})
	if err == nil && reply.Conflict {
		return 0, &state.WriteConflict{Key: write.Key, Current: reply.Version}
	}
	return reply.Version, err
}

func (c *Client) watch(ctx context.Context, prefix string, after state.Version, wait time.Duration) ([]state.Entry, state.Version, error) {
	reply, err := message.Call[watchRequest, watchReply](ctx, c.Connections, c.Peer, watchPath, watchRequest{Prefix: prefix, After: after, Wait: wait})
	if err != nil {
		return nil, 0, err
	}
	entries := make([]state.Entry, len(reply.Entries))
	for i, e := range reply.Entries {
		entries[i] = e.entry()
	}
	return entries, reply.Latest, nil
}

func (c *Client) grant(ctx context.Context, ttl time.Duration) (state.StoreLease, error) {
	reply, err := message.Call[grantRequest, grantReply](ctx, c.Connections, c.Peer, grantPath, grantRequest{TTL: ttl})
	return reply.Lease, err
}

func (c *Client) keepAlive(ctx context.Context, lease state.StoreLease) error {
	_, err := message.Call[keepAliveRequest, nothing](ctx, c.Connections, c.Peer, keepAlivePath, keepAliveRequest{Lease: lease})
	return err
}
