package gossip

import (
	"net/netip"
	"sync/atomic"

	"comfreystream/coordination/membership"
	"comfreystream/transport"
)

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// Endpoint sends and receives one member's messages over UDP; it is safe for
// concurrent use.
type Endpoint struct {
	datagrams *transport.Datagrams
	members   atomic.Pointer[membership.Members]
	count     func(reason string)
	sent      trafficCounter
	received  trafficCounter
}

// Traffic counts the messages of an Endpoint and their bytes, which include the
// IPv4 and UDP headers.
type Traffic struct {
	SentMessages, SentBytes         uint64
	ReceivedMessages, ReceivedBytes uint64
}

type trafficCounter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

// Listen opens the UDP address; port 0 selects a free port. Datagrams that
// arrive before Serve are dropped without a reason. For each other dropped
// datagram, count is called with the reason; it may be nil.
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

// Serve connects members to the endpoint; it must be called before members.Run.
func (e *Endpoint) Serve(members *membership.Members) {
	members.Send = e.send
	e.members.Store(members)
}

// Address returns the address that the socket is bound to.
func (e *Endpoint) Address() netip.AddrPort { return e.datagrams.Address() }

// Traffic returns the totals since Listen.
func (e *Endpoint) Traffic() Traffic {
	return Traffic{
		SentMessages:     e.sent.messages.Load(),
		SentBytes:        e.sent.bytes.Load(),
		ReceivedMessages: e.received.messages.Load(),
		ReceivedBytes:    e.received.bytes.Load(),
	}
}

// Close closes the socket and waits for the handling of received messages to end.
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

// send drops a message that cannot be sent: the transport counts it, and the
// membership protocol tolerates lost messages.
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

func (c *trafficCounter) add(payloadBytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(payloadBytes + headerBytes))
}
