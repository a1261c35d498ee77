package gossip

import (
	"net/netip"
	"sync/atomic"

	"comfreystream/coordination/membership"
	"comfreystream/transport"
)

// headerBytes is what IPv4 and UDP add to a datagram.
const headerBytes = 28

// Endpoint carries one member's messages over UDP; it is safe for several goroutines.
type Endpoint struct {
	datagrams *transport.Datagrams
	members   atomic.Pointer[membership.Members]
	count     func(reason string)
	sent      meter
	received  meter
}

// Traffic is what an Endpoint has carried, bytes with the headers of IP and UDP.
type Traffic struct {
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
}

type meter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

// Listen opens the UDP address; port 0 takes a free port. What arrives
// before Serve is dropped. Count hears the reason of each dropped datagram;
// it may be nil.
func Listen(address netip.AddrPort, count func(reason string)) (*Endpoint, error) {
	if count == nil {
		count = func(string) {}
	}
	e := &Endpoint{count: count}
	datagrams, err := transport.ListenDatagrams(address, e.receive, count)
	if err != nil {
		return nil, err
	}
	e.datagrams = datagrams
	return e, nil
}

// Serve joins the members to the network; it is called before members.Run.
func (e *Endpoint) Serve(members *membership.Members) {
	members.Send = e.send
	e.members.Store(members)
}

// Address returns the address that the socket is bound to.
func (e *Endpoint) Address() netip.AddrPort { return e.datagrams.Address() }

// Traffic returns the totals since the start.
func (e *Endpoint) Traffic() Traffic {
	return Traffic{
		SentMessages:     e.sent.messages.Load(),
		SentBytes:        e.sent.bytes.Load(),
		ReceivedMessages: e.received.messages.Load(),
		ReceivedBytes:    e.received.bytes.Load(),
	}
}

// Close closes the socket and waits until no message is handled.
func (e *Endpoint) Close() error { return e.datagrams.Close() }

func (e *Endpoint) receive(from netip.AddrPort, payload []byte) {
	e.received.add(len(payload))
	members := e.members.Load()
	if members == nil {
		return
	}
	message, reason := decode(payload)
	if reason != "" {
		e.count(reason)
		return
	}
	members.Handle(from, message)
}

// send drops what cannot be sent: the transport counts it, and probing
// copes with lost messages.
func (e *Endpoint) send(to netip.AddrPort, message membership.Message) {
	payload, err := encode(message)
	if err != nil {
		e.count(Malformed)
		return
	}
	if e.datagrams.Send(to, payload) == nil {
		e.sent.add(len(payload))
	}
}

func (m *meter) add(payloadBytes int) {
	m.messages.Add(1)
	m.bytes.Add(uint64(payloadBytes + headerBytes))
}
