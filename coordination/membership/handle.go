package membership

import (
	"net/netip"
)

// Handle takes in a message that came from a gossip address, and answers it.
func (m *Members) Handle(from netip.AddrPort, message Message) {
	before := m.table.Len()
	known, near := m.sender(from)
	way := origin{near: near, page: message.Kind == Page || message.Kind == Complement}
	push := false
	for _, u := range message.Updates {
		if u.Member.Gossip == from {
			way.near = u.Member.AvailabilityZone == m.Self().AvailabilityZone
		}
		push = m.learn(u, way) || push
	}
	switch message.Kind {
	case Ping:
		m.answer(from, message.Sequence, known)
	case Ack:
		m.acknowledge(from, message)
	case PingRequest:
		m.probeFor(from, message)
	case Compare:
		m.answerCompare(from, message)
	case Page:
		m.takePage(from, message, m.table.Len() > before)
	case Push, Complement:
	}
	if push {
		m.push(0, from)
	}
}

// sender reports whether the address belongs to a known member, and to one of this zone.
func (m *Members) sender(gossip netip.AddrPort) (known, near bool) {
	address, known := m.byGossip.Get(gossip)
	if !known {
		return false, false
	}
	r, known := m.table.Get(address)
	return known, known && r.member.AvailabilityZone == m.Self().AvailabilityZone
}

func (m *Members) answer(to netip.AddrPort, sequence uint32, knownBefore bool) {
	_, known, _ := m.claimAbout(to)
	m.Send(to, Message{
		Kind:     Ack,
		Sequence: sequence,
		Unknown:  !known,
		Updates:  m.updatesFor(to, !knownBefore),
	})
}

func (m *Members) acknowledge(from netip.AddrPort, message Message) {
	p, found := m.probes.Delete(message.Sequence)
	if !found {
		return
	}
	if p.requester.IsValid() {
		m.Send(p.requester, Message{Kind: Ack, Sequence: p.requesterSequence, Updates: message.Updates})
		return
	}
	if message.Unknown {
		m.introduce(from)
	}
	v := m.view()
	if p.tells {
		m.self.acknowledged(len(v.others))
	}
	_, near := m.sender(p.gossip)
	if near {
		m.contact.acknowledged(m.Now())
	}
	if !p.target.Address.IsValid() && len(v.others) <= successors {
		m.pulls.Store(pullsAfterGrowth)
	}
}

// introduce sends this member's own record to one that does not know it.
func (m *Members) introduce(to netip.AddrPort) {
	member, status := m.self.get()
	m.Send(to, Message{Kind: Push, Updates: []Update{{Member: member, Status: status}}})
}

func (m *Members) probeFor(requester netip.AddrPort, message Message) {
	if !message.Target.IsValid() || message.Target == m.Self().Gossip {
		return
	}
	m.ping(probe{
		gossip:            message.Target,
		timeouts:          farTimeouts,
		requester:         requester,
		requesterSequence: message.Sequence,
	})
}

// push sends news at once to some members of the zone and of other zones.
func (m *Members) push(far int, except netip.AddrPort) {
	v := m.view()
	chosen := m.pickOthers(nil, pushFanout, v.near, except)
	chosen = m.pickOthers(chosen, far, v.far, except)
	for _, member := range chosen {
		if m.news.empty() {
			return
		}
		if !m.news.mayPush() {
			m.count(EventPushLimited)
			return
		}
		m.Send(member.Gossip, Message{Kind: Push, Updates: m.news.take(maxPiggyback, len(v.live), m.Now())})
	}
}
