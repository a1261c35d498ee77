package transport

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// ClientLimits bounds a client's connections and waits.
type ClientLimits struct {
	// ConnectionsPerPeer bounds the open connections to one address.
	ConnectionsPerPeer int
	// AnswerBytes bounds the body of an answer.
	AnswerBytes int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection without a call is kept; it must be
	// shorter than the server's.
	IdleTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout time.Duration
}

// DefaultClientLimits returns limits that suit calls between instances.
func DefaultClientLimits() ClientLimits {
	return ClientLimits{
		ConnectionsPerPeer: 256,
		AnswerBytes:        16 << 20,
		DialTimeout:        time.Second,
		IdleTimeout:        4 * time.Second,
		CallTimeout:        10 * time.Second,
	}
}

func (l ClientLimits) orDefaults() ClientLimits {
	defaults := DefaultClientLimits()
	l.ConnectionsPerPeer = positive(l.ConnectionsPerPeer, defaults.ConnectionsPerPeer)
	l.AnswerBytes = positive(l.AnswerBytes, defaults.AnswerBytes)
	l.DialTimeout = positive(l.DialTimeout, defaults.DialTimeout)
	l.IdleTimeout = positive(l.IdleTimeout, defaults.IdleTimeout)
	l.CallTimeout = positive(l.CallTimeout, defaults.CallTimeout)
	return l
}

// Client calls HTTP/1.1 servers by their IP numbers; it is safe for several
// goroutines. A connection whose call failed is closed and never used again.
type Client struct {
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)

	limits ClientLimits
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[netip.AddrPort]*peerPool
}

// NewClient returns a client; limits that are not set take their defaults.
func NewClient(limits ClientLimits) *Client {
	c := &Client{limits: limits.orDefaults(), peers: make(map[netip.AddrPort]*peerPool)}
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
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	link, err := pool.take(ctx)
	if err != nil {
		return &CallError{Peer: peer, Silent: isTimeout(err), cause: err}
	}
	err = link.roundTrip(ctx, request, response, c.limits.AnswerBytes)
	if err != nil {
		pool.discard(link)
		return &CallError{Peer: peer, Sent: link.written > 0, Silent: isTimeout(err), cause: err}
	}
	if response.ConnectionClose() {
		pool.discard(link)
		return nil
	}
	pool.put(link)
	return nil
}

// Close ends the calls under way, closes every connection and waits.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	pools := make([]*peerPool, 0, len(c.peers))
	for _, pool := range c.peers {
		pools = append(pools, pool)
	}
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	for _, pool := range pools {
		pool.close()
	}
	return nil
}

func (c *Client) pool(peer netip.AddrPort) (*peerPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("the client is closed")
	}
	c.calls.Add(1)
	pool, found := c.peers[peer]
	if !found {
		pool = newPeerPool(peer, c.limits, c.dial)
		c.peers[peer] = pool
	}
	return pool, nil
}

func (c *Client) dial(ctx context.Context, peer netip.AddrPort) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial(ctx, peer)
	}
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	return dialer.DialContext(ctx, "tcp", peer.String())
}

// bounded returns a context that ends with the client and has a deadline.
func (c *Client) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	if _, limited := ctx.Deadline(); !limited {
		cancel()
		bounded, cancel = context.WithTimeout(ctx, c.limits.CallTimeout)
	}
	stop := context.AfterFunc(c.ctx, cancel)
	return bounded, func() {
		stop()
		cancel()
	}
}

func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}
