package transport

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// peerPool holds the open connections to one peer.
type peerPool struct {
	peer   netip.AddrPort
	limits ClientLimits
	dial   func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)
	// permits holds a value for each connection that may still be used by a call.
	permits chan struct{}

	mu     sync.Mutex
	closed bool
	// idle holds the connections without a call, the longest unused first.
	idle  []*link
	timer *time.Timer
}

func newPeerPool(peer netip.AddrPort, limits ClientLimits,
	dial func(ctx context.Context, peer netip.AddrPort) (net.Conn, error),
) *peerPool {
	p := &peerPool{peer: peer, limits: limits, dial: dial}
	p.permits = make(chan struct{}, limits.ConnectionsPerPeer)
	return p
}

// take returns an idle connection or a new one, and waits while all are in use.
func (p *peerPool) take(ctx context.Context) (*link, error) {
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for a connection")
	}
	for {
		l := p.popIdle()
		if l == nil {
			break
		}
		if !l.stale() {
			return l, nil
		}
		_ = l.conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.limits.DialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, p.peer)
	if err != nil {
		<-p.permits
		return nil, errors.Wrap(err, "connect")
	}
	return newLink(conn), nil
}

func (p *peerPool) put(l *link) {
	l.idle = time.Now()
	p.mu.Lock()
	if p.closed {
		_ = l.conn.Close()
	} else {
		p.idle = append(p.idle, l)
		p.expireLater()
	}
	p.mu.Unlock()
	<-p.permits
}

func (p *peerPool) discard(l *link) {
	_ = l.conn.Close()
	<-p.permits
}

func (p *peerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		_ = l.conn.Close()
	}
	p.idle = nil
	if p.timer != nil {
		p.timer.Stop()
	}
}

func (p *peerPool) popIdle() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	l := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	if time.Since(l.idle) > p.limits.IdleTimeout {
		_ = l.conn.Close()
		return nil
	}
	return l
}

// expireLater runs under the lock.
func (p *peerPool) expireLater() {
	if p.timer == nil {
		p.timer = time.AfterFunc(p.limits.IdleTimeout, p.expire)
	}
}

func (p *peerPool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = nil
	kept := p.idle[:0]
	for _, l := range p.idle {
		if time.Since(l.idle) < p.limits.IdleTimeout {
			kept = append(kept, l)
			continue
		}
		_ = l.conn.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	if len(kept) > 0 && !p.closed {
		p.expireLater()
	}
}

// hasInput reports whether a read would return at once: with bytes, the end
// of the stream, or an error.
func hasInput(conn net.Conn) (ready bool) {
	raw, supported := conn.(syscall.Conn)
	if !supported {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	err = control.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ready = !errors.Is(err, unix.EAGAIN)
	})
	return ready || err != nil
}
