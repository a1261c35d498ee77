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

// Client calls HTTP/1.1 servers by IP address and port; it is safe for
// concurrent use. A connection whose call failed is closed and never reused; nor are
// those that were last used before a call that timed out began, as all connections
// to a peer may go silent at once.
type Client struct {
	// Dial opens a connection to a peer; if it is nil, the client dials TCP.
	Dial func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)

	limits      ClientLimits
	ctx         context.Context
	cancel      context.CancelFunc
	activeCalls sync.WaitGroup
	responses   responseBudget
	hashSeed    maphash.Seed
	shards      [clientShards]clientShard
}

// NewClient returns a client; limits that are not set take the values of
// DefaultClientLimits.
func NewClient(limits ClientLimits) *Client {
	c := &Client{limits: limits.orDefaults(), hashSeed: maphash.MakeSeed()}
	c.responses.limit = int64(c.limits.TotalResponseBytes)
	for i := range c.shards {
		c.shards[i].pools = make(map[netip.AddrPort]*peerPool)
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Do sends the request to the peer and reads the response before the context's
// deadline, or within CallTimeout if it has none. Errors are of type *CallError.
func (c *Client) Do(ctx context.Context, peer netip.AddrPort, request *fasthttp.Request, response *fasthttp.Response) error {
	pool, err := c.acquirePool(peer)
	if err != nil {
		return &CallError{Peer: peer, cause: err}
	}
	defer c.activeCalls.Done()
	defer pool.activeCalls.Add(-1)
	deadline, limited := ctx.Deadline()
	if !limited {
		deadline = time.Now().Add(c.limits.CallTimeout)
	}
	conn, err := pool.acquire(ctx, deadline)
	if err != nil {
		return &CallError{Peer: peer, TimedOut: isTimeout(err), cause: err}
	}
	began, reused := time.Now(), !conn.idleSince.IsZero()
	if err := conn.roundTrip(ctx, deadline, request, response, c.limits.ResponseBytes); err != nil {
		pool.discard(conn)
		if reused && isTimeout(err) && time.Since(began) >= minSilence {
			pool.closeIdleBefore(began)
		}
		return &CallError{Peer: peer, Sent: conn.written > 0, TimedOut: isTimeout(err), cause: err}
	}
	if response.ConnectionClose() {
		pool.discard(conn)
		return nil
	}
	pool.release(conn)
	return nil
}

// Close closes every connection, which ends the calls in progress, and waits for
// those calls to return.
func (c *Client) Close() error {
	c.cancel()
	for i := range c.shards {
		c.shards[i].close()
	}
	c.activeCalls.Wait()
	return nil
}

// acquirePool returns the peer's pool and counts one more call on it and on
// the client.
func (c *Client) acquirePool(peer netip.AddrPort) (*peerPool, error) {
	return c.shards[maphash.Comparable(c.hashSeed, peer)%clientShards].acquirePool(c, peer)
}

// dial opens a connection; it gives up at the deadline, after DialTimeout or
// when the client is closed.
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

// minSilence is how long a call on a reused connection waits in vain until other
// connections of its age are taken for silent too. A lost packet takes less.
const minSilence = 400 * time.Millisecond

func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}
