package transport

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// hasInput reports whether a read would return at once, be it with bytes, at the
// end of the stream or with an error. It does not block, and returns false for
// connections without a file descriptor.
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
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ready = !errors.Is(err, unix.EAGAIN)
	})
	return ready || err != nil
}
