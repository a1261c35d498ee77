package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"comfreystream/coordination/pause"
	"comfreystream/state"
)

// Members is one entry's view of all entries. Its methods but for Tick are safe
// for concurrent use; the exported fields must be set before the first use.
type Members struct {
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time
	// Send sends a message over the network, which may lose it; it must not block.
	Send func(to netip.AddrPort, message Message)
	// OnChange is called after the set of live members or the incarnation of one
	// changed; it must not block. It may be nil.
	OnChange func()
	// OnAdvert is called after another member's advert changed; it must not block. It may be nil.
	OnAdvert func(member state.Member)
	// Count adds one to the counter of an event. It may be nil.
	Count func(event Event)

	local  *localMember
	random *lockedRand
	// table holds the records of the other members by address.
	table *state.Table[netip.AddrPort, record]
	// byGossip holds the addresses of these members by gossip address.
	byGossip *state.Table[netip.AddrPort, netip.AddrPort]
	// probes holds the outstanding probes by sequence.
	probes     *state.Table[uint32, probe]
	broadcasts *broadcastQueue
	freshness  freshness
	seeds      atomic.Pointer[[]netip.AddrPort]
	viewCache  viewCache
	sequence   atomic.Uint32
	// pendingCompares is the number of Compare messages still to send, one every compareTicks.
	pendingCompares atomic.Int32
	// ticks is the number of completed ticks; only the goroutine that calls Tick uses it.
	ticks int
}

// New returns a view that knows only the given local member, whose incarnation
// must come from its start time. The view owns random from then on and uses it
// under a lock.
func New(member state.Member, random *rand.Rand) *Members {
	m := &Members{
		Now:        time.Now,
		Send:       func(netip.AddrPort, Message) {},
		local:      newLocalMember(member),
		random:     &lockedRand{source: random},
		table:      state.NewTable[netip.AddrPort, record](),
		byGossip:   state.NewTable[netip.AddrPort, netip.AddrPort](),
		probes:     state.NewTable[uint32, probe](),
		broadcasts: newBroadcastQueue(),
	}
	m.seeds.Store(&[]netip.AddrPort{})
	m.sequence.Store(m.random.uint32())
	return m
}

// Run calls Tick every tickPeriod until the context is done. A random delay
// before the first tick spreads members that start together.
func (m *Members) Run(ctx context.Context) {
	if !pause.For(ctx, m.random.duration(tickPeriod)) {
		return
	}
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		m.Tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Seed replaces the gossip addresses through which members are discovered. A
// seed is probed while no live member has its address, so the list may be out of date.
func (m *Members) Seed(gossip []netip.AddrPort) {
	own := m.Self().Gossip
	seeds := slices.DeleteFunc(slices.Clone(gossip), func(a netip.AddrPort) bool { return a == own })
	m.seeds.Store(&seeds)
}

// Self returns the local member as it is announced to the others.
func (m *Members) Self() state.Member {
	member, _ := m.local.get()
	return member
}

// SetAdvert replaces the advert of the local member and raises its version if
// that changes it; the next probes carry the new advert.
func (m *Members) SetAdvert(advert state.Advert) {
	if m.local.setAdvert(advert) {
		m.announceSelf(false)
	}
}

// Live returns a copy of the live members, suspects and the local member
// included, sorted by address.
func (m *Members) Live() []state.Member {
	return slices.Clone(m.view().live)
}

// LiveIn returns a copy of the live members of one availability zone, sorted by address.
func (m *Members) LiveIn(availabilityZone string) []state.Member {
	return slices.Clone(m.view().byZone[availabilityZone])
}

// Leave announces that the local member leaves, and returns once enough others
// have acknowledged that or none is live; it returns the context's error if
// that is done first. The member goes on answering probes.
func (m *Members) Leave(ctx context.Context) error {
	leaveAcked := m.local.leave()
	m.announceSelf(true)
	if len(m.view().others) == 0 {
		return nil
	}
	select {
	case <-leaveAcked:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Members) count(event Event) {
	if m.Count != nil {
		m.Count(event)
	}
}

// announceSelf queues the local member's record for gossip and, if urgent, pushes it at once.
func (m *Members) announceSelf(urgent bool) {
	member, status := m.local.get()
	m.broadcasts.enqueue(broadcast{update: Update{Member: member, Status: status}})
	m.viewCache.invalidate()
	if urgent {
		m.push(crossZoneFanout, netip.AddrPort{})
	}
}
