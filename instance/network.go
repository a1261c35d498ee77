package instance

import (
	"context"
	"net"
	"net/netip"

	"comfreystream/coordination/membership"
)

// Network carries what the entry sends; the zero value is the machine's own.
type Network struct {
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)
	// Carries reports whether a datagram gets to its peer; nil carries all.
	Carries func(to netip.AddrPort) bool
}

// over has send lose what the network does not carry.
func (n Network) over(send func(to netip.AddrPort, message membership.Message)) func(to netip.AddrPort, message membership.Message) {
	if n.Carries == nil {
		return send
	}
	return func(to netip.AddrPort, message membership.Message) {
		if n.Carries(to) {
			send(to, message)
		}
	}
}
