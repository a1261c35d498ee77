package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Links joins groups of addresses, such as availability zones; all links are
// whole at first. It is safe for several goroutines.
type Links struct {
	mu     sync.Mutex
	groups map[netip.AddrPort]string
	cuts   map[pair]bool
}

type pair struct{ one, other string }

func pairOf(one, other string) pair {
	if other < one {
		one, other = other, one
	}
	return pair{one, other}
}

// New returns links on which everything passes.
func New() *Links {
	return &Links{groups: make(map[netip.AddrPort]string), cuts: make(map[pair]bool)}
}

// Place puts an address into a group; one without a group is never cut off.
func (l *Links) Place(address netip.AddrPort, group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups[address] = group
}

// Cut makes the link between two groups silent: what is sent is lost, and
// nobody is told.
func (l *Links) Cut(one, other string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[pairOf(one, other)] = true
}

// Heal makes all links whole; connections that lost bytes stay silent.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cuts)
}

// Carries reports whether what the group sends reaches the address.
func (l *Links) Carries(from string, to netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cuts[pairOf(from, l.groups[to])]
}

// Dial opens a connection from the group over its link; over one that is cut
// it waits until ctx ends.
func (l *Links) Dial(ctx context.Context, from string, to netip.AddrPort) (net.Conn, error) {
	if !l.Carries(from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	inner, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return &connection{Conn: inner, carries: func() bool { return l.Carries(from, to) }}, nil
}

// connection loses what passes while its link is cut, and everything after that.
type connection struct {
	net.Conn
	carries func() bool

	mu     sync.Mutex
	broken bool
}

func (c *connection) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = c.broken || !c.carries()
	return c.broken
}

// Read returns nothing that arrived over a cut link; it ends with the deadline.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write takes everything, and loses it if the link is cut.
func (c *connection) Write(data []byte) (int, error) {
	if c.silent() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}
