package transport

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// peerPool holds the open connections to one peer.
type peerPool struct {
	client *Client
	peer   netip.AddrPort
	// permits holds a value for each connection that a call uses or opens.
	permits chan struct{}
	// users counts the calls; it grows only under the shard's lock.
	users atomic.Int64

	mu     sync.Mutex
	closed bool
	busy   map[*link]struct{}
	// idle holds the connections without a call, the longest unused first.
	idle  []*link
	timer *time.Timer
}

func newPeerPool(c *Client, peer netip.AddrPort) *peerPool {
	return &peerPool{
		client: c, peer: peer, busy: make(map[*link]struct{}),
		permits: make(chan struct{}, c.limits.ConnectionsPerPeer),
	}
}

// take returns an idle connection or a new one, and waits while all are in use.
func (p *peerPool) take(ctx context.Context, deadline time.Time) (*link, error) {
	if err := p.permit(ctx, deadline); err != nil {
		return nil, errors.Wrap(err, "wait for a connection")
	}
	for l := p.popIdle(); l != nil; l = p.popIdle() {
		if !l.stale() {
			return l, nil
		}
		p.closeLink(l)
	}
	conn, err := p.client.dial(ctx, p.peer, deadline)
	if err != nil {
		<-p.permits
		return nil, errors.Wrap(err, "connect")
	}
	l := newLink(conn, p.client.limits.SilenceTimeout)
	if !p.markBusy(l) {
		_ = conn.Close()
		<-p.permits
		return nil, errors.New("the client is closed")
	}
	return l, nil
}

func (p *peerPool) permit(ctx context.Context, deadline time.Time) error {
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
		return errors.New("the client is closed")
	}
}

// put gives back a connection that may be used again.
func (p *peerPool) put(l *link) {
	l.idle = time.Now()
	p.mu.Lock()
	delete(p.busy, l)
	if p.closed {
		_ = l.conn.Close()
	} else {
		p.idle = append(p.idle, l)
		p.expireLater(p.client.limits.IdleTimeout)
	}
	p.mu.Unlock()
	<-p.permits
}

// discard closes a connection after a call.
func (p *peerPool) discard(l *link) {
	p.closeLink(l)
	<-p.permits
}

func (p *peerPool) closeLink(l *link) {
	_ = l.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, l)
}

// close closes every connection; calls under way fail.
func (p *peerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for l := range p.busy {
		_ = l.conn.Close()
	}
	for _, l := range p.idle {
		_ = l.conn.Close()
	}
	p.idle = nil
	if p.timer != nil {
		p.timer.Stop()
	}
}

func (p *peerPool) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && len(p.busy) == 0
}

func (p *peerPool) markBusy(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.busy[l] = struct{}{}
	return true
}

// popIdle returns the connection that was used last and marks it busy.
func (p *peerPool) popIdle() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 || p.closed {
		return nil
	}
	l := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	p.busy[l] = struct{}{}
	return l
}

// expireLater runs under the lock.
func (p *peerPool) expireLater(after time.Duration) {
	if p.timer == nil {
		p.timer = time.AfterFunc(after, p.expire)
	}
}

// expire closes the connections that were idle for too long.
func (p *peerPool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = nil
	for len(p.idle) > 0 && !p.closed {
		left := p.client.limits.IdleTimeout - time.Since(p.idle[0].idle)
		if left > 0 {
			p.expireLater(left)
			return
		}
		_ = p.idle[0].conn.Close()
		p.idle[0] = nil
		p.idle = p.idle[1:]
	}
}
