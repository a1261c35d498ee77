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

// Members is one entry's view of all entries; its methods are safe for
// several goroutines, but for Tick, and the fields are set before the first use.
type Members struct {
	// Now returns the time, with a monotonic reading.
	Now func() time.Time
	// Send gives a message to the network, which may lose it; it must not block.
	Send func(to netip.AddrPort, message Message)
	// OnChange is called after the set of live members changed; it must not block. It may be nil.
	OnChange func()
	// OnAdvert is called after another member's advert changed; it must not block. It may be nil.
	OnAdvert func(member state.Member)
	// Count adds one to the counter of an event. It may be nil.
	Count func(event Event)

	self     *self
	dice     *dice
	table    *state.Table[netip.AddrPort, record]
	byGossip *state.Table[netip.AddrPort, netip.AddrPort]
	probes   *state.Table[uint32, probe]
	news     *news
	contact  contact
	seeds    atomic.Pointer[[]netip.AddrPort]
	views    views
	sequence atomic.Uint32
	// pulls is the number of pages to ask for, one in each step.
	pulls atomic.Int32
	// ticks belongs to the goroutine that calls Tick.
	ticks int
}

// New returns a view that knows only the member itself, with an incarnation
// from its start time. Random is used under a lock from then on.
func New(member state.Member, random *rand.Rand) *Members {
	m := &Members{
		Now:      time.Now,
		Send:     func(netip.AddrPort, Message) {},
		self:     newSelf(member),
		dice:     &dice{random: random},
		table:    state.NewTable[netip.AddrPort, record](),
		byGossip: state.NewTable[netip.AddrPort, netip.AddrPort](),
		probes:   state.NewTable[uint32, probe](),
		news:     newNews(),
	}
	m.seeds.Store(&[]netip.AddrPort{})
	m.sequence.Store(m.dice.uint32())
	return m
}

// Run takes a step in each period until the context is done.
func (m *Members) Run(ctx context.Context) {
	if !pause.For(ctx, m.dice.duration(tickPeriod)) {
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

// Seed replaces the gossip addresses that are asked for members while they
// are not known to be live; they may be out of date.
func (m *Members) Seed(gossip []netip.AddrPort) {
	own := m.Self().Gossip
	seeds := slices.DeleteFunc(slices.Clone(gossip), func(a netip.AddrPort) bool { return a == own })
	m.seeds.Store(&seeds)
}

// Self returns what this member tells of itself.
func (m *Members) Self() state.Member {
	member, _ := m.self.get()
	return member
}

// SetAdvert changes what this member tells of itself, its version aside; the
// news travels with its next probes.
func (m *Members) SetAdvert(advert state.Advert) {
	if m.self.setAdvert(advert) {
		m.announceSelf(false)
	}
}

// Live returns a copy of the members in use, suspects and this member
// included, sorted by address.
func (m *Members) Live() []state.Member {
	return slices.Clone(m.view().live)
}

// LiveIn returns a copy of the members in use of one availability zone, sorted by address.
func (m *Members) LiveIn(availabilityZone string) []state.Member {
	return slices.Clone(m.view().byZone[availabilityZone])
}

// Leave tells the others that this member is out of use, and returns when
// some of them have acknowledged it or none is live; it returns the error of
// the context if that ends first. The member goes on answering probes.
func (m *Members) Leave(ctx context.Context) error {
	heard := m.self.leave()
	m.announceSelf(true)
	if len(m.view().others) == 0 {
		return nil
	}
	select {
	case <-heard:
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

// announceSelf queues this member's own record and, if urgent, pushes it.
func (m *Members) announceSelf(urgent bool) {
	member, status := m.self.get()
	m.news.put(newsItem{update: Update{Member: member, Status: status}})
	m.views.changed()
	if urgent {
		m.push(farFanout, netip.AddrPort{})
	}
}
