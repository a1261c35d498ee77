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

// MaxDatagramBytes is the maximum payload of a datagram; it fits into one
// Ethernet frame, so that datagrams are not fragmented.
const MaxDatagramBytes = 1400

// The reasons for dropping a datagram.
const (
	DatagramTooLarge = "datagramTooLarge"
	DatagramUnsent   = "datagramUnsent"
)

// DatagramReasons lists every reason that Datagrams can count.
var DatagramReasons = []string{DatagramTooLarge, DatagramUnsent}

// Datagrams sends and receives on one UDP address; it is safe for concurrent use.
type Datagrams struct {
	gnet.BuiltinEventEngine

	handle       func(from netip.AddrPort, payload []byte)
	countDropped func(reason string)
	address      netip.AddrPort
	engine       gnet.Engine
	// booted receives the result of the start; stopped receives the error of the
	// event loop.
	booted    chan error
	stopped   chan error
	closeOnce sync.Once

	mu     sync.RWMutex
	closed bool
	// socket is a duplicate of the descriptor of gnet's socket, used to send
	// from any goroutine.
	socket   int
	closeErr error
}

// ListenDatagrams listens on the UDP address; port 0 selects a free port. Handle
// is called on the event loop: it must not block or retain the payload. Count is
// called with the reason for each dropped datagram; it may be nil. A second
// process can listen on the same UDP address without an error, so the caller
// must also listen on a TCP address that keeps a second process out.
func ListenDatagrams(
	address netip.AddrPort,
	handle func(from netip.AddrPort, payload []byte),
	count func(reason string),
) (*Datagrams, error) {
	if count == nil {
		count = func(string) {}
	}
	d := &Datagrams{
		handle:       handle,
		countDropped: count,
		booted:       make(chan error, 1),
		stopped:      make(chan error, 1),
		socket:       -1,
	}
	go d.run(address)
	if err := <-d.booted; err != nil {
		return nil, errors.Wrapf(err, "listen for datagrams on %s", address)
	}
	return d, nil
}

// Address returns the bound address.
func (d *Datagrams) Address() netip.AddrPort { return d.address }

// Send sends one datagram without blocking; the network may lose it. It returns
// an error if the payload exceeds MaxDatagramBytes, the address is not of the
// socket's family, the socket is closed or the kernel rejects the datagram.
func (d *Datagrams) Send(to netip.AddrPort, payload []byte) error {
	if len(payload) > MaxDatagramBytes {
		d.countDropped(DatagramTooLarge)
		return errors.Errorf("send datagram to %s: payload of %d bytes is more than %d bytes", to, len(payload), MaxDatagramBytes)
	}
	address, valid := d.socketAddress(to)
	if !valid {
		d.countDropped(DatagramUnsent)
		return errors.Errorf("send datagram to %s: not in the address family of the bound address %s", to, d.address)
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.closed {
		return errors.Wrapf(net.ErrClosed, "send datagram to %s", to)
	}
	if err := unix.Sendto(d.socket, payload, unix.MSG_DONTWAIT, address); err != nil {
		d.countDropped(DatagramUnsent)
		return errors.Wrapf(err, "send datagram to %s", to)
	}
	return nil
}

// Close closes the socket and waits until the event loop has stopped, so that no
// handler is running. It returns the error of the event loop.
func (d *Datagrams) Close() error {
	d.closeOnce.Do(func() {
		d.mu.Lock()
		d.closed = true
		_ = unix.Close(d.socket)
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
	err := d.prepareSocket(engine)
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
		d.countDropped(DatagramTooLarge)
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

func (d *Datagrams) prepareSocket(engine gnet.Engine) (err error) {
	if d.address, err = boundAddress(engine); err != nil {
		return err
	}
	d.socket, err = engine.Dup()
	return errors.Wrap(err, "duplicate socket descriptor")
}

// socketAddress converts the address to the socket's address family; it reports
// false if that is not possible.
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
