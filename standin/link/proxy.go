package link

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is the way in which a proxy handles the data of its connections.
type Mode uint8

// The modes of a proxy.
const (
	// Pass forwards all data.
	Pass Mode = iota
	// Delayed forwards all data after DelayBy.
	Delayed
	// Silent drops the data of both directions.
	Silent
	// AnswersLost drops only the data that the target sends.
	AnswersLost
	// Reset closes every connection at once, those already open with a TCP reset.
	Reset
	modeCount
)

// Modes is the number of modes.
const Modes = int(modeCount)

// DelayBy is the delay of data in the mode Delayed.
const DelayBy = 150 * time.Millisecond

// Proxy forwards TCP connections to a target on the same machine and injects faults
// into them.
type Proxy struct {
	target     netip.AddrPort
	listener   *net.TCPListener
	goroutines sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	conns map[*net.TCPConn]struct{}
}

// NewProxy starts a proxy for the target, on a free port of the target's IP address.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(target.Addr(), 0)))
	if err != nil {
		return nil, errors.Wrap(err, "listen on the port of the proxy")
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[*net.TCPConn]struct{})}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetMode changes the mode. If the previous mode dropped data, it closes all connections,
// since the rest of their byte streams would be corrupt.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dropped := p.mode == Silent || p.mode == AnswersLost
	p.mode = mode
	if !dropped && mode != Reset {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// Close closes the listener and every connection and waits until they are closed.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.SetMode(Reset)
	p.goroutines.Wait()
	return errors.Wrap(err, "close the proxy")
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.forward(client) })
	}
}

// forward connects a client to the target and forwards data until both directions
// have ended.
func (p *Proxy) forward(client *net.TCPConn) {
	defer p.closeConn(client)
	if !p.register(client) {
		return
	}
	server, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(p.target))
	if err != nil {
		return
	}
	defer p.closeConn(server)
	if !p.register(server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forwardBytes(server, client, Silent) })
	directions.Go(func() { p.forwardBytes(client, server, Silent, AnswersLost) })
	directions.Wait()
}

// register adds a connection to those that Set closes; it reports false in the mode
// Reset.
func (p *Proxy) register(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Reset {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) closeConn(c *net.TCPConn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// forwardBytes forwards data until either end is closed; in dropModes it drops the
// data instead.
func (p *Proxy) forwardBytes(to, from *net.TCPConn, dropModes ...Mode) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := p.currentMode()
		if mode == Delayed {
			<-time.After(DelayBy)
		}
		if slices.Contains(dropModes, mode) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}
