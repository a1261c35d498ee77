package transport

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// MaxDatagramBytes is the largest payload of a datagram; it fits into one
// Ethernet frame.
const MaxDatagramBytes = 1400

// The reasons for which datagrams are dropped.
const (
	DatagramTooLarge = "datagramTooLarge"
	DatagramUnsent   = "datagramUnsent"
)

// DatagramReasons lists every reason that Datagrams can count.
var DatagramReasons = []string{DatagramTooLarge, DatagramUnsent}

// Datagrams sends and receives on one UDP address; its methods are safe for
// several goroutines.
type Datagrams struct {
	gnet.BuiltinEventEngine

	handle  func(from netip.AddrPort, payload []byte)
	count   func(reason string)
	address netip.AddrPort
	engine  gnet.Engine
	booted  chan error
	stopped chan error
	close   sync.Once

	mu     sync.RWMutex
	closed bool
	// descriptor is a copy of the socket, to send from any goroutine.
	descriptor int
	closeErr   error
}

// ListenDatagrams opens the UDP address; port 0 takes a free port. Handle is
// called on the event loop: it must not block, and must not keep the payload.
// Count hears the reason of each dropped datagram; it may be nil. A second
// process can open the same address without an error, so the address must be
// guarded by one over TCP.
func ListenDatagrams(
	address netip.AddrPort,
	handle func(from netip.AddrPort, payload []byte),
	count func(reason string),
) (*Datagrams, error) {
	if count == nil {
		count = func(string) {}
	}
	d := &Datagrams{
		handle:     handle,
		count:      count,
		booted:     make(chan error, 1),
		stopped:    make(chan error, 1),
		descriptor: -1,
	}
	go d.run(address)
	if err := <-d.booted; err != nil {
		return nil, errors.Wrapf(err, "listen for datagrams: %s", address)
	}
	return d, nil
}

// Address returns the address that the socket is bound to.
func (d *Datagrams) Address() netip.AddrPort { return d.address }

// Send hands one datagram to the network, which may lose it. It does not
// wait; its error is for a payload above MaxDatagramBytes, a closed socket or
// a datagram that the kernel refused.
func (d *Datagrams) Send(to netip.AddrPort, payload []byte) error {
	if len(payload) > MaxDatagramBytes {
		d.count(DatagramTooLarge)
		return errors.Errorf("send datagram: %s: %d bytes are more than %d", to, len(payload), MaxDatagramBytes)
	}
	address, valid := d.socketAddress(to)
	if !valid {
		d.count(DatagramUnsent)
		return errors.Errorf("send datagram: %s: not an address of the family of %s", to, d.address)
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.closed {
		return errors.Wrapf(net.ErrClosed, "send datagram: %s", to)
	}
	if err := unix.Sendto(d.descriptor, payload, unix.MSG_DONTWAIT, address); err != nil {
		d.count(DatagramUnsent)
		return errors.Wrapf(err, "send datagram: %s", to)
	}
	return nil
}

// Close closes the socket and waits until no handler runs.
func (d *Datagrams) Close() error {
	d.close.Do(func() {
		d.mu.Lock()
		d.closed = true
		_ = unix.Close(d.descriptor)
		d.mu.Unlock()
		stopNow, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.engine.Stop(stopNow)
		d.closeErr = <-d.stopped
	})
	return d.closeErr
}

// OnBoot implements gnet.EventHandler.
func (d *Datagrams) OnBoot(engine gnet.Engine) gnet.Action {
	d.engine = engine
	err := d.open(engine)
	d.booted <- err
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (d *Datagrams) OnTraffic(conn gnet.Conn) gnet.Action {
	payload, err := conn.Next(-1)
	remote, known := conn.RemoteAddr().(*net.UDPAddr)
	if err != nil || !known {
		return gnet.None
	}
	if len(payload) > MaxDatagramBytes {
		d.count(DatagramTooLarge)
		return gnet.None
	}
	from := remote.AddrPort()
	d.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), payload)
	return gnet.None
}

func (d *Datagrams) run(address netip.AddrPort) {
	err := gnet.Run(d, "udp://"+address.String(),
		gnet.WithNumEventLoop(1),
		gnet.WithLogger(zap.NewNop().Sugar()))
	select {
	case d.booted <- err:
	default:
	}
	d.stopped <- err
}

func (d *Datagrams) open(engine gnet.Engine) (err error) {
	if d.address, err = boundAddress(engine); err != nil {
		return err
	}
	d.descriptor, err = engine.Dup()
	return errors.Wrap(err, "copy the socket")
}

// socketAddress returns the address in the family of the socket, if it has one.
func (d *Datagrams) socketAddress(to netip.AddrPort) (address unix.Sockaddr, valid bool) {
	ip := to.Addr().Unmap()
	switch {
	case !ip.IsValid():
		return nil, false
	case !d.address.Addr().Is4():
		return &unix.SockaddrInet6{Port: int(to.Port()), Addr: ip.As16()}, true
	case ip.Is4():
		return &unix.SockaddrInet4{Port: int(to.Port()), Addr: ip.As4()}, true
	default:
		return nil, false
	}
}
