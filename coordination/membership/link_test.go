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

// link joins members in memory; it delays messages, loses them and cuts paths.
type link struct {
	mu     sync.Mutex
	random *rand.Rand
	nodes  map[netip.AddrPort]*node
	loss   float64
	cut    func(from, to *node) bool
}

// node is one entry process on the link.
type node struct {
	*Members
	zone  string
	index int
	stop  context.CancelFunc
	// paused is open while the process is paused, and nil or closed otherwise.
	paused  chan struct{}
	stopped bool
	// fewest is the smallest number of live members of its zone that it has seen.
	fewest int
}

func newLink(seed uint64) *link {
	return &link{
		random: rand.New(rand.NewPCG(seed, 1)),
		nodes:  make(map[netip.AddrPort]*node),
		cut:    func(_, _ *node) bool { return false },
	}
}

// start runs a process at the index's address in the zone;
// its seeds are all entries of the past, as in an instance list that lags.
func (l *link) start(t *testing.T, index int, zone string) *node {
	address := netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + index)})
	member := state.Member{
		Address:          netip.AddrPortFrom(address, 7070),
		Gossip:           netip.AddrPortFrom(address, 7071),
		AvailabilityZone: zone,
		Incarnation:      state.IncarnationAt(time.Now()),
	}
	l.mu.Lock()
	n := &node{zone: zone, index: index, Members: New(member, rand.New(rand.NewPCG(l.random.Uint64(), 2)))}
	l.nodes[member.Gossip] = n
	seeds := slices.SortedFunc(maps.Keys(l.nodes), netip.AddrPort.Compare)
	l.mu.Unlock()
	n.Now = func() time.Time {
		l.mu.Lock()
		paused := n.paused
		l.mu.Unlock()
		if paused != nil {
			<-paused
		}
		return time.Now()
	}
	n.Send = func(to netip.AddrPort, message Message) { l.carry(n, to, message) }
	n.OnChange = func() {
		live := len(n.LiveIn(zone))
		l.mu.Lock()
		defer l.mu.Unlock()
		n.fewest = min(n.fewest, live)
	}
	n.Seed(seeds)
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = cancel
	go n.Run(ctx)
	return n
}

func (l *link) carry(from *node, to netip.AddrPort, message Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.nodes[to]
	if target == nil || from.stopped || l.cut(from, target) || l.random.Float64() < l.loss {
		return
	}
	delay := time.Millisecond
	if from.zone != target.zone {
		delay = 4*time.Millisecond + time.Duration(l.random.IntN(3000))*time.Microsecond
	}
	time.AfterFunc(delay, func() {
		if !l.running(target) {
			return
		}
		target.Now()
		target.Handle(from.Self().Gossip, message)
	})
}

func (l *link) running(n *node) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !n.stopped
}

// kill ends the process at once; the others hear nothing of it.
func (l *link) kill(n *node) {
	l.mu.Lock()
	n.stopped = true
	l.mu.Unlock()
	n.stop()
}

// pause stops the process's threads at their next look at the clock, until resume is called.
func (l *link) pause(n *node) (resume func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n.paused = make(chan struct{})
	return sync.OnceFunc(func() { close(n.paused) })
}

func (l *link) setLoss(loss float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loss = loss
}

func (l *link) setCut(cut func(from, to *node) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// knows reports whether the node has the other's present incarnation in use.
func (n *node) knows(other *node) bool {
	self := other.Self()
	for _, member := range n.LiveIn(self.AvailabilityZone) {
		if member.Address == self.Address {
			return member.Incarnation == self.Incarnation
		}
	}
	return false
}

// uses reports whether the node has any process at the other's address in use.
func (n *node) uses(other *node) bool {
	for _, member := range n.LiveIn(other.zone) {
		if member.Address == other.Self().Address {
			return true
		}
	}
	return false
}

// watchZone makes wantWholeZone look at what happens from now on.
func (l *link) watchZone(nodes []*node) {
	for _, n := range nodes {
		live := len(n.LiveIn(n.zone))
		l.mu.Lock()
		n.fewest = live
		l.mu.Unlock()
	}
}

// wantWholeZone fails if a node took a member of its zone out of use since watchZone.
func (l *link) wantWholeZone(t *testing.T, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		l.mu.Lock()
		fewest := n.fewest
		l.mu.Unlock()
		if live := len(n.LiveIn(n.zone)); fewest < live {
			t.Errorf("entry %d once had %d of its zone's %d members in use", n.index, fewest, live)
		}
	}
}

// wantMeet fails unless each node knows exactly the nodes.
func wantMeet(t *testing.T, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		for _, other := range nodes {
			if !n.knows(other) {
				t.Errorf("entry %d in %s does not know entry %d in %s", n.index, n.zone, other.index, other.zone)
			}
		}
		if live := len(n.Live()); live != len(nodes) {
			t.Errorf("entry %d has %d live members, want %d", n.index, live, len(nodes))
		}
	}
}

// startAll runs that many processes over four zones and waits until they met.
func startAll(t *testing.T, l *link, count int) []*node {
	t.Helper()
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = l.start(t, i, fmt.Sprint("z", i%4))
	}
	<-time.After(joinBound)
	wantMeet(t, nodes)
	return nodes
}

// stopAll ends every process, so that no goroutine outlives the test.
func (l *link) stopAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.nodes {
		n.stopped = true
		n.stop()
	}
}
