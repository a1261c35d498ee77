package instance

import (
	"context"
	"net"
	"net/netip"

	"comfreystream/coordination/membership"
)

// Network holds the functions with which an entry sends; the zero value uses the machine's network.
type Network struct {
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, peer netip.AddrPort) (net.Conn, error)
	// Carries reports whether a datagram to the peer is delivered; nil delivers all.
	Carries func(to netip.AddrPort) bool
}

// filterDatagrams wraps send so that it drops the datagrams that the network does not carry.
func (n Network) filterDatagrams(send func(to netip.AddrPort, message membership.Message)) func(to netip.AddrPort, message membership.Message) {
	if n.Carries == nil {
		return send
	}
	return func(to netip.AddrPort, message membership.Message) {
		if n.Carries(to) {
			send(to, message)
		}
	}
}
