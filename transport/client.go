package transport

import (
	"context"
	"hash/maphash"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Client calls HTTP/1.1 servers by their IP numbers; it is safe for several
// goroutines. A connection whose call failed is closed and never used again.
type Client struct {
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)

	limits ClientLimits
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	seed   maphash.Seed
	shards [clientShards]clientShard
}

// NewClient returns a client; limits that are not set take their defaults.
func NewClient(limits ClientLimits) *Client {
	c := &Client{limits: limits.orDefaults(), seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].peers = make(map[netip.AddrPort]*peerPool)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Do sends the request to the peer and reads the answer within the context's
// deadline. A failure is a *CallError.
func (c *Client) Do(ctx context.Context, peer netip.AddrPort, request *fasthttp.Request, response *fasthttp.Response) error {
	pool, err := c.pool(peer)
	if err != nil {
		return &CallError{Peer: peer, cause: err}
	}
	defer c.calls.Done()
	defer pool.users.Add(-1)
	deadline, limited := ctx.Deadline()
	if !limited {
		deadline = time.Now().Add(c.limits.CallTimeout)
	}
	l, err := pool.take(ctx, deadline)
	if err != nil {
		return &CallError{Peer: peer, Silent: isTimeout(err), cause: err}
	}
	if err := l.roundTrip(ctx, deadline, request, response, c.limits.AnswerBytes); err != nil {
		pool.discard(l)
		return &CallError{Peer: peer, Sent: l.written > 0, Silent: isTimeout(err), cause: err}
	}
	if response.ConnectionClose() {
		pool.discard(l)
		return nil
	}
	pool.put(l)
	return nil
}

// Close ends the calls under way, closes every connection and waits.
func (c *Client) Close() error {
	c.cancel()
	for i := range c.shards {
		c.shards[i].close()
	}
	c.calls.Wait()
	return nil
}

// pool returns the peer's pool, counted as in use.
func (c *Client) pool(peer netip.AddrPort) (*peerPool, error) {
	return c.shards[maphash.Comparable(c.seed, peer)%clientShards].pool(c, peer)
}

// dial opens a connection; it ends early with the client or at the deadline.
func (c *Client) dial(ctx context.Context, peer netip.AddrPort, deadline time.Time) (net.Conn, error) {
	if latest := time.Now().Add(c.limits.DialTimeout); latest.Before(deadline) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	if c.Dial != nil {
		return c.Dial(ctx, peer)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", peer.String())
}

func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}
