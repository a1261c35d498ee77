package membership

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"comfreystream/state"
)

// simNetwork is an in-memory network that delays messages, loses some at random
// and drops those between pairs of nodes that are cut.
type simNetwork struct {
	mu     sync.Mutex
	random *rand.Rand
	nodes  map[netip.AddrPort]*node
	loss   float64
	cut    func(from, to *node) bool
}

// node is one entry process on the simulated network.
type node struct {
	*Members
	zone  string
	index int
	stop  context.CancelFunc
	// paused is an open channel while the process is paused, and nil or closed otherwise.
	paused  chan struct{}
	stopped bool
	// minLive is the smallest number of live members of its zone since startZoneWatch.
	minLive int
}

func newSimNetwork(seed uint64) *simNetwork {
	return &simNetwork{
		random: rand.New(rand.NewPCG(seed, 1)),
		nodes:  make(map[netip.AddrPort]*node),
		cut:    func(_, _ *node) bool { return false },
	}
}

// start runs an entry process at the address that belongs to the index. Its seeds
// include entries that have stopped, as an outdated instance list would.
func (s *simNetwork) start(t *testing.T, index int, zone string) *node {
	address := netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + index)})
	member := state.Member{
		Address:          netip.AddrPortFrom(address, 7070),
		Gossip:           netip.AddrPortFrom(address, 7071),
		AvailabilityZone: zone,
		Incarnation:      state.IncarnationAt(time.Now()),
	}
	s.mu.Lock()
	n := &node{zone: zone, index: index, Members: New(member, rand.New(rand.NewPCG(s.random.Uint64(), 2)))}
	s.nodes[member.Gossip] = n
	seeds := slices.SortedFunc(maps.Keys(s.nodes), netip.AddrPort.Compare)
	s.mu.Unlock()
	n.Now = func() time.Time {
		s.mu.Lock()
		paused := n.paused
		s.mu.Unlock()
		if paused != nil {
			<-paused
		}
		return time.Now()
	}
	n.Send = func(to netip.AddrPort, message Message) { s.deliver(n, to, message) }
	n.OnChange = func() {
		live := len(n.LiveIn(zone))
		s.mu.Lock()
		defer s.mu.Unlock()
		n.minLive = min(n.minLive, live)
	}
	n.Seed(seeds)
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = cancel
	go n.Run(ctx)
	return n
}

// deliver passes the message to the process at the address after a delay, unless it is lost.
func (s *simNetwork) deliver(from *node, to netip.AddrPort, message Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.nodes[to]
	if target == nil || from.stopped || s.cut(from, target) || s.random.Float64() < s.loss {
		return
	}
	delay := time.Millisecond
	if from.zone != target.zone {
		delay = 4*time.Millisecond + time.Duration(s.random.IntN(3000))*time.Microsecond
	}
	time.AfterFunc(delay, func() {
		if !s.running(target) {
			return
		}
		target.Now()
		target.Handle(from.Self().Gossip, message)
	})
}

func (s *simNetwork) running(n *node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !n.stopped
}

// kill stops the process without notice to the others.
func (s *simNetwork) kill(n *node) {
	s.mu.Lock()
	n.stopped = true
	s.mu.Unlock()
	n.stop()
}

// pause blocks the process's goroutines when they next read the clock, until resume is called.
func (s *simNetwork) pause(n *node) (resume func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.paused = make(chan struct{})
	return sync.OnceFunc(func() { close(n.paused) })
}

func (s *simNetwork) setLoss(loss float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = loss
}

func (s *simNetwork) setCut(cut func(from, to *node) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// hasIncarnation reports whether the node has the other's current incarnation as live.
func (n *node) hasIncarnation(other *node) bool {
	self := other.Self()
	for _, member := range n.LiveIn(self.AvailabilityZone) {
		if member.Address == self.Address {
			return member.Incarnation == self.Incarnation
		}
	}
	return false
}

// hasLive reports whether the node has any incarnation at the other's address as live.
func (n *node) hasLive(other *node) bool {
	for _, member := range n.LiveIn(other.zone) {
		if member.Address == other.Self().Address {
			return true
		}
	}
	return false
}

// startZoneWatch starts the period that wantZoneNeverShrank checks.
func (s *simNetwork) startZoneWatch(nodes []*node) {
	for _, n := range nodes {
		live := len(n.LiveIn(n.zone))
		s.mu.Lock()
		n.minLive = live
		s.mu.Unlock()
	}
}

// wantZoneNeverShrank fails if a node had fewer live members in its zone at some
// time since startZoneWatch than it has now.
func (s *simNetwork) wantZoneNeverShrank(t *testing.T, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		s.mu.Lock()
		minLive := n.minLive
		s.mu.Unlock()
		if live := len(n.LiveIn(n.zone)); minLive < live {
			t.Errorf("entry %d once had %d of its zone's %d members as live", n.index, minLive, live)
		}
	}
}

// wantSameMembers fails unless the live members of each node are exactly the given nodes.
func wantSameMembers(t *testing.T, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		for _, other := range nodes {
			if !n.hasIncarnation(other) {
				t.Errorf("entry %d in %s does not know entry %d in %s", n.index, n.zone, other.index, other.zone)
			}
		}
		if live := len(n.Live()); live != len(nodes) {
			t.Errorf("entry %d has %d live members, want %d", n.index, live, len(nodes))
		}
	}
}

// startAll starts count processes in four zones and waits until they know one another.
func startAll(t *testing.T, s *simNetwork, count int) []*node {
	t.Helper()
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = s.start(t, i, fmt.Sprint("z", i%4))
	}
	<-time.After(joinBound)
	wantSameMembers(t, nodes)
	return nodes
}

// stopAll stops every process, so that no goroutine outlives the test.
func (s *simNetwork) stopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		n.stopped = true
		n.stop()
	}
}
