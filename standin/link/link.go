package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Links simulates the network links between groups of addresses, such as
// availability zones. It is safe for concurrent use.
type Links struct {
	mu       sync.Mutex
	groups   map[netip.AddrPort]string
	cutLinks map[groupPair]bool
}

type groupPair struct{ one, other string }

func newGroupPair(one, other string) groupPair {
	if other < one {
		one, other = other, one
	}
	return groupPair{one, other}
}

// New returns links that are all intact.
func New() *Links {
	return &Links{groups: make(map[netip.AddrPort]string), cutLinks: make(map[groupPair]bool)}
}

// Place assigns an address to a group; an address without a group is never cut off.
func (l *Links) Place(address netip.AddrPort, group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[address] = group
}

// Cut makes the link between two groups drop all data without an error at either
// end.
func (l *Links) Cut(one, other string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutLinks[newGroupPair(one, other)] = true
}

// Heal restores all links. Connections that lost data stay unusable, since the rest
// of their byte streams would be corrupt.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cutLinks)
}

// Carries reports whether data that the group sends reaches the address.
func (l *Links) Carries(from string, to netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cutLinks[newGroupPair(from, l.groups[to])]
}

// Dial opens a connection from the group to the address. If the link is cut, it
// blocks until ctx ends.
func (l *Links) Dial(ctx context.Context, from string, to netip.AddrPort) (net.Conn, error) {
	if !l.Carries(from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	inner, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return &connection{Conn: inner, delivers: func() bool { return l.Carries(from, to) }}, nil
}

// connection drops the data that passes while its link is cut, and all later data.
type connection struct {
	net.Conn
	delivers func() bool

	mu       sync.Mutex
	lostData bool
}

// dropping reports whether the connection drops data now.
func (c *connection) dropping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostData = c.lostData || !c.delivers()
	return c.lostData
}

// Read discards dropped data and goes on reading, until the read deadline at the
// latest.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.dropping() {
			return n, err
		}
	}
}

// Write reports success for dropped data too.
func (c *connection) Write(data []byte) (int, error) {
	if c.dropping() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}
