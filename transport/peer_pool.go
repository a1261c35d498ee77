package transport

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// peerPool holds the open connections of a client to one peer.
type peerPool struct {
	client *Client
	peer   netip.AddrPort
	// permits is a semaphore: it holds a value for each connection that a call
	// uses or opens.
	permits chan struct{}
	// activeCalls counts the calls in progress; it is increased only under the
	// shard's lock.
	activeCalls atomic.Int64

	mu     sync.Mutex
	closed bool
	busy   map[*clientConn]struct{}
	// idle holds the connections without a call, the least recently used first.
	idle        []*clientConn
	expiryTimer *time.Timer
}

func newPeerPool(c *Client, peer netip.AddrPort) *peerPool {
	return &peerPool{
		client: c, peer: peer, busy: make(map[*clientConn]struct{}),
		permits: make(chan struct{}, c.limits.ConnectionsPerPeer),
	}
}

// acquire returns an idle connection or opens one; while the maximum number of
// connections is in use, it waits.
func (p *peerPool) acquire(ctx context.Context, deadline time.Time) (*clientConn, error) {
	if err := p.acquirePermit(ctx, deadline); err != nil {
		return nil, errors.Wrap(err, "wait for a free connection")
	}
	for conn := p.popIdle(); conn != nil; conn = p.popIdle() {
		if !conn.isStale() {
			return conn, nil
		}
		p.closeConn(conn)
	}
	netConn, err := p.client.dial(ctx, p.peer, deadline)
	if err != nil {
		<-p.permits
		return nil, errors.Wrap(err, "connect")
	}
	conn := newClientConn(netConn, p.client.limits.SilenceTimeout, &p.client.responses)
	if !p.markBusy(conn) {
		_ = netConn.Close()
		<-p.permits
		return nil, errors.New("client is closed")
	}
	return conn, nil
}

func (p *peerPool) acquirePermit(ctx context.Context, deadline time.Time) error {
	select {
	case p.permits <- struct{}{}:
		return nil
	default:
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case p.permits <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.client.ctx.Done():
		return errors.New("client is closed")
	}
}

// release returns a connection to the pool for reuse.
func (p *peerPool) release(conn *clientConn) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	delete(p.busy, conn)
	if p.closed {
		_ = conn.conn.Close()
	} else {
		p.idle = append(p.idle, conn)
		p.scheduleExpiry(p.client.limits.IdleTimeout)
	}
	p.mu.Unlock()
	<-p.permits
}

// discard closes a connection that must not be reused and gives up its permit.
func (p *peerPool) discard(conn *clientConn) {
	p.closeConn(conn)
	<-p.permits
}

func (p *peerPool) closeConn(conn *clientConn) {
	_ = conn.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, conn)
}

// close closes every connection; calls in progress fail.
func (p *peerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.busy {
		_ = conn.conn.Close()
	}
	for _, conn := range p.idle {
		_ = conn.conn.Close()
	}
	p.idle = nil
	if p.expiryTimer != nil {
		p.expiryTimer.Stop()
	}
}

func (p *peerPool) isEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && len(p.busy) == 0
}

func (p *peerPool) markBusy(conn *clientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.busy[conn] = struct{}{}
	return true
}

// popIdle marks the most recently used idle connection busy and returns it, or nil
// if there is none.
func (p *peerPool) popIdle() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 || p.closed {
		return nil
	}
	conn := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	p.busy[conn] = struct{}{}
	return conn
}

// closeIdleBefore closes the connections that have been idle since before a time.
func (p *peerPool) closeIdleBefore(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && p.idle[0].idleSince.Before(t) {
		_ = p.idle[0].conn.Close()
		p.idle[0] = nil
		p.idle = p.idle[1:]
	}
}

// scheduleExpiry sets the timer of closeExpired unless it is already set. The
// caller must hold the lock.
func (p *peerPool) scheduleExpiry(after time.Duration) {
	if p.expiryTimer == nil {
		p.expiryTimer = time.AfterFunc(after, p.closeExpired)
	}
}

// closeExpired closes the connections that have been idle for IdleTimeout.
func (p *peerPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expiryTimer = nil
	for len(p.idle) > 0 && !p.closed {
		remaining := p.client.limits.IdleTimeout - time.Since(p.idle[0].idleSince)
		if remaining > 0 {
			p.scheduleExpiry(remaining)
			return
		}
		_ = p.idle[0].conn.Close()
		p.idle[0] = nil
		p.idle = p.idle[1:]
	}
}
