package link

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is what a proxy does with the bytes of its connections.
type Mode uint8

// The modes.
const (
	Pass Mode = iota
	// Delayed bytes come DelayBy later.
	Delayed
	// Silent connections lose what is sent from either end.
	Silent
	// AnswersLost loses only what the target sends.
	AnswersLost
	// Reset ends every connection at once.
	Reset
	modes
)

// Modes is how many modes there are.
const Modes = int(modes)

// DelayBy is how much later delayed bytes come.
const DelayBy = 150 * time.Millisecond

// Proxy passes TCP connections on to a target on the same machine.
type Proxy struct {
	target   netip.AddrPort
	listener *net.TCPListener
	all      sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	conns map[*net.TCPConn]struct{}
}

// NewProxy opens a port of its own before the target.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(target.Addr(), 0)))
	if err != nil {
		return nil, errors.Wrap(err, "open the proxy's port")
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[*net.TCPConn]struct{})}
	p.all.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Set changes the mode; connections that lost bytes are ended when bytes pass again.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := p.mode == Silent || p.mode == AnswersLost
	p.mode = mode
	if !lost && mode != Reset {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// Close ends the port and every connection, and waits.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.Set(Reset)
	p.all.Wait()
	return errors.Wrap(err, "close the proxy")
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}
		p.all.Go(func() { p.join(near) })
	}
}

func (p *Proxy) join(near *net.TCPConn) {
	defer p.drop(near)
	if !p.keep(near) {
		return
	}
	far, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(p.target))
	if err != nil {
		return
	}
	defer p.drop(far)
	if !p.keep(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, Silent) })
	both.Go(func() { p.copy(near, far, Silent, AnswersLost) })
	both.Wait()
}

func (p *Proxy) keep(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Reset {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) drop(c *net.TCPConn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy passes bytes on until either end is closed; in the modes named they are lost.
func (p *Proxy) copy(to, from *net.TCPConn, losing ...Mode) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := p.now()
		if mode == Delayed {
			<-time.After(DelayBy)
		}
		if slices.Contains(losing, mode) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) now() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}
