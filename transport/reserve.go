package transport

import (
	"net/netip"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// reservePort binds an address without listening and returns the bound address. It
// fails if another socket listens there: gnet's listeners share their port
// (SO_REUSEPORT), so that they would not notice. Port 0 selects a free port, which is
// kept until release is called.
func reservePort(address netip.AddrPort) (bound netip.AddrPort, release func(), err error) {
	family := unix.AF_INET6
	if address.Addr().Is4() {
		family = unix.AF_INET
	}
	descriptor, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return bound, nil, errors.Wrap(err, "open a socket")
	}
	release = func() { _ = unix.Close(descriptor) }
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		release()
		return bound, nil, errors.Wrap(err, "allow reuse of the address")
	}
	if err := unix.Bind(descriptor, socketAddress(address)); err != nil {
		release()
		return bound, nil, errors.Wrap(err, "bind")
	}
	bound, err = socketName(descriptor)
	if err != nil {
		release()
		return bound, nil, err
	}
	return bound, release, nil
}

func socketAddress(address netip.AddrPort) unix.Sockaddr {
	if address.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}
}

// socketName returns the address that the socket is bound to.
func socketName(descriptor int) (netip.AddrPort, error) {
	bound, err := unix.Getsockname(descriptor)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "get bound address")
	}
	switch a := bound.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)), nil
	default:
		return netip.AddrPort{}, errors.Errorf("unexpected socket address type %T", bound)
	}
}

// boundAddress returns the address of the engine's listener.
func boundAddress(engine gnet.Engine) (netip.AddrPort, error) {
	descriptor, err := engine.Dup()
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "duplicate listener descriptor")
	}
	defer func() { _ = unix.Close(descriptor) }()
	return socketName(descriptor)
}
