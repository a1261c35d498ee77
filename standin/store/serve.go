package store

import (
	"net/netip"

	storeprotocol "comfreystream/protocol/store"
	"comfreystream/transport"
)

// Served is a simulated store that answers over a real TCP port.
type Served struct {
	*Store
	server *transport.Server
}

// Serve starts a store that listens on the address; port 0 selects a free port.
func Serve(address netip.AddrPort) (*Served, error) {
	s := New()
	service := &storeprotocol.Service{Calls: s.Operations()}
	server, err := transport.Listen(address, service.Handler(), transport.Limits{})
	if err != nil {
		return nil, err
	}
	return &Served{Store: s, server: server}, nil
}

// Address returns the address on which the store listens.
func (s *Served) Address() netip.AddrPort { return s.server.Address() }

// Close stops the store and its server and waits until both have stopped.
func (s *Served) Close() error {
	s.Store.Close()
	return s.server.Close()
}
